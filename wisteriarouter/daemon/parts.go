package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/platform"
)

// provide declares how each part is made. A part is made when the first other
// one asks for it.
func provide(i do.Injector) {
	provideShared(i)
	do.Provide(i, newPlatform)
	do.Provide(i, newEngines)
	do.Provide(i, newDirectory)
	do.Provide(i, newPlacing)
	do.Provide(i, newTeams)
	do.Provide(i, newTeamRetries)
	do.Provide(i, newActions)
	do.Provide(i, newOrders)
	do.Provide(i, newTransfers)
	do.Provide(i, newCallers)
	do.Provide(i, newServers)
}

// provideShared declares the parts that every router has.
func provideShared(i do.Injector) {
	do.Provide(i, newListeners)
	do.Provide(i, newRegistry)
	do.Provide(i, newBudget)
	do.Provide(i, newNode)
	do.Provide(i, newReach)
	do.Provide(i, newFleet)
	do.Provide(i, newSuspects)
}

func settingsOf(i do.Injector) *config.Config { return do.MustInvoke[*config.Config](i) }

func logOf(i do.Injector) event.Log { return do.MustInvoke[event.Log](i) }

func stateOf(i do.Injector) *state { return do.MustInvoke[*state](i) }

// onStop has fn called when the router ends, behind the parts made later.
func onStop(i do.Injector, fn func()) { do.MustInvoke[*cleanups](i).add(fn) }

func newRegistry(do.Injector) (*prometheus.Registry, error) {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r, nil
}

func newBudget(i do.Injector) (*budget.Budget, error) {
	return budget.New(settingsOf(i).Platform.Calls), nil
}

// newPlatform makes the client of the platform, whose calls are counted.
func newPlatform(i do.Injector) (*platform.Client, error) {
	cfg := settingsOf(i).Platform
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_platform_calls_total",
		Help: "Calls to the platform by operation and result.",
	}, []string{"op", "status"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "wisteria_platform_call_seconds",
		Help:    "Duration of calls to the platform.",
		Buckets: []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1},
	}, []string{"op"})
	do.MustInvoke[*prometheus.Registry](i).MustRegister(calls, seconds)
	c, cleanup, err := platform.New(platform.Config{
		Endpoints:    urls(cfg.KV),
		InstancesURL: "http://" + cfg.Instances,
		Timeout:      cfg.Timeout,
		OnCall: func(op platform.Op, status kv.Status, d time.Duration) {
			calls.WithLabelValues(string(op), status.String()).Inc()
			seconds.WithLabelValues(string(op)).Observe(d.Seconds())
		},
	})
	if err != nil {
		return nil, err
	}
	onStop(i, cleanup)
	return c, nil
}

func urls(addresses []string) []string {
	all := make([]string, 0, len(addresses))
	for _, a := range addresses {
		all = append(all, "http://"+a)
	}
	return all
}

// newNode makes this router's part in the fleet.
func newNode(i do.Injector) (*peer.Node, error) {
	cfg := settingsOf(i)
	st := stateOf(i)
	advertise := cfg.Listen.Advertise
	if advertise == "" {
		advertise = do.MustInvoke[*listeners](i).peers.Addr().String()
	}
	n, cleanup, err := peer.New(peer.Config{
		Fleet: cfg.Fleet,
		Self: membership.Member{
			Instance:    cfg.Instance,
			Incarnation: st.incarnation,
			Address:     advertise,
			Zone:        cfg.Zone,
			Region:      membership.Region(cfg.Region),
			Owner:       true,
		},
		Seeds:      cfg.Peers.Seeds,
		Membership: membership.Config{BytesPerSecond: cfg.Peers.Bytes},
		Topics:     topics,
		OnEvent:    peerEvents{log: logOf(i)}.emit,
	})
	if err != nil {
		return nil, err
	}
	onStop(i, cleanup)
	do.MustInvoke[*prometheus.Registry](i).MustRegister(&peerCollector{node: n})
	b := do.MustInvoke[*budget.Budget](i)
	n.OnChange(func(members []membership.Member) { b.SetMembers(len(members)) })
	return n, nil
}

func newEngines(i do.Injector) (*engine.Client, error) {
	c, cleanup := engine.NewClient(engine.Options{CallTimeout: settingsOf(i).Limits.EngineCall})
	onStop(i, cleanup)
	return c, nil
}

// listPause is the time between two reads of the list of instances by any
// router of the fleet: the platform's rates do not grow as the fleet does.
// Leaving endpoints are known sooner, from their own word and from rumours.
const listPause = 10 * time.Millisecond

// refreshEvery returns how often one of so many routers reads the list.
func refreshEvery(configured time.Duration, routers int) time.Duration {
	return max(configured, time.Duration(routers)*listPause)
}

// newDirectory makes the directory of endpoints and keeps it fresh. What one
// router notices of a leaving endpoint reaches the others as a rumour, long
// before the platform's list shows it.
func newDirectory(i do.Injector) (*endpoint.Directory, error) {
	cfg := settingsOf(i)
	node := do.MustInvoke[*peer.Node](i)
	d := &endpoint.Directory{OnLeaving: leavingTeller{node: node, log: logOf(i)}.tell}
	node.OnRumor(topicLeaving, leavingListener{directory: d}.hear)
	r := &endpoint.Refresher{
		Directory: d,
		Lister:    do.MustInvoke[*platform.Client](i),
		Interval:  func() time.Duration { return refreshEvery(cfg.Platform.Refresh, len(node.Members())) },
		Log:       logOf(i),
	}
	onStop(i, r.Start(context.Background()))
	return d, nil
}

// newReach makes what notices routers that do not answer.
func newReach(i do.Injector) (*peer.Reach, error) {
	r, cleanup := peer.NewReach(do.MustInvoke[*peer.Node](i), reachLogger{logOf(i)}.told)
	onStop(i, cleanup)
	return r, nil
}

// reachLogger logs that a router has gone away or is back.
type reachLogger struct{ log event.Log }

func (l reachLogger) told(id coordination.Instance, away bool) {
	kind := event.PeerBack
	if away {
		kind = event.PeerAway
	}
	l.log.Emit(kind, event.F("peer", id))
}
