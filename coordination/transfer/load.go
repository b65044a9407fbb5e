package transfer

import (
	"math"
	"time"

	"wisteriaspool/coordination"
)

// Load is the load that a possible destination engine has reported.
type Load struct {
	Requests int // running and waiting
	Capacity int // zero if unknown
	Leaving  bool
	ReadAt   time.Time
}

// loadTTL is the time for which a report is considered fresh.
const loadTTL = 500 * time.Millisecond

// Loads holds the last report of each engine of a pool. The zero value is empty
// and ready for use.
type Loads struct {
	last map[coordination.Endpoint]Load
}

// Update stores the report of an engine.
func (l *Loads) Update(id coordination.Endpoint, r Load) {
	if l.last == nil {
		l.last = make(map[coordination.Endpoint]Load)
	}
	l.last[id] = r
}

// Fresh reports whether the last report of an engine is younger than loadTTL.
func (l *Loads) Fresh(now time.Time, id coordination.Endpoint) bool {
	r, ok := l.last[id]
	return ok && now.Sub(r.ReadAt) < loadTTL
}

// CanAccept reports whether a chat may be moved to an engine: whether one more
// request keeps its load within CapacityShare of its capacity and within Bound
// times the mean load of the engines that have reported. An engine that is
// leaving or has not reported cannot accept a chat.
func (l *Loads) CanAccept(id coordination.Endpoint, cfg Config) bool {
	r, ok := l.last[id]
	if !ok || r.Leaving {
		return false
	}
	next := float64(r.Requests + 1)
	if r.Capacity > 0 && next > cfg.CapacityShare*float64(r.Capacity) {
		return false
	}
	return next <= math.Ceil(cfg.Bound*l.mean())
}

// mean returns the mean number of requests of the engines that have reported,
// including the request to be placed.
func (l *Loads) mean() float64 {
	sum := 1
	for _, r := range l.last {
		sum += r.Requests
	}
	return float64(sum) / float64(len(l.last))
}
