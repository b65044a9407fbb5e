package relay

import (
	"sync"
	"time"
)

// durationWindow is the time for which answers count as recent, and for as long
// again.
const durationWindow = 10 * time.Second

// durationTracker knows how long recent answers of each route took at most.
type durationTracker struct {
	mu       sync.Mutex
	since    time.Time                // when the present window began
	current  map[string]time.Duration // by route, in the present window
	previous map[string]time.Duration // in the one before
}

// record takes in that an answer was complete.
func (l *durationTracker) record(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate()
	l.current[route] = max(l.current[route], took)
}

// longest returns the longest time that a recent answer took; false if there was none.
func (l *durationTracker) longest(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate()
	now, a := l.current[route]
	before, b := l.previous[route]
	return max(now, before), a || b
}

// rotate begins a new window once the present one is over.
func (l *durationTracker) rotate() {
	switch age := time.Since(l.since); {
	case l.current == nil || age >= 2*durationWindow:
		l.current, l.previous, l.since = make(map[string]time.Duration), nil, time.Now()
	case age >= durationWindow:
		l.current, l.previous, l.since = make(map[string]time.Duration), l.current, time.Now()
	}
}
