package soak

import (
	"math/rand/v2"
	"strings"
	"time"
)

// All routers are killed again and again while versions are released. Streams that were well
// under way go on at the routers that start anew, as long as their version is served.
const (
	// fleetKillPause is the mean time between two kills of all routers.
	fleetKillPause = 5 * time.Second
	// outlastingEvents is the number of events after which a stream should outlast all
	// routers. With the stand-in's pause between events they take 0.6 s.
	outlastingEvents = 40
	// outlastTime is for how long a caller tries to take such a stream up.
	outlastTime = 3 * time.Second
	// cutSlack is how long after the kill a caller may notice that its stream is cut.
	cutSlack = 200 * time.Millisecond
	// writeTime is within which time a stream is written to the store.
	writeTime = time.Second
	// minOutlasting is the number of such streams from which on their share counts.
	minOutlasting = 10
)

// killFleets kills all routers again and again.
func (s *soak) killFleets(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<37))
	for {
		time.Sleep(fleetKillPause/2 + randomBelow(rng, fleetKillPause))
		if !time.Now().Before(end) {
			return
		}
		s.mu.Lock()
		s.fleetKilled = time.Now()
		s.mu.Unlock()
		s.killRouters(rng, len(s.routers))
	}
}

// fleetKilledAt returns when all routers were last killed.
func (s *soak) fleetKilledAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleetKilled
}

// storeCalmSince reports whether the store has had no fault since a time.
func (s *soak) storeCalmSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStoreFault.Before(at)
}

// outlast takes up a stream that was cut as all routers were killed, until it goes on, and
// counts it if it had to: endpoints of its version served, and the store had no fault.
func (c *resumingCaller) outlast(p *streamProgress) {
	s := c.load.soak
	killed := s.fleetKilledAt()
	if time.Since(killed) > cutSlack || strings.Count(p.body, "\n\n") < outlastingEvents {
		return
	}
	had, possible := len(p.body), true
	for time.Since(killed) < outlastTime && c.load.ctx.Err() == nil && len(p.body) == had {
		possible = possible && s.fleetKilledAt() == killed && s.countVersion(versionOf(p.body)) >= endpointsPerVersion
		c.try(p)
		c.check(p.first, p.body)
		time.Sleep(100 * time.Millisecond)
	}
	if possible && s.storeCalmSince(killed.Add(-writeTime)) && c.load.ctx.Err() == nil {
		c.tally.addOutlasting(len(p.body) > had)
	}
}

func (t *releaseTally) addOutlasting(goesOn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlasting++
	if goesOn {
		t.outlasted++
	}
}

// reportOutlasting reports if fewer than nine in ten of the streams that should outlast all
// routers did. The caller holds t.mu.
func (t *releaseTally) reportOutlasting(s *soak) {
	s.logf("streams taken up after all routers were killed: %d of %d went on", t.outlasted, t.outlasting)
	if t.outlasting >= minOutlasting && 10*t.outlasted < 9*t.outlasting {
		s.reportViolation("%d of %d streams went on after all routers were killed, though endpoints of their version served", t.outlasted, t.outlasting)
	}
}
