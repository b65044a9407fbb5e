package execution

import (
	"math/rand/v2"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

const (
	// breakerThreshold is how many calls in a row fail before the gate shuts.
	breakerThreshold = 3
	// probeInterval is the time between two probes while the gate is shut, give
	// or take half. With 330 routers it makes 165 calls a second, which the
	// service can take when it comes back.
	probeInterval = 2 * time.Second
)

// breaker refuses new actions at once while the service does not answer. Without
// it each action of an outage would wait for its own timeout, hold a slot, and
// add a call to those that meet the service when it returns.
type breaker struct {
	mu        sync.Mutex
	failures  int // in a row
	nextProbe time.Time
}

// allow tells whether a call may be made: always while calls succeed, and as a
// probe now and then otherwise.
func (g *breaker) allow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < breakerThreshold {
		return true
	}
	now := time.Now()
	if now.Before(g.nextProbe) {
		return false
	}
	g.scheduleProbe(now)
	return true
}

// record takes in how a call ended, and tells whether that shut or opened the
// gate. A refusal for the rate is an answer, too.
func (g *breaker) record(s kv.Status) (e Event, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s != kv.Unknown && s != kv.Unavailable {
		changed = g.failures >= breakerThreshold
		g.failures = 0
		return PlatformBack, changed
	}
	g.failures++
	if g.failures != breakerThreshold {
		return 0, false
	}
	g.scheduleProbe(time.Now())
	return PlatformLost, true
}

func (g *breaker) scheduleProbe(now time.Time) {
	g.nextProbe = now.Add(probeInterval/2 + rand.N(probeInterval))
}

// recordStatus takes in how a call to the platform ended.
func (l *Ledger) recordStatus(s kv.Status) {
	if e, changed := l.breaker.record(s); changed {
		l.cfg.Observe(e)
	}
}
