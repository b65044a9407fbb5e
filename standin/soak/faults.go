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

// makeFaults makes one fault after the other, some while others last. Each has
// random numbers of its own, so that those that are left stay as they are when
// a schedule is shortened.
func (s *soak) makeFaults() {
	end := time.Now().Add(s.opts.For)
	for n := 1; time.Now().Before(end); n++ {
		s.rng = rand.New(rand.NewPCG(s.opts.Seed, uint64(n)))
		pause := time.Duration(300+s.rng.IntN(1500)) * time.Millisecond
		if !slices.Contains(s.opts.Skip, n) {
			s.number = n
			s.fault()
			s.faults++
		}
		time.Sleep(pause)
	}
}

// fault makes a fault that ends by itself.
func (s *soak) fault() {
	lasts := time.Duration(500+s.rng.IntN(3000)) * time.Millisecond
	r := s.routers[s.rng.IntN(len(s.routers))]
	switch s.rng.IntN(15) {
	case 0:
		s.say("router %d is killed", r.n)
		r.touch()
		r.kill()
		s.later(lasts, func() { s.restart(r) })
	case 1:
		s.stopGracefully(r)
	case 2:
		s.say("router %d is paused for %v", r.n, lasts)
		r.touch()
		r.pause(true)
		s.later(lasts, func() { r.pause(false); r.touch() })
	case 3:
		s.say("router %d gets SIGHUP", r.n)
		r.signal(syscall.SIGHUP)
	case 4:
		s.link(r, r.store, "the store", s.mode(), lasts)
	case 5:
		s.link(r, r.peers, "other routers", s.mode(), lasts)
	case 6:
		s.say("connections of router %d are reset", r.n)
		r.touch()
		r.store.Reset()
		r.peers.Reset()
	case 7:
		s.storeFault(hub.Faults{Outage: true}, "down", lasts)
	case 8:
		s.storeFault(hub.Faults{Hang: true}, "silent", lasts)
	case 9:
		s.storeFault(hub.Faults{Delay: 300 * time.Millisecond}, "slow", lasts)
	case 10:
		s.say("the store forgets its history, and a change is made that no watch hears")
		s.store.SetFaults(hub.Faults{StallWatches: true})
		s.putState()
		s.store.Compact()
		s.store.SetFaults(hub.Faults{})
	case 11:
		s.crashBack(lasts)
	case 12:
		s.drainBack()
	case 13:
		s.spoilBack(lasts)
	case 14:
		s.revoke()
	}
}

func (s *soak) later(d time.Duration, fn func()) { time.AfterFunc(d, fn) }

func (s *soak) restart(r *router) {
	if err := r.start(s.seeds()); err != nil {
		s.breaks("router %d does not start: %v", r.n, err)
	}
	r.touch()
}

// mode returns how a link fails.
func (s *soak) mode() proxy.Mode {
	return []proxy.Mode{
		{Delay: time.Duration(5+s.rng.IntN(60)) * time.Millisecond},
		{Silent: true},
		{OneWay: true},
		{Refuse: true},
	}[s.rng.IntN(4)]
}

func (s *soak) link(r *router, p *proxy.Proxy, to string, m proxy.Mode, d time.Duration) {
	s.say("the link of router %d with %s is %+v for %v", r.n, to, m, d)
	r.touch()
	p.SetMode(m)
	if m.Refuse {
		p.Reset()
	}
	s.later(d, func() { p.SetMode(proxy.Mode{}); r.touch() })
}

func (s *soak) storeFault(f hub.Faults, what string, d time.Duration) {
	s.say("the store is %s for %v", what, d)
	s.badStore()
	s.store.SetFaults(f)
	s.later(d, func() { s.store.SetFaults(hub.Faults{}); s.badStore() })
}

func (s *soak) badStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBad = time.Now()
}

// stopGracefully stops a router as planned; it must end in time, with nothing
// cut off, which its exit code tells.
func (s *soak) stopGracefully(r *router) {
	s.say("router %d gets SIGTERM", r.n)
	r.touch()
	r.mu.Lock()
	r.leaving = time.Now()
	r.mu.Unlock()
	ended := r.signal(syscall.SIGTERM)
	if ended == nil {
		return
	}
	s.later(10*time.Second, func() { s.restart(r) })
}

// present returns a random endpoint that is up.
func (s *soak) present() *back {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up []*back
	for _, b := range s.backs {
		if b.until().IsZero() && b.service != "long" {
			up = append(up, b)
		}
	}
	return up[s.rng.IntN(len(up))]
}

// lapse is how long an entry outlives its endpoint.
const lapse = 1500 * time.Millisecond

// crashBack kills an endpoint; a new one comes in its place.
func (s *soak) crashBack(d time.Duration) {
	b := s.present()
	s.say("endpoint %s crashes", b.id)
	s.mu.Lock()
	b.crashed = time.Now()
	s.mu.Unlock()
	s.harm(max(d, lapse))
	b.kill()
	s.later(lapse, func() { s.store.Delete(b.Key()) })
	s.later(d, func() { s.replace(b.service) })
}

func (s *soak) replace(service string) {
	if _, err := s.addBack(service); err != nil {
		s.breaks("no new endpoint: %v", err)
	}
}

// drainTime is how long an endpoint that stops still serves, and the time in
// which routers have to have left it.
const drainTime = 3 * time.Second

// drainBack has an endpoint stop as planned. A router that nothing was wrong
// with must send it nothing behind drainTime.
func (s *soak) drainBack() {
	b := s.present()
	s.say("endpoint %s drains", b.id)
	at := time.Now()
	s.mu.Lock()
	b.drained = at
	s.mu.Unlock()
	s.harm(drainTime)
	s.replace(b.service)
	b.Drain()
	s.later(drainTime, func() { s.checkDrained(b, at) })
}

func (s *soak) checkDrained(b *back, at time.Time) {
	s.mu.Lock()
	stable := s.storeBad.Before(at.Add(-drainTime))
	s.mu.Unlock()
	well := stable
	for _, r := range s.routers {
		well = well && r.wellSince(at.Add(-drainTime))
	}
	before := len(b.Arrivals())
	time.Sleep(time.Second)
	if after := len(b.Arrivals()); well && after > before {
		s.breaks("endpoint %s got %d requests over %v behind its word that it stops", b.id, after-before, drainTime)
	}
	s.store.Delete(b.Key())
}

// spoilBack has an endpoint answer wrongly, or its link fail.
func (s *soak) spoilBack(d time.Duration) {
	b := s.present()
	f := []replica.Faults{{CutAfter: 2}, {CutLate: true}, {Status: http.StatusInternalServerError}, {Full: true}}[s.rng.IntN(4)]
	m := proxy.Mode{}
	if s.rng.IntN(2) == 0 {
		f, m = replica.Faults{}, s.mode()
	}
	s.say("endpoint %s is spoiled for %v: %+v %+v", b.id, d, f, m)
	s.harm(d)
	b.SetFaults(f)
	b.proxy.SetMode(m)
	s.later(d, func() { b.SetFaults(replica.Faults{}); b.proxy.SetMode(proxy.Mode{}) })
}

// inForce is the time within which a change of the desired state has to be in
// force on routers that nothing was wrong with.
const inForce = 3 * time.Second

// revoke takes a key away, or gives it back.
func (s *soak) revoke() {
	s.mu.Lock()
	s.revoked = !s.revoked
	revoked := s.revoked
	s.mu.Unlock()
	s.putState()
	at := time.Now()
	s.say("the key is revoked: %v", revoked)
	if revoked {
		s.later(inForce, func() { s.checkRevoked(at) })
	}
}

func (s *soak) checkRevoked(at time.Time) {
	for _, r := range s.routers {
		client := newClient()
		o := s.load.send(client, r, "/safe/", "revocable")
		s.load.note(o)
		client.CloseIdleConnections()
		s.mu.Lock()
		judged := s.revoked && s.storeBad.Before(at.Add(-inForce))
		s.mu.Unlock()
		if judged && r.wellSince(at.Add(-inForce)) && o.status == http.StatusOK {
			s.breaks("router %d takes a key that was revoked %v ago", r.n, time.Since(at).Round(time.Millisecond))
		}
	}
}

// String returns a result as the command prints it.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults, %d requests, %d served, %d promises broken\n", r.Faults, r.Requests, r.Served, len(r.Broken))
	for _, line := range r.Broken {
		fmt.Fprintf(&b, "broken: %s\n", line)
	}
	return b.String()
}
