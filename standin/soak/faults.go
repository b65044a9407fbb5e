package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/proxy"
	"wisteriaspool/standin/replica"
)

// injectFaults injects one fault after the other; some overlap. Each fault has its
// own random number generator, so that skipping some leaves the others unchanged.
func (s *soak) injectFaults() {
	end := time.Now().Add(s.opts.FaultDuration)
	for n := 1; time.Now().Before(end); n++ {
		s.rng = rand.New(rand.NewPCG(s.opts.Seed, uint64(n)))
		pause := time.Duration(300+s.rng.IntN(1500)) * time.Millisecond
		if !slices.Contains(s.opts.Skip, n) {
			s.faultNumber = n
			s.injectFault()
			s.faults++
		}
		time.Sleep(pause)
	}
}

// injectFault injects a random fault that ends by itself.
func (s *soak) injectFault() {
	lasts := time.Duration(500+s.rng.IntN(3000)) * time.Millisecond
	r := s.routers[s.rng.IntN(len(s.routers))]
	switch s.rng.IntN(15) {
	case 0:
		s.logf("router %d is killed", r.n)
		r.markFault()
		r.kill()
		s.after(lasts, func() { s.restart(r) })
	case 1:
		s.stopGracefully(r)
	case 2:
		s.logf("router %d is paused for %v", r.n, lasts)
		r.markFault()
		r.pause(true)
		s.after(lasts, func() { r.pause(false); r.markFault() })
	case 3:
		s.logf("router %d gets SIGHUP", r.n)
		r.signal(syscall.SIGHUP)
	case 4:
		s.failLink(r, r.storeProxy, "the store", s.randomLinkFault(), lasts)
	case 5:
		s.failLink(r, r.peerProxy, "other routers", s.randomLinkFault(), lasts)
	case 6:
		s.logf("connections of router %d are reset", r.n)
		r.markFault()
		r.storeProxy.Reset()
		r.peerProxy.Reset()
	case 7:
		s.failStore(hub.Faults{Outage: true}, "down", lasts)
	case 8:
		s.failStore(hub.Faults{Hang: true}, "silent", lasts)
	case 9:
		s.failStore(hub.Faults{Delay: 300 * time.Millisecond}, "slow", lasts)
	case 10:
		s.logf("the store forgets its history, and a change is made that no watch hears")
		s.store.SetFaults(hub.Faults{StallWatches: true})
		s.putState(1 + s.rng.IntN(3))
		s.store.Compact()
		s.store.SetFaults(hub.Faults{})
	case 11:
		s.crashEndpoint(lasts)
	case 12:
		s.drainEndpoint()
	case 13:
		s.degradeEndpoint(lasts)
	case 14:
		s.toggleRevocation()
	}
}

func (s *soak) after(d time.Duration, fn func()) { time.AfterFunc(d, fn) }

func (s *soak) restart(r *router) {
	if err := r.start(s.seeds()); err != nil {
		s.reportViolation("router %d does not start: %v", r.n, err)
	}
	r.markFault()
}

// randomLinkFault returns a random failure mode of a network link.
func (s *soak) randomLinkFault() proxy.Mode {
	return []proxy.Mode{
		{Delay: time.Duration(5+s.rng.IntN(60)) * time.Millisecond},
		{Silent: true},
		{OneWay: true},
		{Refuse: true},
	}[s.rng.IntN(4)]
}

func (s *soak) failLink(r *router, p *proxy.Proxy, to string, m proxy.Mode, d time.Duration) {
	s.logf("the link of router %d with %s is %+v for %v", r.n, to, m, d)
	r.markFault()
	p.SetMode(m)
	if m.Refuse {
		p.Reset()
	}
	s.after(d, func() { p.SetMode(proxy.Mode{}); r.markFault() })
}

func (s *soak) failStore(f hub.Faults, what string, d time.Duration) {
	s.logf("the store is %s for %v", what, d)
	s.markStoreFault()
	s.store.SetFaults(f)
	s.after(d, func() { s.store.SetFaults(hub.Faults{}); s.markStoreFault() })
}

func (s *soak) markStoreFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreFault = time.Now()
}

// stopGracefully sends SIGTERM to a router. The router must exit in time without
// interrupting requests, which its exit code shows.
func (s *soak) stopGracefully(r *router) {
	s.logf("router %d gets SIGTERM", r.n)
	r.markFault()
	r.mu.Lock()
	r.stopRequested = time.Now()
	r.mu.Unlock()
	ended := r.signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	s.after(10*time.Second, func() { s.restart(r) })
}

// randomEndpoint returns a random endpoint that is up. It never returns one of the
// service "long", whose endpoints do not fail.
func (s *soak) randomEndpoint() *endpoint {
	return s.chooseEndpoint(s.rng, "desk", "model")
}

// chooseEndpoint returns a random endpoint of some services that is up. If none is, it
// waits for one.
func (s *soak) chooseEndpoint(rng *rand.Rand, services ...string) *endpoint {
	up := s.upEndpoints(services)
	for len(up) == 0 {
		time.Sleep(entryExpiry / 10)
		up = s.upEndpoints(services)
	}
	return up[rng.IntN(len(up))]
}

func (s *soak) upEndpoints(services []string) (up []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.until().IsZero() && slices.Contains(services, e.service) {
			up = append(up, e)
		}
	}
	return up
}

// entryExpiry is how long the store entry of a crashed endpoint remains.
const entryExpiry = 1500 * time.Millisecond

// crashEndpoint kills an endpoint and starts a replacement after d.
func (s *soak) crashEndpoint(d time.Duration) {
	e := s.randomEndpoint()
	s.logf("endpoint %s crashes", e.id)
	s.mu.Lock()
	e.crashed = time.Now()
	s.mu.Unlock()
	s.recordFaultSpan(max(d, entryExpiry))
	e.kill()
	s.after(entryExpiry, func() { s.store.Delete(e.Key()) })
	s.after(d, func() { s.replaceEndpoint(e.service) })
}

func (s *soak) replaceEndpoint(service string) {
	if _, err := s.addEndpoint(service); err != nil {
		s.reportViolation("no new endpoint: %v", err)
	}
}

// drainTime is how long an endpoint that stops still serves requests, and the time
// within which routers must stop sending it any.
const drainTime = 3 * time.Second

// drainEndpoint stops an endpoint gracefully. If neither the routers nor the
// store were faulty, it must receive no requests after drainTime.
func (s *soak) drainEndpoint() {
	e := s.randomEndpoint()
	s.logf("endpoint %s drains", e.id)
	at := time.Now()
	s.mu.Lock()
	e.drained = at
	s.mu.Unlock()
	s.recordFaultSpan(drainTime)
	s.replaceEndpoint(e.service)
	e.Drain()
	s.after(drainTime, func() { s.checkDrained(e, at) })
}

func (s *soak) checkDrained(e *endpoint, at time.Time) {
	s.mu.Lock()
	stable := s.lastStoreFault.Before(at.Add(-drainTime))
	s.mu.Unlock()
	healthy := stable
	for _, r := range s.routers {
		healthy = healthy && r.healthySince(at.Add(-drainTime))
	}
	before := len(e.Arrivals())
	time.Sleep(time.Second)
	if after := len(e.Arrivals()); healthy && after > before {
		s.reportViolation("endpoint %s got %d requests over %v behind its word that it stops", e.id, after-before, drainTime)
	}
	s.store.Delete(e.Key())
}

// degradeEndpoint makes an endpoint return faulty responses, or its link fail.
func (s *soak) degradeEndpoint(d time.Duration) {
	e := s.randomEndpoint()
	f := []replica.Faults{{CutAfter: 2}, {CutLate: true}, {Status: http.StatusInternalServerError}, {Full: true}}[s.rng.IntN(4)]
	m := proxy.Mode{}
	if s.rng.IntN(2) == 0 {
		f, m = replica.Faults{}, s.randomLinkFault()
	}
	s.logf("endpoint %s is spoiled for %v: %+v %+v", e.id, d, f, m)
	s.recordFaultSpan(d)
	e.SetFaults(f)
	e.proxy.SetMode(m)
	s.after(d, func() { e.SetFaults(replica.Faults{}); e.proxy.SetMode(proxy.Mode{}) })
}

// propagationTimeout is the time within which a change of the desired state must
// be in force on routers without faults.
const propagationTimeout = 3 * time.Second

// toggleRevocation revokes the revocable key, or restores it.
func (s *soak) toggleRevocation() {
	s.mu.Lock()
	s.revoked = !s.revoked
	revoked := s.revoked
	s.mu.Unlock()
	s.putState(1 + s.rng.IntN(3))
	at := time.Now()
	s.logf("the key is revoked: %v", revoked)
	if revoked {
		s.after(propagationTimeout, func() { s.checkRevoked(at) })
	}
}

func (s *soak) checkRevoked(at time.Time) {
	for _, r := range s.routers {
		client := s.load.newClient()
		o := s.load.send(client, r, "/safe/", "revocable")
		s.load.record(o)
		client.CloseIdleConnections()
		s.mu.Lock()
		applicable := s.revoked && s.lastStoreFault.Before(at.Add(-propagationTimeout))
		s.mu.Unlock()
		if applicable && r.healthySince(at.Add(-propagationTimeout)) && o.status == http.StatusOK {
			s.reportViolation("router %d takes a key that was revoked %v ago", r.n, time.Since(at).Round(time.Millisecond))
		}
	}
}

// String formats the result as the soak command prints it.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults, %d requests, %d served, %d endpoints crashed by requests, %d promises broken\n", r.Faults, r.Requests, r.Served, r.Crashes, len(r.Violations))
	for _, line := range r.Violations {
		fmt.Fprintf(&b, "broken: %s\n", line)
	}
	return b.String()
}
