package upstream

import (
	"sync"
	"time"
)

// idleLimits learns how long the connections of each group can stay idle and still
// be reused. Some endpoints silently drop idle connections long before the timeout
// that they announce: the next request on one is reset, and a request that must not
// run twice is lost. Repeatable requests reveal the real limit, since a drop costs
// them only another attempt. The zero value relies on the announced timeouts, except
// for requests that may run at most once.
type idleLimits struct {
	mu     sync.Mutex
	groups map[string]idleRecord
}

// idleRecord is what a group's connections have shown.
type idleRecord struct {
	proven time.Duration // longest idle time after which a connection was reused successfully
	limit  time.Duration // idle time from which connections may be dropped; zero if no drop was seen
}

const (
	// dropWithin is the time within which a dropped connection is reset when it is
	// used: a round trip of 7 ms between availability zones and one lost packet. If
	// the failure comes later, the endpoint had received the request.
	dropWithin = 100 * time.Millisecond
	// idleLimitFactor is the fraction of an idle time that led to a drop, or was
	// proven, for which the next connections are reused.
	idleLimitFactor = 0.6
	// minIdleLimit keeps bursts on few connections; a drop after a shorter idle
	// time is considered accidental.
	minIdleLimit = 200 * time.Millisecond
)

// maxIdle returns how long a connection may have been idle to be reused for a
// request; zero for no limit other than the endpoint's. With atMostOnce set, it is
// derived from the longest proven idle time, between least and most, and does not
// exceed the group's limit.
func (l *idleLimits) maxIdle(group string, atMostOnce bool, least, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.groups[group]
	if !atMostOnce {
		return e.limit
	}
	longest := min(max(least, time.Duration(idleLimitFactor*float64(e.proven))), most)
	if e.limit > 0 {
		longest = min(longest, e.limit)
	}
	return longest
}

// recordSuccess records that a connection was reused successfully after an idle time.
func (l *idleLimits) recordSuccess(group string, idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.groups[group]
	if idleTime > e.proven && (e.limit == 0 || idleTime < e.limit) {
		e.proven = idleTime
		l.put(group, e)
	}
}

// recordFailure records that a connection failed on which a request was sent.
func (l *idleLimits) recordFailure(group string, c *conn, sent, now time.Time) {
	idleTime := sent.Sub(c.idleSince)
	if c.served < 2 || now.Sub(sent) > dropWithin || idleTime < minIdleLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.groups[group]
	limit := max(time.Duration(idleLimitFactor*float64(idleTime)), minIdleLimit)
	if e.limit == 0 || limit < e.limit {
		e.limit = limit
	}
	e.proven = min(e.proven, e.limit)
	l.put(group, e)
}

func (l *idleLimits) put(group string, e idleRecord) {
	if l.groups == nil {
		l.groups = make(map[string]idleRecord)
	}
	l.groups[group] = e
}
