package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/calls"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/platform"
)

// provide registers the constructors of the parts. A part is created when it is
// first requested.
func provide(i do.Injector) {
	provideShared(i)
	do.Provide(i, newPlatform)
	do.Provide(i, newEngines)
	do.Provide(i, newDirectory)
	do.Provide(i, newPlacer)
	do.Provide(i, newTeamSettings)
	do.Provide(i, newTeamRetries)
	do.Provide(i, newActions)
	do.Provide(i, newOrders)
	do.Provide(i, newTransfers)
	do.Provide(i, newCallers)
	do.Provide(i, newServers)
}

// provideShared registers the constructors of the parts that every router has.
func provideShared(i do.Injector) {
	do.Provide(i, newListeners)
	do.Provide(i, newRegistry)
	do.Provide(i, newCallWatcher)
	do.Provide(i, newBudget)
	do.Provide(i, newNode)
	do.Provide(i, newFailureDetector)
	do.Provide(i, newFleet)
	do.Provide(i, newCrashSuspicion)
}

func configOf(i do.Injector) *config.Config { return do.MustInvoke[*config.Config](i) }

func logOf(i do.Injector) event.Log { return do.MustInvoke[event.Log](i) }

func stateOf(i do.Injector) *state { return do.MustInvoke[*state](i) }

// onStop registers fn to be called when the router stops, after the parts
// created later have stopped.
func onStop(i do.Injector, fn func()) { do.MustInvoke[*cleanups](i).add(fn) }

func newRegistry(do.Injector) (*prometheus.Registry, error) {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r, nil
}

func newBudget(i do.Injector) (*budget.Budget, error) {
	return budget.New(configOf(i).Platform.Calls), nil
}

// newPlatform creates the client of the platform and the metrics of its calls.
func newPlatform(i do.Injector) (*platform.Client, error) {
	cfg := configOf(i).Platform
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wisteria_platform_calls_total",
		Help: "Calls to the platform by operation and result.",
	}, []string{"op", "status"})
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "wisteria_platform_call_seconds",
		Help:    "Duration of calls to the platform.",
		Buckets: []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1},
	}, []string{"op"})
	do.MustInvoke[*prometheus.Registry](i).MustRegister(total, seconds)
	watcher := do.MustInvoke[*calls.Watcher](i)
	c, cleanup, err := platform.New(platform.Config{
		Endpoints:    httpURLs(cfg.KV),
		InstancesURL: "http://" + cfg.Instances,
		Timeout:      cfg.Timeout,
		OnCall: func(op platform.Op, status kv.Status, d time.Duration) {
			total.WithLabelValues(string(op), status.String()).Inc()
			seconds.WithLabelValues(string(op)).Observe(d.Seconds())
			watcher.Record(calls.Kind("platform "+string(op)), status)
		},
	})
	if err != nil {
		return nil, err
	}
	onStop(i, cleanup)
	return c, nil
}

func httpURLs(addresses []string) []string {
	all := make([]string, 0, len(addresses))
	for _, a := range addresses {
		all = append(all, "http://"+a)
	}
	return all
}

// newNode creates this router's membership in the fleet.
func newNode(i do.Injector) (*peer.Node, error) {
	cfg := configOf(i)
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
		Topics:     rumorTopics,
		OnEvent:    peerEventLogger{log: logOf(i)}.emit,
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
	c, cleanup := engine.NewClient(engine.Options{CallTimeout: configOf(i).Limits.EngineCall})
	onStop(i, cleanup)
	return c, nil
}

// minListInterval is the minimum time between two reads of the instance list by
// any router of the fleet, so that the call rate at the platform does not grow
// with the fleet. Leaving endpoints are known sooner, from their own load
// reports and from rumors.
const minListInterval = 10 * time.Millisecond

// refreshInterval returns how often each router reads the instance list, given
// the number of routers.
func refreshInterval(configured time.Duration, routers int) time.Duration {
	return max(configured, time.Duration(routers)*minListInterval)
}

// newDirectory creates the directory of endpoints and starts to refresh it. A
// router that learns that an endpoint is leaving tells the others by a rumor,
// long before the platform's list shows it.
func newDirectory(i do.Injector) (*endpoint.Directory, error) {
	cfg := configOf(i)
	node := do.MustInvoke[*peer.Node](i)
	d := &endpoint.Directory{OnLeaving: leavingBroadcaster{node: node, log: logOf(i)}.broadcast}
	node.OnRumor(topicLeaving, leavingReceiver{directory: d}.receive)
	r := &endpoint.Refresher{
		Directory: d,
		Lister:    do.MustInvoke[*platform.Client](i),
		Interval:  func() time.Duration { return refreshInterval(cfg.Platform.Refresh, len(node.Members())) },
		Log:       logOf(i),
	}
	onStop(i, r.Start(context.Background()))
	return d, nil
}

// newFailureDetector creates the detector of unreachable routers, through which all calls
// to routers are made.
func newFailureDetector(i do.Injector) (*peer.FailureDetector, error) {
	r, cleanup := peer.NewFailureDetector(do.MustInvoke[*peer.Node](i), reachabilityLogger{logOf(i)}.logChange)
	onStop(i, cleanup)
	watcher := do.MustInvoke[*calls.Watcher](i)
	r.WatchCalls(func(topic string, s kv.Status) { watcher.Record(calls.Kind("router "+topic), s) })
	return r, nil
}

// reachabilityLogger logs that a router has become unreachable or reachable again.
type reachabilityLogger struct{ log event.Log }

func (l reachabilityLogger) logChange(id coordination.Instance, unreachable bool) {
	kind := event.PeerBack
	if unreachable {
		kind = event.PeerAway
	}
	l.log.Emit(kind, event.F("peer", id))
}
