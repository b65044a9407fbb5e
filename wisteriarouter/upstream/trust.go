package upstream

import (
	"sync"
	"time"
)

// idleLimits learns for how long the unused connections of each group can be relied
// on. Some endpoints drop them without a word, long before the time that they
// name: whatever is sent next is reset, and a request that must not run twice
// is lost. Requests that may run twice show what holds: for them a drop costs
// one more attempt. The zero value trusts what endpoints say, but for requests
// that run once.
type idleLimits struct {
	mu     sync.Mutex
	groups map[string]idleRecord
}

// idleRecord is what a group's connections have shown.
type idleRecord struct {
	proven time.Duration // the longest time unused after which one has served
	limit  time.Duration // from which on they may be dropped; zero if none was
}

const (
	// dropWithin is the time within which a dropped connection is reset when
	// it is used: one way there and back, 7 ms between availability zones, and
	// a lost packet on the way. An endpoint that fails later had the request.
	dropWithin = 100 * time.Millisecond
	// idleLimitFactor is the part of a time unused that led to a drop, or was
	// proven, for which the next connections are relied on.
	idleLimitFactor = 0.6
	// minIdleLimit keeps bursts on few connections; below it a drop is taken for
	// chance.
	minIdleLimit = 200 * time.Millisecond
)

// maxIdle returns for how long a connection may have been unused for a request;
// zero for no limit but the endpoint's. A request that runs once relies only on
// what has been proven, and on least anyway.
func (t *idleLimits) maxIdle(group string, once bool, least, most time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.groups[group]
	if !once {
		return e.limit
	}
	longest := min(max(least, time.Duration(idleLimitFactor*float64(e.proven))), most)
	if e.limit > 0 {
		longest = min(longest, e.limit)
	}
	return longest
}

// recordSuccess takes in that a connection has recordSuccess after a time unused.
func (t *idleLimits) recordSuccess(group string, unused time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.groups[group]
	if unused > e.proven && (e.limit == 0 || unused < e.limit) {
		e.proven = unused
		t.put(group, e)
	}
}

// recordFailure takes in that a connection has recordFailure on which a request was sent.
func (t *idleLimits) recordFailure(group string, c *conn, sent, now time.Time) {
	unused := sent.Sub(c.idleSince)
	if c.served < 2 || now.Sub(sent) > dropWithin || unused < minIdleLimit {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.groups[group]
	limit := max(time.Duration(idleLimitFactor*float64(unused)), minIdleLimit)
	if e.limit == 0 || limit < e.limit {
		e.limit = limit
	}
	e.proven = min(e.proven, e.limit)
	t.put(group, e)
}

func (t *idleLimits) put(group string, e idleRecord) {
	if t.groups == nil {
		t.groups = make(map[string]idleRecord)
	}
	t.groups[group] = e
}
