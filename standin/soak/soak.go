// Package soak runs router processes on loopback and injects seeded faults: links
// are delayed, cut and silenced, routers are stopped, paused, killed and
// restarted, and the store and endpoints fail. Meanwhile it checks that what
// callers and endpoints observe satisfies the guarantees of the fleet. Guarantees
// that hold only for routers without faults are checked only for those.
package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/proxy"
	"wisteriaspool/standin/replica"
)

// Options configures a soak.
type Options struct {
	Binary        string // path of the router binary
	Dir           string // for settings files and logs
	Seed          uint64
	FaultDuration time.Duration // time in which faults are injected, without startup and recovery
	Routers       int
	Callers       int
	Skip          []int // numbers of faults to skip
	Zones         bool  // evacuate availability zones and make endpoints cold, too
	// Responses makes some endpoints serve undelimited responses, break responses off as
	// if they were complete, say in responses alone that they leave, and turn requests
	// away with a pause, too.
	Responses bool
	// Crashes makes callers repeat requests that crash the endpoints that run them, too.
	Crashes bool
	// Parts makes requests with a part in common crash the endpoints that run them, too.
	Parts bool
	// Restores makes the store come back from older copies, beside routers that are killed.
	Restores bool
	// Failures makes all endpoints of a service fail and kills all routers meanwhile, too.
	Failures bool
	// Versions adds a service whose endpoints have several versions of their software,
	// releases them one after the other and loses replies to watches meanwhile, too.
	Versions bool
	// Uneven adds a service whose endpoints differ in speed and report it correctly, falsely
	// or not at all, while one client account requests many times its share, too.
	Uneven bool
	// Order adds a service whose streams callers check piece by piece, and takes routers out
	// of step while versions of it are released, too.
	Order bool
	Out   io.Writer // receives a line for each fault; nil means none
}

// Result is the result of a soak.
type Result struct {
	Requests   int
	Served     int
	Faults     int
	Crashes    int      // endpoints that requests have crashed
	Violations []string // violated guarantees, one line each
}

// soak is the state of one run.
type soak struct {
	opts        Options
	rng         *rand.Rand // of the current fault
	faultNumber int        // number of the current fault
	started     time.Time
	store       *hub.Store
	inspector   *replica.Inspector // of requests to endpoints
	storeServer *httptest.Server
	routers     []*router
	load        *load
	basePort    int // start of the port range
	port        int // offset of the next port to try in the range

	mu             sync.Mutex
	endpoints      []*endpoint
	nextID         int
	version        int       // of the desired state
	previous       int       // version before the current one
	changedAt      time.Time // when the desired state was last changed
	revoked        bool
	evacuated      map[string]bool // by availability zone
	faultSpans     []timeSpan
	coldSpans      []coldSpan
	lastStoreFault time.Time // when a fault of the store last began or ended
	fleetKilled    time.Time // when all routers were last killed
	loads          loadTally // of the service whose endpoints differ in speed
	order          *order    // nil unless Options.Order is set
	violations     []string
	faults         int
	cleanups       []func()
}

// endpoint is an endpoint behind a proxy.
type endpoint struct {
	*replica.Replica
	id      string
	service string
	zone    string
	proxy   *proxy.Proxy
	kill    func()
	// stopProxy resets the connections and refuses new ones.
	stopProxy func()
	added     time.Time
	drained   time.Time // when it announced that it is stopping
	crashed   time.Time
}

// until returns the time at which the endpoint stopped accepting requests, or the
// zero time.
func (e *endpoint) until() time.Time {
	if e.drained.IsZero() {
		return e.crashed
	}
	return e.drained
}

// The number of endpoints per service. Endpoints of the service with long streams
// never fail, so that problems there are caused by the routers.
const (
	deskEndpoints  = 3
	modelEndpoints = 4
	longEndpoints  = 2
)

// storeRevisionBits is the size of the store's revisions, of which routers take up to 40 bits.
const storeRevisionBits = 40

// Run runs a soak and returns its result. The error is non-nil if the soak could
// not start; violations are not errors.
func Run(o Options) (Result, error) {
	s := &soak{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), store: hub.New(), inspector: replica.NewInspector(), started: time.Now()}
	s.store.SetSeed(o.Seed, storeRevisionBits)
	defer s.close()
	s.storeServer = httptest.NewServer(s.store)
	s.onClose(s.storeServer.CloseClientConnections)
	if err := s.start(); err != nil {
		return Result{}, err
	}
	s.load = newLoad(s)
	s.load.start()
	var further sync.WaitGroup
	if o.Zones {
		further.Go(func() { s.faultZones(time.Now().Add(o.FaultDuration)) })
	}
	if o.Responses {
		further.Go(func() { s.faultResponses(time.Now().Add(o.FaultDuration)) })
	}
	if o.Crashes {
		further.Go(func() { s.repeatCrashingRequests(time.Now().Add(o.FaultDuration)) })
	}
	if o.Restores {
		further.Go(func() { s.restoreStore(time.Now().Add(o.FaultDuration)) })
	}
	if o.Parts {
		further.Go(func() { s.sendCrashingParts(time.Now().Add(o.FaultDuration)) })
	}
	if o.Failures {
		further.Go(func() { s.failServices(time.Now().Add(o.FaultDuration)) })
	}
	if o.Versions {
		further.Go(func() { s.rollVersions(time.Now().Add(o.FaultDuration)) })
		further.Go(func() { s.killFleets(time.Now().Add(o.FaultDuration)) })
	}
	if o.Uneven {
		further.Go(func() { s.changePaces(time.Now().Add(o.FaultDuration)) })
		further.Go(func() { s.surge(time.Now().Add(o.FaultDuration)) })
		further.Go(func() { s.sampleLoads(time.Now().Add(o.FaultDuration)) })
	}
	if o.Order {
		further.Go(func() { s.loseStep(time.Now().Add(o.FaultDuration)) })
	}
	s.injectFaults()
	further.Wait()
	s.checkRecovery()
	s.load.stop()
	if o.Versions {
		s.load.named.reportKind(s, "named")
		s.load.unnamed.reportKind(s, "unnamed")
		s.load.named.merge(&s.load.unnamed)
		s.load.named.report(s)
	}
	if o.Uneven {
		s.checkUneven()
	}
	if o.Order {
		s.order.tally.report(s)
	}
	s.check()
	return Result{Requests: s.load.count(), Served: s.load.countServed(), Faults: s.faults, Crashes: s.crashes(), Violations: s.violations}, nil
}

func (s *soak) onClose(fn func()) { s.cleanups = append(s.cleanups, fn) }

func (s *soak) close() {
	s.store.SetFaults(hub.Faults{Outage: true})
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// start starts the endpoints, writes the desired state, and starts the routers.
func (s *soak) start() error {
	for range deskEndpoints {
		if _, err := s.addEndpoint("desk"); err != nil {
			return err
		}
	}
	for range modelEndpoints {
		if _, err := s.addEndpoint("model"); err != nil {
			return err
		}
	}
	for range longEndpoints {
		if _, err := s.addEndpoint("long"); err != nil {
			return err
		}
	}
	if s.opts.Versions {
		if err := s.startVersions(); err != nil {
			return err
		}
	}
	if s.opts.Uneven {
		if err := s.startUneven(); err != nil {
			return err
		}
	}
	if s.opts.Order {
		if err := s.startOrder(); err != nil {
			return err
		}
	}
	s.putState(1 + s.rng.IntN(3))
	if err := s.claimPorts(); err != nil {
		return err
	}
	for n := range s.opts.Routers {
		r, err := s.newRouter(n)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	for _, r := range s.routers {
		if err := r.start(s.seeds()); err != nil {
			return err
		}
	}
	return s.awaitReady(10 * time.Second)
}

// seeds returns the peer addresses of the first three routers.
func (s *soak) seeds() string {
	var all []string
	for _, r := range s.routers[:min(3, len(s.routers))] {
		all = append(all, r.peerProxy.Address())
	}
	return strings.Join(all, ", ")
}

func (s *soak) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range s.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("soak: router %d is not ready after %v; see %s", r.n, limit, r.logFile())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// addEndpoint starts an endpoint and registers it under the address of its proxy.
func (s *soak) addEndpoint(service string) (*endpoint, error) {
	return s.addEndpointWith(service, func(*replica.Options) {})
}

// addEndpointWith is addEndpoint for an endpoint whose options change is called with.
func (s *soak) addEndpointWith(service string, change func(*replica.Options)) (*endpoint, error) {
	s.mu.Lock()
	s.nextID++
	n := s.nextID
	s.mu.Unlock()
	id := fmt.Sprintf("%s-%d", service, n)
	o := replica.Options{ID: id, Service: service, Zone: fmt.Sprintf("z%d", n%3), Delay: 15 * time.Millisecond, Unregistered: true, Events: fewEvents, Inspector: s.inspector}
	if service == "long" {
		o.Events = manyEvents
	}
	o.Undelimited = s.opts.Responses && service != "long" && n%2 == 0
	crash := &endpointCrash{soak: s, n: n}
	if s.opts.Crashes && service != "long" {
		o.CrashMark, o.OnCrash = crashMark, crash.run
	}
	if s.opts.Parts && service == "model" {
		o.CrashPart, o.CrashEvents, o.OnCrash = crashPart, n%3-1, crash.run
	}
	change(&o)
	r, kill, err := replica.Start(s.store, o)
	if err != nil {
		return nil, err
	}
	p, stop, err := proxy.New(r.Address())
	if err != nil {
		return nil, err
	}
	e := &endpoint{Replica: r, id: o.ID, service: service, zone: o.Zone, proxy: p, kill: kill, stopProxy: stop, added: time.Now()}
	crash.endpoint = e
	if service == orderService {
		r.Register() // the kernel's own ends of connections count there
	} else {
		r.RegisterAt(p.Address())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, e)
	s.onClose(kill)
	s.onClose(stop)
	return e, nil
}

// putState writes the next version of the desired state.
func (s *soak) putState(step int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous, s.changedAt = s.version, time.Now()
	s.version += step
	keys := []string{steadyKey, versionKey(s.version)}
	if !s.revoked {
		keys = append(keys, "revocable")
	}
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "hostname": "soak.example", "prefix": prefix, "type": kind, "backend": service,
			"attempts": attempts, "timeoutMs": 4000, "resumable": resumable, "sticky": service != "desk" && service != unevenService,
		}
	}
	routes := []any{
		route("/safe/", "safe", "desk", 2, false),
		route("/unsafe/", "unsafe", "desk", 1, false),
		route("/stream/", "stream", "model", 1, false),
		route("/resumable/", "stream", "model", 2, true),
		route("/long/", "stream", "long", 2, true),
		route(releasePath, "stream", releaseService, 2, true),
	}
	backends := []any{
		map[string]any{"name": "desk", "maxConns": 200},
		map[string]any{"name": coldService, "maxConns": 200, "runtime": map[string]any{"slots": 8}, "coldPerS": coldRate, "coldStartS": coldTime.Seconds()},
		map[string]any{"name": "long", "maxConns": 200, "runtime": map[string]any{"slots": 8}},
		map[string]any{"name": releaseService, "maxConns": 200, "runtime": map[string]any{"slots": 32}},
	}
	tenants := []any{map[string]any{"name": clientAccount, "apiKeys": keys}}
	granted := map[string][]string{clientAccount: keys}
	if s.opts.Uneven {
		routes = append(routes, route(unevenPath, "safe", unevenService, 2, false))
		backends = append(backends, map[string]any{"name": unevenService, "maxConns": 200, "runtime": map[string]any{"slots": unevenSlots}})
		for _, account := range append([]string{surgingAccount}, calmAccounts...) {
			granted[account] = []string{account}
			tenants = append(tenants, map[string]any{"name": account, "apiKeys": granted[account]})
		}
	}
	if s.opts.Order {
		for _, r := range []map[string]any{route(piecesPath, "stream", orderService, 2, true), route(oncePath, "stream", orderService, 2, false)} {
			r["ttftTargetMs"], r["itlTargetMs"] = 600, 200
			routes = append(routes, r)
		}
		backends = append(backends, map[string]any{"name": orderService, "maxConns": 400, "runtime": map[string]any{"slots": pieceSlots}})
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "backends": backends, "tenants": tenants,
		"limits": map[string]any{"maxBodyBytes": 1 << 20},
	})
	if err != nil {
		panic("soak: encoding a desired state: " + err.Error())
	}
	s.inspector.AddState(granted)
	s.store.Put("op/config", value)
}

// versionKey returns the API key that only one version of the desired state
// contains.
func versionKey(version int) string { return fmt.Sprintf("version-%d", version) }

// versions returns the newest version of the desired state and the previous one.
func (s *soak) versions() (newest, before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.previous
}

// versionAt returns when the desired state was last changed.
func (s *soak) versionAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedAt
}

// recordFaultSpan records that an endpoint is faulty from now on for d.
func (s *soak) recordFaultSpan(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.faultSpans = append(s.faultSpans, timeSpan{now, now.Add(d)})
}

func (s *soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.3f s: ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) logf(format string, args ...any) {
	if s.opts.Out != nil {
		fmt.Fprintf(s.opts.Out, "%8.3f s  %3d  %s\n", time.Since(s.started).Seconds(), s.faultNumber, fmt.Sprintf(format, args...))
	}
}

// recoveryTime is how long after the last fault the fleet must serve every request
// again.
const recoveryTime = 6 * time.Second

// checkRecovery ends all faults and checks that the fleet serves requests again.
func (s *soak) checkRecovery() {
	s.store.SetFaults(hub.Faults{})
	for _, r := range s.routers {
		r.clearFaults(s.seeds())
	}
	s.mu.Lock()
	endpoints := append([]*endpoint(nil), s.endpoints...)
	s.mu.Unlock()
	for _, e := range endpoints {
		e.SetFaults(replica.Faults{})
		e.proxy.SetMode(proxy.Mode{})
	}
	time.Sleep(recoveryTime)
	for _, r := range s.routers {
		for n := range 10 {
			for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"} {
				o := s.load.sendOnce(r, path)
				if !o.served {
					s.reportViolation("router %d does not serve %s (try %d), %v behind the last fault: status %d %v", r.n, path, n, recoveryTime, o.status, o.err)
				}
				if o.status == 0 {
					return // the router is unreachable; each further try would wait for its deadline
				}
			}
		}
	}
}

// check reports the violations that only the complete history shows.
func (s *soak) check() {
	h := history{outcomes: s.load.outcomes(), faultSpans: s.faultSpans, coldSpans: s.coldSpans}
	for _, e := range s.endpoints {
		h.servingPeriods = append(h.servingPeriods, servingPeriod{e.service, e.added, e.until()})
		for _, a := range e.Arrivals() {
			h.arrivals = append(h.arrivals, arrival{Arrival: a, endpoint: e.id, service: e.service})
		}
	}
	slices.SortFunc(h.arrivals, func(a, b arrival) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, line := range h.violations() {
		s.reportViolation("%s", line)
	}
	for _, line := range h.crashCounts() {
		s.logf("%s", line)
	}
	for _, line := range h.checkParts() {
		s.reportViolation("%s", line)
	}
	for _, line := range h.checkCrashes() {
		s.reportViolation("%s", line)
	}
	s.checkLogs()
	for _, reason := range s.store.Refusals() {
		s.reportViolation("a call to the store was refused: %s", reason)
	}
	for _, line := range s.inspector.Violations() {
		s.reportViolation("%s", line)
	}
	s.checkHeeded()
}
