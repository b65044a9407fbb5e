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

// transfers moves the KV caches of chats away from engines that are leaving. A
// failure loses the caches of the chats and nothing else.
type transfers struct {
	cfg       transfer.Config
	directory *endpoint.Directory
	placement placementInfo
	engines   kvClient
	metrics   *transferMetrics
	changes   chan struct{} // signals that the directory has changed; capacity 1
	started   map[coordination.Endpoint]coordination.Incarnation
	running   sync.WaitGroup
}

// placementInfo is what transfers needs to know of placement.
type placementInfo interface {
	// owns reports whether this router owns an endpoint.
	owns(k endpoint.Info) bool
	// loadBound returns the load bound in force, or zero if the default applies.
	loadBound() float64
	// withZone returns d as its availability zone requires.
	withZone(d placement.Descriptor) placement.Descriptor
}

// loadBound implements [placementInfo].
func (p *placer) loadBound() float64 { return p.settings.Load().placement.Bound }

// withZone implements [placementInfo].
func (p *placer) withZone(d placement.Descriptor) placement.Descriptor { return p.zones.Apply(d) }

// kvClient makes the calls to engines that moves need.
type kvClient interface {
	CacheEvents(ctx context.Context, address string, since transfer.Sequence) (engine.CacheEvents, error)
	Export(ctx context.Context, address string, chat coordination.Chat) (engine.KV, error)
	Import(ctx context.Context, address string, kv engine.KV) (int64, error)
	Load(ctx context.Context, address string) (engine.Load, error)
}

// newTransfers starts moving the chats of leaving engines that this router owns.
func newTransfers(i do.Injector) (*transfers, error) {
	metrics := newTransferMetrics()
	do.MustInvoke[*prometheus.Registry](i).MustRegister(metrics.results, metrics.bytes)
	t, stop := startTransfers(transferConfig(configOf(i).Transfer), do.MustInvoke[*endpoint.Directory](i),
		do.MustInvoke[*placer](i), do.MustInvoke[*engine.Client](i), metrics)
	onStop(i, stop)
	return t, nil
}

// startTransfers starts transfers. The returned function ends all moves and waits
// for them.
func startTransfers(
	cfg transfer.Config, d *endpoint.Directory, p placementInfo, engines kvClient, m *transferMetrics,
) (*transfers, func()) {
	t := &transfers{
		cfg:       cfg.WithDefaults(),
		directory: d,
		placement: p,
		engines:   engines,
		metrics:   m,
		changes:   make(chan struct{}, 1),
		started:   make(map[coordination.Endpoint]coordination.Incarnation),
	}
	d.Watch(t.notifyChange)
	t.notifyChange()
	ctx, cancel := context.WithCancel(context.Background())
	t.running.Go(func() { t.loop(ctx) })
	return t, func() {
		cancel()
		t.running.Wait()
	}
}

// notifyChange signals loop that the directory has changed. It never blocks.
func (t *transfers) notifyChange() {
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
			t.startEvacuations(ctx)
		}
	}
}

// startEvacuations starts the evacuation of each engine that this router owns and
// that has newly begun to leave. If two routers both consider themselves the owner
// of an engine, some chats are moved twice. Where recomputing a cache is cheaper
// than moving it, engines are not called at all.
func (t *transfers) startEvacuations(ctx context.Context) {
	if !t.cfg.Worthwhile(unknownSize) {
		return
	}
	for _, k := range t.directory.All() {
		if k.Kind != platform.Engine || k.State != placement.Leaving || t.started[k.ID] >= k.Incarnation || !t.placement.owns(k) {
			continue
		}
		t.started[k.ID] = k.Incarnation
		e := newEvacuation(t, k)
		t.running.Go(func() { e.run(ctx) })
	}
	t.pruneStarted()
}

// unknownSize stands for the size of a KV cache that has not been requested yet.
const unknownSize = -1

// pruneStarted removes engines that are no longer listed from started.
func (t *transfers) pruneStarted() {
	for id := range t.started {
		if _, ok := t.directory.Find(id); !ok {
			delete(t.started, id)
		}
	}
}

// destination returns the engine that the next request of a chat will try first.
// The hint of its last answer is ignored: it names the leaving engine, which is no
// longer a candidate.
func (t *transfers) destination(p coordination.Pool, chat coordination.Chat) (endpoint.Info, bool) {
	set := placement.NewSet(lo.Map(t.directory.Pool(p), func(k endpoint.Info, _ int) placement.Descriptor {
		return t.placement.withZone(k.Descriptor)
	}))
	first := set.Candidates(nil, p, placement.KeyOf(chat), 0, 1)
	if len(first) == 0 {
		return endpoint.Info{}, false
	}
	return t.directory.Find(first[0].ID)
}

// withAccount adds the client account of each request to its context, so that
// calls to engines name the chat by the same key as placement does.
func (t *transfers) withAccount(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := coordination.Account(r.Header.Get(accountHeader))
		h.ServeHTTP(w, r.WithContext(engine.WithAccount(r.Context(), account)))
	})
}

// accountHeader is the request header with the client account.
const accountHeader = "X-Client-Account"

// transferMetrics counts moves by result and the bytes they took.
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

// transferConfig converts the router's configuration of transfers.
func transferConfig(c config.Transfer) transfer.Config {
	return transfer.Config{
		Bandwidth:       float64(c.Link),
		BytesPerToken:   c.BytesPerToken,
		PrefillPerToken: c.Prefill,
	}
}
