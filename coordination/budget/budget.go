// Package budget divides the fleet's budget of calls to the platform among its
// routers. The platform's rates grow more slowly than the fleet, so that a
// router may spend only its share: the fleet's rate over the number of routers
// it knows. A call beyond that is refused at once, with the time after which
// it would be let through.
package budget

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Class ranks calls to the platform; a lower one goes first.
type Class int

// The classes of calls, most important first.
const (
	Actions  Class = iota // execution records of non-idempotent actions
	Settings              // settings of teams
	Lists                 // lists of instances
	classes
)

// String returns the name of c as metrics show it.
func (c Class) String() string {
	names := [...]string{"actions", "settings", "lists"}
	if c < 0 || c >= classes {
		return "unknown"
	}
	return names[c]
}

// reserved is the part of a router's share that only one class may use.
// Without it a surge of actions would hold back settings for as long as it
// lasts, and routers would serve on with old ones.
var reserved = [classes]float64{Settings: 0.10, Lists: 0.05}

// classFloor is the part of the common bucket that a class leaves to the classes
// before it.
var classFloor = [classes]float64{Settings: 0.25, Lists: 0.50}

const (
	// commonBurst is the least burst of the common bucket in calls. It has to
	// be above one, or the floors of all classes would be the same.
	commonBurst = 10
	// burstTime bounds a burst to what the share yields in this time.
	burstTime = time.Second
)

// Budget is one router's share of the fleet's calls. It is safe for use by
// several goroutines.
type Budget struct {
	mu       sync.Mutex
	fleet    float64
	common   *rate.Limiter
	perClass [classes]*rate.Limiter
}

// New returns a budget of fleetPerSecond calls a second for the whole fleet,
// for a router that knows no other yet.
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

// Allow reports whether a call of this class may be made now, and if so counts
// it. If not, retryAfter tells when to try again.
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

// after returns how long l takes to gain the missing calls.
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
