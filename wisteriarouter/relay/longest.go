package relay

import (
	"sync"
	"time"
)

// durationWindow is the length of a measuring window. Responses of the current and
// the previous window count as recent.
const durationWindow = 10 * time.Second

// durationTracker holds the longest recent response time of each route.
type durationTracker struct {
	mu       sync.Mutex
	since    time.Time                // start of the current window
	current  map[string]time.Duration // longest by route, in the current window
	previous map[string]time.Duration // longest by route, in the previous window
}

// record records the duration of a complete response.
func (l *durationTracker) record(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate()
	l.current[route] = max(l.current[route], took)
}

// longest returns the longest recent duration of the route; false if there is none.
func (l *durationTracker) longest(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate()
	now, a := l.current[route]
	before, b := l.previous[route]
	return max(now, before), a || b
}

// rotate starts a new window if the current one is over.
func (l *durationTracker) rotate() {
	switch age := time.Since(l.since); {
	case l.current == nil || age >= 2*durationWindow:
		l.current, l.previous, l.since = make(map[string]time.Duration), nil, time.Now()
	case age >= durationWindow:
		l.current, l.previous, l.since = make(map[string]time.Duration), l.current, time.Now()
	}
}
