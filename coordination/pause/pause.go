// Package pause keeps which endpoints want no requests for a time. An overloaded
// endpoint turns requests away and asks the router that sent them to wait, as by the
// Retry-After header of HTTP. Requests that are sent all the same only add to its load.
package pause

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// Max bounds a pause. An endpoint could otherwise take itself out of service for good
// with one response.
const Max = 10 * time.Minute

// Parse returns the pause in a Retry-After header, in seconds with or without fractions,
// or zero for anything else.
func Parse(header string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second))
}

// Target is who wants a pause, and from whom. A new incarnation of an endpoint knows
// nothing of what the one before has asked for.
type Target struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	// Via is the other router through which requests reach the endpoint, which sees
	// that router only; empty for this one.
	Via coordination.Instance
}

// shards is the number of parts of a table that have a lock of their own.
const shards = 16

// Table holds the pauses that are in force. The zero value holds none and is ready for
// use. It is safe for concurrent use.
type Table struct {
	shards  [shards]shard
	lastEnd atomic.Pointer[time.Time] // end of the pause that ends last; nil before the first
}

type shard struct {
	mu    sync.RWMutex
	until map[Target]time.Time
}

func (t *Table) shard(e coordination.Endpoint) *shard {
	return &t.shards[xxhash.Sum64String(string(e))%shards]
}

// Record records that a target wants a pause of d from now on. It never shortens one
// that is in force.
func (t *Table) Record(now time.Time, target Target, d time.Duration) {
	if d <= 0 {
		return
	}
	s := t.shard(target.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[Target]time.Time)
	}
	for other, until := range s.until {
		if !until.After(now) {
			delete(s.until, other)
		}
	}
	if until := now.Add(min(d, Max)); until.After(s.until[target]) {
		s.until[target] = until
		t.extend(until)
	}
}

// extend notes the end of a pause.
func (t *Table) extend(end time.Time) {
	for last := t.lastEnd.Load(); last == nil || end.After(*last); last = t.lastEnd.Load() {
		if t.lastEnd.CompareAndSwap(last, &end) {
			return
		}
	}
}

// Active reports whether any pause may be in force. It is cheaper than Left.
func (t *Table) Active(now time.Time) bool {
	last := t.lastEnd.Load()
	return last != nil && now.Before(*last)
}

// Left returns how much of a target's pause is left, or zero if it wants none.
func (t *Table) Left(now time.Time, target Target) time.Duration {
	s := t.shard(target.Endpoint)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return max(s.until[target].Sub(now), 0)
}

// Shortest returns the shortest time that is left of the pauses of all targets, or zero
// if one of them wants none.
func (t *Table) Shortest(now time.Time, targets []Target) time.Duration {
	var shortest time.Duration
	for _, each := range targets {
		left := t.Left(now, each)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// spreadDivisor is the part of a pause over which the returns of callers are spread.
const spreadDivisor = 4

// RetryAfter returns when a caller should return to targets whose shortest pause has
// left to go: never before, and not at the same moment as all others.
func RetryAfter(left time.Duration) time.Duration {
	return left + rand.N(left/spreadDivisor+1)
}
