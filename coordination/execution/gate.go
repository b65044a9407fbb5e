package execution

import (
	"math/rand/v2"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

const (
	// breakerThreshold is the number of consecutive failures that open the
	// circuit breaker.
	breakerThreshold = 3
	// probeInterval is the mean time between two probes while the breaker is
	// open, with a jitter of up to half of it. With 330 routers that makes 165
	// calls a second, which the service can handle when it recovers.
	probeInterval = 2 * time.Second
)

// breaker is a circuit breaker that refuses new actions immediately while the
// service does not answer. Without it, each action during an outage would wait
// for its own timeout, occupy a slot, and add to the load on the service when
// it recovers.
type breaker struct {
	mu        sync.Mutex
	failures  int // consecutive
	nextProbe time.Time
}

// allow reports whether a call may be made: always while the breaker is closed,
// and as an occasional probe while it is open.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	now := time.Now()
	if now.Before(b.nextProbe) {
		return false
	}
	b.scheduleProbe(now)
	return true
}

// record records the status of a call and reports whether it opened or closed
// the breaker, with the event to observe. A call refused for its rate counts as
// answered.
func (b *breaker) record(s kv.Status) (e Event, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s != kv.Unknown && s != kv.Unavailable && s != kv.Rejected {
		changed = b.failures >= breakerThreshold
		b.failures = 0
		return PlatformBack, changed
	}
	b.failures++
	if b.failures != breakerThreshold {
		return 0, false
	}
	b.scheduleProbe(time.Now())
	return PlatformLost, true
}

func (b *breaker) scheduleProbe(now time.Time) {
	b.nextProbe = now.Add(probeInterval/2 + rand.N(probeInterval))
}

// recordStatus records the status of a platform call and reports changes of the
// circuit breaker.
func (l *Ledger) recordStatus(s kv.Status) {
	if e, changed := l.breaker.record(s); changed {
		l.cfg.Observe(e)
	}
}
