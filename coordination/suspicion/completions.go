package suspicion

import (
	"sync"
	"time"
)

// completions remembers which requests have lately run to completion. A request
// that many callers send is likely to be among them, one that crashes endpoints is
// not. Entries are kept for one to two windows.
type completions struct {
	window time.Duration
	limit  int // entries per generation

	mu              sync.Mutex
	began           time.Time // of the current generation
	current, before map[Fingerprint]struct{}
}

func newCompletions(window time.Duration, limit int) *completions {
	return &completions{window: window, limit: limit, current: make(map[Fingerprint]struct{})}
}

// add records that a request has run to completion.
func (c *completions) add(now time.Time, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if len(c.current) >= c.limit {
		c.before, c.current, c.began = c.current, make(map[Fingerprint]struct{}), now
	}
	c.current[f] = struct{}{}
}

// contains reports whether a request has lately run to completion.
func (c *completions) contains(now time.Time, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	_, current := c.current[f]
	_, before := c.before[f]
	return current || before
}

// advance begins a new generation when the current one is a window old.
func (c *completions) advance(now time.Time) {
	switch age := now.Sub(c.began); {
	case age >= 2*c.window:
		c.before, c.current, c.began = nil, make(map[Fingerprint]struct{}), now
	case age >= c.window:
		c.before, c.current, c.began = c.current, make(map[Fingerprint]struct{}), now
	}
}
