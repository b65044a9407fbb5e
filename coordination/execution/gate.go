package execution

import (
	"math/rand/v2"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

const (
	// gateFailures is how many calls in a row fail before the gate shuts.
	gateFailures = 3
	// gateInterval is the time between two probes while the gate is shut, give
	// or take half. With 330 routers it makes 165 calls a second, which the
	// service can take when it comes back.
	gateInterval = 2 * time.Second
)

// gate refuses new actions at once while the service does not answer. Without
// it each action of an outage would wait for its own timeout, hold a slot, and
// add a call to those that meet the service when it returns.
type gate struct {
	mu       sync.Mutex
	failures int // in a row
	next     time.Time
}

// enter tells whether a call may be made: always while calls succeed, and as a
// probe now and then otherwise.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < gateFailures {
		return true
	}
	now := time.Now()
	if now.Before(g.next) {
		return false
	}
	g.postpone(now)
	return true
}

// note takes in how a call ended, and tells whether that shut or opened the
// gate. A refusal for the rate is an answer, too.
func (g *gate) note(s kv.Status) (e Event, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s != kv.Unknown && s != kv.Unavailable {
		changed = g.failures >= gateFailures
		g.failures = 0
		return PlatformBack, changed
	}
	g.failures++
	if g.failures != gateFailures {
		return 0, false
	}
	g.postpone(time.Now())
	return PlatformLost, true
}

func (g *gate) postpone(now time.Time) {
	g.next = now.Add(gateInterval/2 + rand.N(gateInterval))
}

// note takes in how a call to the platform ended.
func (l *Ledger) note(s kv.Status) {
	if e, changed := l.gate.note(s); changed {
		l.cfg.Observe(e)
	}
}
