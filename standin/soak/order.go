package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"wisteriaspool/standin/replica"
)

// order is the state of the mode that checks streams piece by piece while routers are out of
// step: cut off from all others and from the store, or stopped.
type order struct {
	conns connSet
	tally pieceTally
	runs  *pieceRuns

	mu        sync.Mutex
	servers   map[string]*pieceServer // by endpoint
	outOfStep map[*router]bool
}

const (
	orderService = "pieces"
	// pieceEndpoints is the number of endpoints of each version.
	pieceEndpoints = 3
	pieceSlots     = 32
	// releaseDelay is the time between the moment at which a router falls out of step and
	// that at which endpoints of a new version join.
	releaseDelay = 300 * time.Millisecond
	// maxListenerLag bounds the time by which the kernel closes the listener of a process
	// that is killed after its connections.
	maxListenerLag = 20 * time.Millisecond
	// listenerBound is the time by which the soak may close it at most to stand for a kernel.
	listenerBound = 2 * maxListenerLag
	// maxSilence bounds the time for which an endpoint is silent.
	maxSilence = 3500 * time.Millisecond
)

func newOrder() *order {
	o := &order{servers: make(map[string]*pieceServer), outOfStep: make(map[*router]bool), runs: newPieceRuns()}
	o.conns.conns = make(map[*net.TCPConn]struct{})
	return o
}

// startOrder adds the first endpoints of the service.
func (s *soak) startOrder() error {
	s.order = newOrder()
	return s.addPieceEndpoints("v1", pieceEndpoints)
}

// addPieceEndpoints adds endpoints of a version.
func (s *soak) addPieceEndpoints(version string, n int) error {
	for range n {
		p := &pieceServer{runs: s.order.runs, inspector: s.inspector, version: version}
		e, err := s.addEndpointWith(orderService, func(o *replica.Options) {
			o.Version, o.Slots, o.Serve, o.Delay = version, pieceSlots, p.serve, 0
			p.endpoint = o.ID
		})
		if err != nil {
			return err
		}
		s.order.mu.Lock()
		p.early = len(s.order.servers)%4 == 3
		s.order.servers[e.id] = p
		s.order.mu.Unlock()
	}
	return nil
}

// isOutOfStep reports whether a router is out of step.
func (s *soak) isOutOfStep(r *router) bool {
	s.order.mu.Lock()
	defer s.order.mu.Unlock()
	return s.order.outOfStep[r]
}

// routersOutOfStep returns the routers that are out of step.
func (s *soak) routersOutOfStep() (all []*router) {
	for _, r := range s.routers {
		if s.isOutOfStep(r) {
			all = append(all, r)
		}
	}
	return all
}

func (s *soak) setOutOfStep(r *router, out bool) {
	r.markFault()
	s.order.mu.Lock()
	defer s.order.mu.Unlock()
	if out {
		s.order.outOfStep[r] = true
		return
	}
	delete(s.order.outOfStep, r)
}

// loseStep takes routers out of step again and again, while versions of the service are
// released. It has its own random number generator, so that the other faults of a seed are the
// same without it.
func (s *soak) loseStep(end time.Time) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<38+uint64(n)))
		pause := 500*time.Millisecond + randomBelow(rng, 4*time.Second)
		e := &episode{soak: s, rng: rng, version: fmt.Sprint("v", n+2)}
		wg.Go(e.run)
		time.Sleep(pause)
	}
	wg.Wait()
}

// episode is the time for which routers are out of step.
type episode struct {
	soak    *soak
	rng     *rand.Rand
	version string // that is released
}

// run takes one router, or two, out of step for 1 s to 6 s, and makes further faults meanwhile.
func (e *episode) run() {
	lasts := time.Second + randomBelow(e.rng, 5*time.Second)
	count := 1 + boolIndex(e.rng.IntN(4) == 0)
	for _, i := range e.rng.Perm(len(e.soak.routers)) {
		stopped := e.rng.IntN(2) == 0
		if r := e.soak.routers[i]; count > 0 && e.mayLoseStep(r) {
			e.lose(r, stopped, lasts)
			count--
		}
	}
	replaced := e.rng.IntN(2) == 0
	e.soak.after(releaseDelay, func() { e.release(replaced) })
	e.breakMeanwhile(lasts)
	time.Sleep(lasts)
}

// mayLoseStep reports whether a router may be taken out of step: one router stays in step.
func (e *episode) mayLoseStep(r *router) bool {
	return !e.soak.isOutOfStep(r) && len(e.soak.routersOutOfStep())+1 < len(e.soak.routers)
}

// lose takes a router out of step for a time.
func (e *episode) lose(r *router, stopped bool, lasts time.Duration) {
	s := e.soak
	s.setOutOfStep(r, true)
	if stopped {
		s.logf("router %d stands still for %v", r.n, lasts)
		r.pause(true)
		s.after(lasts, func() { r.pause(false); s.setOutOfStep(r, false) })
		return
	}
	s.logf("router %d is cut off from the others and from the store for %v", r.n, lasts)
	r.cutOff(true)
	s.after(lasts, func() { r.cutOff(false); s.setOutOfStep(r, false) })
}

// release releases a version: the other endpoints leave, or go on serving.
func (e *episode) release(replaced bool) {
	s := e.soak
	s.logf("version %s of %s is released (in place of others: %v)", e.version, orderService, replaced)
	if err := s.addPieceEndpoints(e.version, pieceEndpoints); err != nil {
		s.reportViolation("no new endpoint: %v", err)
	}
	if replaced {
		s.drainOldest(orderService, len(s.upEndpoints([]string{orderService})))
		return
	}
	// Two versions serve at most.
	s.drainOldest(orderService, len(s.upEndpoints([]string{orderService}))-2*pieceEndpoints)
}

// breakMeanwhile resets the connections of callers, kills routers, and kills and silences
// endpoints, each at a random time.
func (e *episode) breakMeanwhile(lasts time.Duration) {
	s := e.soak
	for range 1 + e.rng.IntN(3) {
		s.after(randomBelow(e.rng, lasts), func() {
			s.logf("the connections of callers are reset")
			s.order.conns.reset()
		})
	}
	if n := len(s.routers) / 3; e.rng.IntN(2) == 0 && n > 0 {
		rng := rand.New(rand.NewPCG(e.rng.Uint64(), 0))
		s.after(randomBelow(e.rng, lasts), func() { s.killRouters(rng, 1+rng.IntN(n)) })
	}
	for range e.rng.IntN(3) {
		rng := rand.New(rand.NewPCG(e.rng.Uint64(), 0))
		s.after(randomBelow(e.rng, lasts), func() { s.killPieceEndpoint(rng) })
	}
	for range e.rng.IntN(3) {
		rng := rand.New(rand.NewPCG(e.rng.Uint64(), 0))
		s.after(randomBelow(e.rng, lasts), func() { s.silencePieceEndpoint(rng) })
	}
}

// killPieceEndpoint kills an endpoint as the kernel does, and starts another one of its version.
func (s *soak) killPieceEndpoint(rng *rand.Rand) {
	e := s.chooseEndpoint(rng, orderService)
	lag := randomBelow(rng, maxListenerLag)
	s.mu.Lock()
	e.crashed = time.Now()
	s.mu.Unlock()
	took := e.EndProcess(lag)
	s.logf("endpoint %s is killed, its listener was closed %v after its connections", e.id, took)
	if took > listenerBound {
		s.order.runs.setOutOfBounds(e.id)
	}
	s.after(entryExpiry, func() { s.store.Delete(e.Key()) })
	s.after(entryExpiry, func() {
		if err := s.addPieceEndpoints(e.Version(), 1); err != nil {
			s.reportViolation("no new endpoint: %v", err)
		}
	})
}

// silencePieceEndpoint makes an endpoint write nothing for a while.
func (s *soak) silencePieceEndpoint(rng *rand.Rand) {
	e, d := s.chooseEndpoint(rng, orderService), randomBelow(rng, maxSilence)
	s.logf("endpoint %s is silent for %v", e.id, d)
	s.order.mu.Lock()
	p := s.order.servers[e.id]
	s.order.mu.Unlock()
	if p != nil {
		p.silence(d)
	}
}
