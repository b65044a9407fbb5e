package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/transfer"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/platform"
)

// transfers moves the KV caches of chats away from engines that are leaving.
// Whatever fails here costs chats their caches and nothing else.
type transfers struct {
	cfg       transfer.Config
	directory *endpoint.Directory
	placed    placed
	engines   kvEngines
	metrics   *transferMetrics
	changes   chan struct{} // a sign that the directory has changed
	begun     map[coordination.Endpoint]coordination.Incarnation
	running   sync.WaitGroup
}

// placed tells what placement goes by.
type placed interface {
	// owns reports whether this router owns an endpoint.
	owns(k endpoint.Info) bool
	// bound returns the load bound in force, or zero for the default.
	bound() float64
}

// bound implements placed.
func (p *placing) bound() float64 { return p.tuning.Load().placement.Bound }

// kvEngines are the calls to engines that moves need.
type kvEngines interface {
	CacheEvents(ctx context.Context, address string, since transfer.Sequence) (engine.CacheEvents, error)
	Export(ctx context.Context, address string, chat coordination.Chat) (engine.KV, error)
	Import(ctx context.Context, address string, kv engine.KV) (int64, error)
	Load(ctx context.Context, address string) (engine.Load, error)
}

// newTransfers starts moving the chats of the engines that this router owns.
func newTransfers(i do.Injector) (*transfers, error) {
	metrics := newTransferMetrics()
	do.MustInvoke[*prometheus.Registry](i).MustRegister(metrics.results, metrics.bytes)
	t, stop := startTransfers(transferConfig(settingsOf(i).Transfer), do.MustInvoke[*endpoint.Directory](i),
		do.MustInvoke[*placing](i), do.MustInvoke[*engine.Client](i), metrics)
	onStop(i, stop)
	return t, nil
}

// startTransfers returns with the function that ends all moves.
func startTransfers(
	cfg transfer.Config, d *endpoint.Directory, p placed, engines kvEngines, m *transferMetrics,
) (*transfers, func()) {
	t := &transfers{
		cfg:       cfg.WithDefaults(),
		directory: d,
		placed:    p,
		engines:   engines,
		metrics:   m,
		changes:   make(chan struct{}, 1),
		begun:     make(map[coordination.Endpoint]coordination.Incarnation),
	}
	d.Watch(t.changed)
	t.changed()
	ctx, cancel := context.WithCancel(context.Background())
	t.running.Go(func() { t.loop(ctx) })
	return t, func() {
		cancel()
		t.running.Wait()
	}
}

// changed notes that the directory has changed.
func (t *transfers) changed() {
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

func (t *transfers) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changes:
			t.begin(ctx)
		}
	}
}

// begin starts an evacuation of each engine that this router owns and that is
// first seen to leave. If two routers take an engine for theirs, some chats are
// moved twice. Nothing is asked of engines where computing beats moving.
func (t *transfers) begin(ctx context.Context) {
	if !t.cfg.Worthwhile(unknownSize) {
		return
	}
	for _, k := range t.directory.All() {
		if k.Kind != platform.Engine || k.State != placement.Leaving || t.begun[k.ID] >= k.Incarnation || !t.placed.owns(k) {
			continue
		}
		t.begun[k.ID] = k.Incarnation
		e := newEvacuation(t, k)
		t.running.Go(func() { e.run(ctx) })
	}
	t.forget()
}

// unknownSize is the size of any chat's KV cache before it is asked for.
const unknownSize = -1

// forget drops what is noted of engines that are no longer listed.
func (t *transfers) forget() {
	for id := range t.begun {
		if _, ok := t.directory.Find(id); !ok {
			delete(t.begun, id)
		}
	}
}

// target returns the engine that the next request of a chat will go to first:
// the hint of its last answer names the engine that is leaving, which is no
// candidate any more.
func (t *transfers) target(p coordination.Pool, chat coordination.Chat) (endpoint.Info, bool) {
	set := placement.NewSet(lo.Map(t.directory.Pool(p), func(k endpoint.Info, _ int) placement.Descriptor {
		return k.Descriptor
	}))
	first := set.Candidates(nil, p, placement.KeyOf(chat), 0, 1)
	if len(first) == 0 {
		return endpoint.Info{}, false
	}
	return t.directory.Find(first[0].ID)
}

// named has each request carry its client account to the calls of engines, so
// that they name its chat as keyOf does.
func (t *transfers) named(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := coordination.Account(r.Header.Get(headerAccount))
		h.ServeHTTP(w, r.WithContext(engine.WithAccount(r.Context(), account)))
	})
}

// headerAccount is the header in which callers name the client account.
const headerAccount = "X-Client-Account"

// transferMetrics count the moves.
type transferMetrics struct {
	results *prometheus.CounterVec
	bytes   prometheus.Counter
}

func newTransferMetrics() *transferMetrics {
	return &transferMetrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wisteria_kv_transfers_total",
			Help: "Chats of leaving engines whose KV cache was to be moved, by result.",
		}, []string{"result"}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wisteria_kv_transfer_bytes_total",
			Help: "Bytes of KV caches taken from leaving engines.",
		}),
	}
}

// transferConfig returns the settings of this router for transfers.
func transferConfig(c config.Transfer) transfer.Config {
	return transfer.Config{
		Bandwidth:       float64(c.Link),
		BytesPerToken:   c.BytesPerToken,
		PrefillPerToken: c.Prefill,
	}
}
