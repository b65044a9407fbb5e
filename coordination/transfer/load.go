package transfer

import (
	"math"
	"time"

	"wisteriaspool/coordination"
)

// Load is what an engine that may receive chats has reported.
type Load struct {
	Requests int // running and waiting
	Capacity int // zero if unknown
	Leaving  bool
	ReadAt   time.Time
}

// loadTTL is how long a report counts.
const loadTTL = 500 * time.Millisecond

// Loads holds the last reports of the engines of a pool. The zero value is
// empty and ready for use.
type Loads struct {
	last map[coordination.Endpoint]Load
}

// Update takes a report.
func (l *Loads) Update(id coordination.Endpoint, r Load) {
	if l.last == nil {
		l.last = make(map[coordination.Endpoint]Load)
	}
	l.last[id] = r
}

// Fresh reports whether the last report of an engine still counts.
func (l *Loads) Fresh(now time.Time, id coordination.Endpoint) bool {
	r, ok := l.last[id]
	return ok && now.Sub(r.ReadAt) < loadTTL
}

// CanAccept reports whether an engine may receive a chat: whether it stays clear of
// its capacity and of the bound over the mean of those that have reported. An
// engine that has not reported may not.
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
// with one more among them.
func (l *Loads) mean() float64 {
	sum := 1
	for _, r := range l.last {
		sum += r.Requests
	}
	return float64(sum) / float64(len(l.last))
}
