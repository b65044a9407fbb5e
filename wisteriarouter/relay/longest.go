package relay

import (
	"sync"
	"time"
)

// durationWindow is the length of a measuring window. Responses of the current and
// the previous window count as recent.
const durationWindow = 10 * time.Second

// durationTracker holds the longest recent response time of each route, counted from
// the moment at which the request was sent to its endpoint.
type durationTracker struct {
	mu       sync.Mutex
	since    time.Time                // start of the current window
	current  map[string]time.Duration // longest by route, in the current window
	previous map[string]time.Duration // longest by route, in the previous window
}

// record records the duration of a complete response.
func (t *durationTracker) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	t.current[route] = max(t.current[route], took)
}

// durationMargin is the factor by which a response may take longer than the longest
// of some tens before it.
const durationMargin = 1.5

// expected returns the time that a response of the route takes at most; false if there
// are no recent ones.
func (t *durationTracker) expected(route string) (time.Duration, bool) {
	d, known := t.longest(route)
	return time.Duration(durationMargin * float64(d)), known
}

// longest returns the longest recent duration of the route; false if there is none.
func (t *durationTracker) longest(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	now, a := t.current[route]
	before, b := t.previous[route]
	return max(now, before), a || b
}

// rotate starts a new window if the current one is over.
func (t *durationTracker) rotate() {
	switch age := time.Since(t.since); {
	case t.current == nil || age >= 2*durationWindow:
		t.current, t.previous, t.since = make(map[string]time.Duration), nil, time.Now()
	case age >= durationWindow:
		t.current, t.previous, t.since = make(map[string]time.Duration), t.current, time.Now()
	}
}
