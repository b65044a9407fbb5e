package mirror

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

const (
	// confirmTimeout bounds the calls to the store of one confirmation. It allows for a
	// store that takes 50 times as long as usual.
	confirmTimeout = 400 * time.Millisecond
	// confirmPause is how long after a confirmation that failed others fail at once.
	confirmPause = 200 * time.Millisecond
	// confirmWait is the wait of a watch that should have changes to report at once.
	confirmWait = time.Millisecond
	// confirmOverlap is how long a read may take before the next one begins beside it.
	confirmOverlap = 50 * time.Millisecond
)

// confirmer brings a mirror up to date when a caller asks for that. Callers that come while
// the store is being read share the next read.
type confirmer struct {
	feed *Feed

	mu       sync.Mutex
	next     *confirmation // that has not begun; nil if nobody waits for one
	readers  int           // goroutines that read the store
	begunAt  time.Time     // when the latest read began
	failedAt time.Time     // when the latest one failed; zero if it succeeded
}

// confirmation is one read of the store.
type confirmation struct {
	done chan struct{} // closed when it has ended
	ok   bool          // set before
}

// Confirm brings the mirror up to date with what the store holds when Confirm is called, or
// later, and reports whether it could. The mirror's observers have seen the changes then.
func (f *Feed) Confirm(ctx context.Context) bool {
	n := f.confirms.join()
	if n == nil {
		return false
	}
	select {
	case <-n.done:
		return n.ok
	case <-ctx.Done():
		return false
	}
}

// join returns the next confirmation, or nil if one has just failed.
func (c *confirmer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.failedAt) < confirmPause {
		return nil
	}
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	if c.readers == 0 || time.Since(c.begunAt) >= confirmOverlap {
		c.readers++
		c.begunAt = time.Now()
		go c.run()
	}
	return c.next
}

// run reads the store until nobody waits for that any more.
func (c *confirmer) run() {
	for n := c.begin(); n != nil; n = c.begin() {
		n.ok = c.confirm()
		c.mu.Lock()
		c.failedAt = time.Time{}
		if !n.ok {
			c.failedAt = time.Now()
		}
		c.mu.Unlock()
		close(n.done)
	}
}

// begin returns the confirmation that begins now, or nil if nobody waits for one.
func (c *confirmer) begin() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.next
	c.next, c.begunAt = nil, time.Now()
	if n == nil {
		c.readers--
	}
	return n
}

// confirm reads the revision of the store and, until the mirror has reached it, first the
// changes and then all keys.
func (c *confirmer) confirm() bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	start := time.Now()
	res := c.feed.cfg.Store.Revision(ctx)
	if res.Status != kv.Applied {
		return false
	}
	m := c.feed.cfg.Mirror
	for _, fetch := range []func(context.Context) (Update, error){c.fetchChanges, c.fetchAll} {
		if m.AsOf() >= res.Revision {
			return true
		}
		u, err := fetch(ctx)
		if err != nil {
			return false
		}
		c.feed.store.apply(u, start)
	}
	return m.AsOf() >= res.Revision
}

// fetchChanges fetches the changes since the mirror's revision, or all keys if the store
// does not have them any more.
func (c *confirmer) fetchChanges(ctx context.Context) (Update, error) {
	after := c.feed.cfg.Mirror.AsOf()
	if after == 0 {
		return c.fetchAll(ctx)
	}
	b, res := c.feed.cfg.Store.Watch(ctx, c.feed.cfg.Prefix, after, confirmWait)
	switch {
	case res.Status != kv.Applied:
		return Update{}, res.Err
	case b.Gap:
		return c.fetchAll(ctx)
	}
	return batchUpdate(b), nil
}

func (c *confirmer) fetchAll(ctx context.Context) (Update, error) {
	return StoreSource{Store: c.feed.cfg.Store, Prefix: c.feed.cfg.Prefix}.list(ctx)
}
