package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/route"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	instances "wisteriaspool/wisteriarouter/platform"
	"wisteriaspool/wisteriarouter/relay"
	"wisteriaspool/wisteriarouter/upstream"
)

// provideRelay declares the parts of a router that relays plain HTTP on a
// platform whose store holds the desired state and the endpoints.
func provideRelay(i do.Injector) {
	provideShared(i)
	do.Provide(i, newStore)
	do.Provide(i, newMirror)
	do.Provide(i, newListedDirectory)
	do.Provide(i, newRegister)
	do.Provide(i, newRelayPlacing)
	do.Provide(i, newDesired)
	do.Provide(i, newRelayPlacer)
	do.Provide(i, newPoolRetries)
	do.Provide(i, newSender)
	do.Provide(i, newRelay)
	do.Provide(i, newRelayServers)
}

// storeTimeout bounds a call to the platform's store, which answers in some
// milliseconds; a slow one takes 60 times as long.
const storeTimeout = time.Second

func newStore(i do.Injector) (*platform.Store, error) {
	cfg := settingsOf(i).Relay
	observe := newStoreMetrics(do.MustInvoke[*prometheus.Registry](i))
	s, cleanup := platform.NewStore(platform.StoreConfig{Address: cfg.Store, Timeout: storeTimeout, OnCall: observe})
	onStop(i, cleanup)
	return s, nil
}

// peerTimeout is how much longer than its wait another router's answer may take.
const peerTimeout = 500 * time.Millisecond

// newMirror makes the router's copy of what the store holds, which the parts
// that go by it observe.
func newMirror(do.Injector) (*mirror.Mirror, error) { return mirror.New(), nil }

// feed starts to feed the mirror, whose observers are set by then, from the
// store and from other routers. A router that the store turns away still hears
// of changes from those that it serves.
func feed(i do.Injector, m *mirror.Mirror) {
	node := do.MustInvoke[*peer.Node](i)
	f := &fleetOf{node: node, reach: do.MustInvoke[*reach](i), mirror: m, lost: make(map[coordination.Instance]time.Time)}
	f.store = &mirror.Follower{
		Mirror:  m,
		Source:  mirror.StoreSource{Store: do.MustInvoke[*platform.Store](i), Prefix: platform.Prefix, Wait: f.watchWait},
		Idle:    f.leaveToOthers,
		OnState: storeLogger{logOf(i)}.told,
	}
	peers := &mirror.Follower{Mirror: m, Source: mirror.PeerSource{
		Transport: f.reach,
		Choose:    f.choose,
		Prefix:    platform.Prefix,
		Wait:      func() time.Duration { return mirror.PeerWait(len(f.node.Members())) },
		Timeout:   peerTimeout,
		OnLost:    f.avoid,
	}}
	server := &mirror.Server{Mirrors: map[string]*mirror.Mirror{platform.Prefix: m}, Lost: f.store.Lost}
	node.Handle(mirror.Topic, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return server.Handle(ctx, payload)
	})
	onStop(i, f.store.Start())
	onStop(i, peers.Start())
}

// storeLogger logs that the store is lost or back.
type storeLogger struct{ log event.Log }

func (s storeLogger) told(err error) {
	if err == nil {
		s.log.Emit(event.PlatformBack)
		return
	}
	s.log.Emit(event.PlatformLost, event.F("error", err.Error()))
}

// fleetOf tells whom a router asks for what the store holds.
type fleetOf struct {
	node   *peer.Node
	reach  *reach
	mirror *mirror.Mirror
	store  *mirror.Follower // of the store

	mu   sync.Mutex
	lost map[coordination.Instance]time.Time // when each was found not to reach the store
}

// avoidFor is how long a router that does not reach the store is not asked.
const avoidFor = 2 * time.Second

// avoid notes that a router does not reach the store.
func (f *fleetOf) avoid(id coordination.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[id] = time.Now()
}

// reaches reports whether a router is worth asking, as far as is known.
func (f *fleetOf) reaches(id coordination.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lost[id]) > avoidFor
}

// routers returns the routers that answer, as far as this one knows.
func (f *fleetOf) routers() []placement.Router {
	return lo.FilterMap(f.node.Members(), func(m membership.Member, _ int) (placement.Router, bool) {
		return placement.Router{ID: m.Instance, Zone: m.Zone}, m.State != membership.Leaving && !f.reach.away(m.Instance)
	})
}

// reaching returns the routers that answer and, as far as is known, reach the
// store. Of these some watch it, so that others take over at once from those
// that it turns away.
func (f *fleetOf) reaching() []placement.Router {
	return lo.Filter(f.routers(), func(r placement.Router, _ int) bool { return f.reaches(r.ID) })
}

func (f *fleetOf) watchWait() time.Duration {
	return mirror.WatchWait(len(mirror.Watchers(f.reaching())), f.store.Lost())
}

// leaveToOthers reports whether the store need not be asked now. Before its
// first answer it is, so that a router that starts is ready at once.
func (f *fleetOf) leaveToOthers() bool {
	return f.mirror.AsOf() > 0 && !mirror.NeedsStore(f.node.Self().Instance, f.reaching(), f.mirror.Age())
}

// anyEvery is how often a router asks any other one rather than one of those
// that watch the store: these may all be cut off from it.
const anyEvery = 3

// choose names the router to ask next: mostly one that watches the store and is
// of the same availability zone, for traffic between zones has a price.
func (f *fleetOf) choose() (coordination.Instance, bool) {
	routers, self := f.reaching(), f.node.Self()
	among := mirror.Watchers(routers)
	near := lo.FilterMap(routers, func(r placement.Router, _ int) (coordination.Instance, bool) {
		return r.ID, r.Zone == self.Zone && slices.Contains(among, r.ID) && r.ID != self.Instance
	})
	switch {
	case rand.IntN(anyEvery) == 0:
		among = lo.Map(routers, func(r placement.Router, _ int) coordination.Instance { return r.ID })
	case len(near) > 0:
		among = near
	}
	among = lo.Without(among, self.Instance)
	if len(among) == 0 {
		return "", false
	}
	return among[rand.IntN(len(among))], true
}

// newListedDirectory makes the directory of endpoints from their entries in
// the store.
func newListedDirectory(i do.Injector) (*endpoint.Directory, error) {
	return &endpoint.Directory{OnLeaving: leavingLogger{logOf(i)}.tell}, nil
}

// newRegister has the entries in the store taken into the directory.
func newRegister(i do.Injector) (*endpoint.Register, error) {
	m := do.MustInvoke[*mirror.Mirror](i)
	r := &endpoint.Register{
		Directory: do.MustInvoke[*endpoint.Directory](i),
		Away:      func() bool { return m.Age() > mirror.AwayAfter },
		Log:       logOf(i),
	}
	m.OnReturn(r.StoreBack)
	m.Observe(entryReader{register: r, log: logOf(i)}.take)
	return r, nil
}

type leavingLogger struct{ log event.Log }

func (l leavingLogger) tell(id coordination.Endpoint, n coordination.Incarnation) {
	l.log.Emit(event.EndpointLeaving, event.F("endpoint", id), event.F("incarnation", n))
}

// entryReader turns items of the store into changes of endpoints.
type entryReader struct {
	register *endpoint.Register
	log      event.Log
}

func (r entryReader) take(items []mirror.Item) {
	changes := make([]endpoint.Change, 0, len(items))
	for _, item := range items {
		if !platform.IsEntry(item.Key) {
			continue
		}
		if c, ok := r.change(item); ok {
			changes = append(changes, c)
		}
	}
	r.register.Take(changes)
}

func (r entryReader) change(item mirror.Item) (endpoint.Change, bool) {
	if item.Deleted {
		return endpoint.Change{Entry: instances.Entry{ID: platform.EntryID(item.Key)}, Gone: true}, true
	}
	e, err := platform.DecodeEntry(item.Key, item.Value)
	if err != nil {
		r.log.Emit(event.EndpointMalformed, event.F("key", item.Key), event.F("revision", item.Revision), event.F("error", err.Error()))
		return endpoint.Change{}, false
	}
	state := instances.Live
	if e.Draining {
		state = instances.Leaving
	}
	return endpoint.Change{Entry: instances.Entry{
		ID:          e.ID,
		Address:     e.Address,
		Zone:        e.Zone,
		Kind:        instances.PlainService,
		Pool:        e.Pool,
		State:       state,
		Incarnation: e.Incarnation,
		Capacity:    e.Slots,
	}}, true
}

// desired holds the desired state in force.
type desired struct {
	log    event.Log
	table  atomic.Pointer[route.Table]
	place  *placing
	mirror *mirror.Mirror
	relay  atomic.Pointer[config.Relay]
	ready  chan struct{} // closed with the first desired state
}

func newDesired(i do.Injector) (*desired, error) {
	d := &desired{
		log:   logOf(i),
		place: do.MustInvoke[*placing](i),
		ready: make(chan struct{}),
	}
	d.relay.Store(settingsOf(i).Relay)
	m := do.MustInvoke[*mirror.Mirror](i)
	d.mirror = m
	m.Observe(d.take)
	do.MustInvoke[*endpoint.Register](i)
	feed(i, m)
	return d, nil
}

// Table implements relay.Desired.
func (d *desired) Table() *route.Table { return d.table.Load() }

// Age implements relay.Desired.
func (d *desired) Age() time.Duration { return d.mirror.Age() }

// take puts a new desired state in force. One that cannot be read, or that is
// older than the one in force, changes nothing.
func (d *desired) take(items []mirror.Item) {
	for _, item := range items {
		if item.Key == platform.StateKey && !item.Deleted {
			d.apply(item)
		}
	}
}

func (d *desired) apply(item mirror.Item) {
	s, err := platform.DecodeState(item.Value)
	if err != nil {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision), event.F("error", err.Error()))
		return
	}
	old := d.table.Load()
	if old != nil && s.Version <= old.Version {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision), event.F("version", s.Version), event.F("in-force", old.Version))
		return
	}
	d.table.Store(route.NewTable(s))
	d.place.bounds(s, d.relay.Load())
	d.log.Emit(event.SettingsApplied, event.F("version", s.Version), event.F("revision", item.Revision), event.F("routes", len(s.Routes)))
	if old == nil {
		close(d.ready)
	}
}

// configure takes in new settings of this router.
func (d *desired) configure(cfg config.Relay) {
	d.relay.Store(&cfg)
	if t := d.table.Load(); t != nil {
		d.place.bounds(t.State, &cfg)
	}
}

// newSender makes the client that sends requests to endpoints.
func newSender(i do.Injector) (*upstream.Client, error) {
	m := newDialMetrics(do.MustInvoke[*prometheus.Registry](i))
	c, cleanup := upstream.NewClient(upstream.Config{Dial: platform.Dialer(dialTimeout).DialContext, DialTimeout: dialTimeout, OnDial: m})
	onStop(i, cleanup)
	return c, nil
}

// dialTimeout is the longest time for a connection to an endpoint. Between
// availability zones it takes 7 ms; a first packet that is lost is sent again
// after a second, when another endpoint has long answered.
const dialTimeout = 400 * time.Millisecond

func newRelay(i do.Injector) (*relay.Server, error) {
	return &relay.Server{
		Desired:  do.MustInvoke[*desired](i),
		Placer:   do.MustInvoke[*relayPlacer](i),
		Sender:   do.MustInvoke[*upstream.Client](i),
		Retries:  do.MustInvoke[*poolRetries](i),
		Suspects: relaySuspects{do.MustInvoke[*suspects](i)},
		Log:      logOf(i),
		Metrics:  relay.NewMetrics(do.MustInvoke[*prometheus.Registry](i)),
		Stopping: stateOf(i).leaving.Load,
	}, nil
}

// relaySuspects implements relay.Suspects.
type relaySuspects struct{ *suspects }

// Follow implements relay.Suspects.
func (s relaySuspects) Follow(ctx context.Context, fingerprint uint64, p coordination.Pool) (relay.Trail, *outcome.Refusal) {
	t, refusal := s.suspects.Follow(ctx, fingerprint, p)
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// relaySuspicion is what suspicion goes by where endpoints crash and return
// within seconds: a suspect waits no longer than a rumour takes through the
// fleet, and the other requests of its pool are not held up.
var relaySuspicion = suspicion.Config{Hold: 200 * time.Millisecond, LossWindow: time.Millisecond}

// newRelayServers serves on the listeners of a relaying router.
func newRelayServers(i do.Injector) (*servers, error) {
	lim := settingsOf(i).Limits
	bound := do.MustInvoke[*listeners](i)
	node := do.MustInvoke[*peer.Node](i)
	do.MustInvoke[*prometheus.Registry](i).MustRegister(&relayCollector{
		desired:   do.MustInvoke[*desired](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
		retries:   do.MustInvoke[*poolRetries](i),
	})
	s := &servers{node: node, log: logOf(i), failed: make(chan struct{}), keepIdle: true}
	s.peers = newServer(bound.peers, peerHandler(node), lim, s.fail)
	s.operators = newServer(bound.operators, metricsHandler(i), lim, s.fail)
	s.readiness = newServer(bound.readiness, readinessHandler(stateOf(i)), lim, s.fail)
	s.callers = newServer(bound.callers, do.MustInvoke[*relay.Server](i), lim, s.fail)
	s.callers.active = &stateOf(i).inFlight
	onStop(i, s.close)
	for _, each := range s.all() {
		go each.run()
	}
	ctx, cancel := context.WithCancel(context.Background())
	onStop(i, cancel)
	go relayReadiness{
		readiness: readiness{state: stateOf(i), settings: do.MustInvoke[*desired](i).ready, node: node, log: s.log},
		entries:   do.MustInvoke[*mirror.Mirror](i),
	}.run(ctx)
	return s, nil
}

// relayReadiness declares the router ready once it has a desired state and has
// read the list of endpoints.
type relayReadiness struct {
	readiness
	entries *mirror.Mirror
}

func (r relayReadiness) run(ctx context.Context) {
	r.entries.Wait(ctx, 0, nil)
	r.readiness.run(ctx)
}

func readinessHandler(st *state) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !st.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
