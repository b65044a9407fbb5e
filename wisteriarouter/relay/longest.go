package relay

import (
	"sync"
	"time"
)

// longestWindow is the time for which answers count as recent, and for as long
// again.
const longestWindow = 10 * time.Second

// longest knows how long recent answers of each route took at most.
type longest struct {
	mu     sync.Mutex
	since  time.Time                // when the present window began
	now    map[string]time.Duration // by route, in the present window
	before map[string]time.Duration // in the one before
}

// note takes in that an answer was complete.
func (l *longest) note(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
	l.now[route] = max(l.now[route], took)
}

// of returns the longest time that a recent answer took; false if there was none.
func (l *longest) of(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
	now, a := l.now[route]
	before, b := l.before[route]
	return max(now, before), a || b
}

// turn begins a new window once the present one is over.
func (l *longest) turn() {
	switch age := time.Since(l.since); {
	case l.now == nil || age >= 2*longestWindow:
		l.now, l.before, l.since = make(map[string]time.Duration), nil, time.Now()
	case age >= longestWindow:
		l.now, l.before, l.since = make(map[string]time.Duration), l.now, time.Now()
	}
}
