// Package budget divides the fleet's budget of platform calls among its
// routers. The platform's call rates grow more slowly than the fleet, so each
// router may use only its share: the fleet's rate divided by the number of
// routers that it knows. A call beyond the share is refused at once with the
// time after which it would be allowed.
package budget

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Class is the priority class of a call to the platform; lower values come
// first.
type Class int

// Classes of calls, highest priority first.
const (
	Actions  Class = iota // execution records of non-idempotent actions
	Settings              // settings of teams
	Lists                 // instance lists
	classes
)

// String returns the name of c used in metrics.
func (c Class) String() string {
	names := [...]string{"actions", "settings", "lists"}
	if c < 0 || c >= classes {
		return "unknown"
	}
	return names[c]
}

// reserved is the share of a router's calls that only one class may use.
// Without it a surge of actions would block settings for its whole duration,
// and routers would keep serving with outdated settings.
var reserved = [classes]float64{Settings: 0.10, Lists: 0.05}

// classFloor is the share of the common bucket that a class leaves to classes
// of higher priority.
var classFloor = [classes]float64{Settings: 0.25, Lists: 0.50}

const (
	// commonBurst is the minimum burst of the common bucket in calls. It has to
	// exceed one, or the floors of all classes would be equal.
	commonBurst = 10
	// burstTime bounds a burst to the calls that the share earns in this time.
	burstTime = time.Second
)

// Budget is one router's share of the fleet's calls. It is safe for concurrent
// use.
type Budget struct {
	mu       sync.Mutex
	fleet    float64
	common   *rate.Limiter
	perClass [classes]*rate.Limiter
}

// New returns a budget of fleetPerSecond calls per second for the whole fleet,
// for a router that knows no other routers yet.
func New(fleetPerSecond float64) *Budget {
	b := &Budget{fleet: fleetPerSecond, common: rate.NewLimiter(0, commonBurst)}
	for c := range b.perClass {
		b.perClass[c] = rate.NewLimiter(0, 1)
	}
	b.SetMembers(1)
	return b
}

// SetMembers sets the number of routers that share the budget.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.fleet / float64(max(n, 1))
	left := 1.0
	for c, part := range reserved {
		left -= part
		setRate(b.perClass[c], share*part, 1)
	}
	setRate(b.common, share*left, commonBurst)
}

func setRate(l *rate.Limiter, perSecond float64, least int) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(least, int(perSecond*burstTime.Seconds())))
}

// Allow reports whether a call of a class may be made now, and counts it if so.
// Otherwise retryAfter is the time after which to try again.
func (b *Budget) Allow(class Class) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if reserved[class] > 0 && b.perClass[class].AllowN(now, 1) {
		return true, 0
	}
	need := 1 + classFloor[class]*float64(b.common.Burst()-1)
	missing := need - b.common.TokensAt(now)
	if missing <= 0 && b.common.AllowN(now, 1) {
		return true, 0
	}
	wait := after(b.common, missing)
	if reserved[class] > 0 {
		wait = min(wait, after(b.perClass[class], 1-b.perClass[class].TokensAt(now)))
	}
	return false, wait
}

// after returns the time in which l gains the missing calls, at most one hour.
func after(l *rate.Limiter, missing float64) time.Duration {
	const never = time.Hour
	if l.Limit() <= 0 {
		return never
	}
	seconds := max(missing, 0) / float64(l.Limit())
	if seconds > never.Seconds() {
		return never
	}
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
