package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination/order"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/service"
)

// version is the API version in the OpenAPI documents.
const version = "0.1.0"

func newCallers(i do.Injector) (*caller.Server, error) {
	lim := configOf(i).Limits
	st := stateOf(i)
	return &caller.Server{
		Planner:  do.MustInvoke[*teamSettings](i),
		Placer:   do.MustInvoke[*placer](i),
		Engines:  do.MustInvoke[*engine.Client](i),
		Suspects: do.MustInvoke[*crashSuspicion](i),
		Retries:  do.MustInvoke[*teamRetries](i),
		Actions:  do.MustInvoke[*service.Runner](i),
		Limits: caller.Limits{
			MaxBodyBytes:  int64(lim.BodyBytes),
			WriteTimeout:  lim.WriteTimeout,
			CancelTimeout: lim.CancelFor,
		},
		Log:      logOf(i),
		Metrics:  caller.NewMetrics(do.MustInvoke[*prometheus.Registry](i)),
		Stopping: st.stopping.Load,
	}, nil
}

// newServers starts the servers for peers, operators and callers once all the
// components that they serve have been created.
func newServers(i do.Injector) (*servers, error) {
	cfg := newServerConfig(i)
	bound := do.MustInvoke[*listeners](i)
	node := do.MustInvoke[*peer.Node](i)
	do.MustInvoke[*order.Reconciler](i)
	s := &servers{node: node, log: logOf(i), failed: make(chan struct{})}
	s.peers = newServer(bound.peers, peerHandler(node), cfg, s.fail)
	s.operators = newServer(bound.operators, operatorHandler(i), cfg, s.fail)
	s.callers = newServer(bound.callers, do.MustInvoke[*transfers](i).withAccount(callerHandler(i)), cfg, s.fail)
	stateOf(i).inFlight = s.callers.Active
	onStop(i, s.close)
	for _, each := range []*server{s.peers, s.operators, s.callers} {
		go each.run()
	}
	ctx, cancel := context.WithCancel(context.Background())
	onStop(i, cancel)
	go readiness{
		state:    stateOf(i),
		settings: do.MustInvoke[*teamSettings](i).sync.Ready(),
		node:     s.node,
		suspects: do.MustInvoke[*crashSuspicion](i),
		log:      s.log,
	}.run(ctx)
	return s, nil
}

// readiness marks the router ready once it has loaded the settings and knows which
// requests crash endpoints. Before that, it would refuse every team as unknown.
type readiness struct {
	state    *state
	settings <-chan struct{}
	node     *peer.Node
	suspects *crashSuspicion
	log      event.Log
}

func (r readiness) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-r.settings:
	}
	for _, g := range r.suspects.guards() {
		select {
		case <-ctx.Done():
			return
		case <-g.guard.CaughtUp():
		}
	}
	r.state.ready.Store(true)
	r.node.SetReady(true)
	suspects, convicted := r.suspects.table.Counts(time.Now())
	r.log.Emit(event.Ready, event.F("suspects", suspects), event.F("convicted", convicted))
}

func peerHandler(node *peer.Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, node)
	return mux
}

func callerHandler(i do.Injector) http.Handler {
	mux := http.NewServeMux()
	do.MustInvoke[*caller.Server](i).Register(humago.New(mux, huma.DefaultConfig("wisteriaspool", version)))
	addHealthChecks(mux, stateOf(i))
	return mux
}

// addHealthChecks adds the health and readiness endpoints that the load balancer
// and the platform query.
func addHealthChecks(mux *http.ServeMux, st *state) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !st.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

func operatorHandler(i do.Injector) http.Handler {
	mux := http.NewServeMux()
	registry := do.MustInvoke[*prometheus.Registry](i)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	addHealthChecks(mux, stateOf(i))
	addOperatorAPI(i, humago.New(mux, huma.DefaultConfig("wisteriaspool operators", version)))
	return mux
}
