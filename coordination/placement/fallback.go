package placement

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
)

// fallbackTable holds what an entry needs to decide without an endpoint's owner.
// The zero value is ready for use.
type fallbackTable struct {
	mu       sync.Mutex
	backoffs map[coordination.Instance]ownerBackoff // owners that did not reply
	limits   map[coordination.Pool]learnedLimit
	dead     map[LostEndpoint]time.Time // when this entry last found each one dead
}

// learnedLimit is the number of requests that an owner last allowed an endpoint
// of a pool to run.
type learnedLimit struct {
	limit int
	at    time.Time
}

// ownerBackoff is the period in which an owner that did not reply is not asked.
type ownerBackoff struct {
	since  time.Time
	period time.Duration
}

const (
	// An owner that did not reply is not asked again for minOwnerBackoff. The period
	// doubles, up to maxOwnerBackoff, each time that the single query sent after it
	// fails too. A lost packet delays all replies of an owner by 0.2 s; a frozen owner
	// costs each request that asks it admitTimeout.
	minOwnerBackoff = 200 * time.Millisecond
	maxOwnerBackoff = time.Second

	// limitTTL is how long a learned limit is valid.
	limitTTL = 10 * time.Second
)

// recordFailure notes that an owner did not reply. Failures of concurrent queries
// count as one.
func (t *fallbackTable) recordFailure(now time.Time, o coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backoffs == nil {
		t.backoffs = make(map[coordination.Instance]ownerBackoff)
	}
	b, ok := t.backoffs[o]
	if ok && now.Sub(b.since) < b.period-admitTimeout {
		return
	}
	t.backoffs[o] = ownerBackoff{since: now, period: min(max(2*b.period, minOwnerBackoff), maxOwnerBackoff)}
}

// recordAnswer notes that an owner has replied, which ends its backoff.
func (t *fallbackTable) recordAnswer(o coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.backoffs, o)
}

// backingOff reports whether an owner should not be asked now. When the backoff
// ends, only the first query goes to the owner; the others keep avoiding it for
// admitTimeout, until the result of that query is known.
func (t *fallbackTable) backingOff(now time.Time, o coordination.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inBackoff(now, o) {
		return true
	}
	b, ok := t.backoffs[o]
	if !ok {
		return false
	}
	b.since = now.Add(admitTimeout - b.period)
	t.backoffs[o] = b
	return false
}

// inBackoff reports whether the backoff of an owner has not ended. The caller holds t.mu.
func (t *fallbackTable) inBackoff(now time.Time, o coordination.Instance) bool {
	b, ok := t.backoffs[o]
	return ok && now.Sub(b.since) < b.period
}

// previewBackoff reports what backingOff would, without making this the query that is
// sent when the backoff has ended.
func (t *fallbackTable) previewBackoff(now time.Time, o coordination.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inBackoff(now, o)
}

// recordLimit records the limit that an owner of a pool's endpoint replied with.
func (t *fallbackTable) recordLimit(now time.Time, p coordination.Pool, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == nil {
		t.limits = make(map[coordination.Pool]learnedLimit)
	}
	t.limits[p] = learnedLimit{limit: limit, at: now}
}

// limit returns the last learned limit of a pool, or zero if it has expired.
func (t *fallbackTable) limit(now time.Time, p coordination.Pool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[p]; now.Sub(l.at) < limitTTL {
		return l.limit
	}
	return 0
}

// markDead records that this entry has found an endpoint dead.
func (t *fallbackTable) markDead(now time.Time, e LostEndpoint, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead == nil {
		t.dead = make(map[LostEndpoint]time.Time)
	}
	for other, at := range t.dead {
		if now.Sub(at) >= ttl {
			delete(t.dead, other)
		}
	}
	t.dead[e] = now
}

// isDead reports whether this entry has found an endpoint dead within ttl.
func (t *fallbackTable) isDead(now time.Time, e LostEndpoint, ttl time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.dead[e]
	return ok && now.Sub(at) < ttl
}

// decideWithoutOwner decides by the endpoint's own report against a reduced bound.
// It uses only this router's share of the remaining room, since the other routers
// cannot reach the owner either and see the same report. In a large fleet that
// share is zero, and the request goes on to an endpoint whose owner replies.
func (e *Entry) decideWithoutOwner(ctx context.Context, g *Grant, q ownerQuery, cfg *Config) AdmitReply {
	declined := AdmitReply{Decision: Next, Code: Unreachable}
	if b := cfg.boundOf(q.endpoint.Pool); b.ColdRate > 0 && time.Now().Before(q.endpoint.coldUntil(&b)) {
		return declined
	}
	if e.local.rejectionsLimited(time.Now(), q.endpoint.Pool) {
		return declined
	}
	if e.loads == nil {
		if e.fallback.isDead(time.Now(), lostOf(q.endpoint), cfg.LostTTL) {
			return AdmitReply{Decision: Next, Code: EndpointLost}
		}
		return e.decideWithoutReport(g, q.endpoint, cfg)
	}
	limit := e.fallback.limit(time.Now(), q.endpoint.Pool)
	if limit == 0 || g.isolated {
		return declined
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	r, err := e.loads.ReadLoad(ctx, q.endpoint.ID)
	if err != nil || r.Leaving || r.Incarnation != q.endpoint.Incarnation {
		return declined
	}
	room := e.slowShare(fallbackLimit(limit, cfg), q.endpoint) - r.Running
	if r.Capacity > 0 {
		room = min(room, r.Capacity-r.Running)
	}
	share := room / max(e.view.Load().routers.Len(), 1)
	if !e.held.grantBelowSince(time.Now(), g, share, r.Observed) {
		return declined
	}
	return AdmitReply{Decision: Granted}
}

// decideWithoutReport decides without the owner and without a report of the
// endpoint, by the number of requests that this entry has there. An owner that was
// killed is replaced within half a second, and until then its endpoints would take
// no requests. When all routers start at once, or one is cut off from all others,
// refusing would not help either while the endpoints work. An endpoint that the owner
// last said to be slow gets fewer.
func (e *Entry) decideWithoutReport(g *Grant, d *Descriptor, cfg *Config) AdmitReply {
	if g.isolated || !e.held.grantBelow(time.Now(), g, e.slowShare(cfg.FallbackLimit, d)) {
		return AdmitReply{Decision: Next, Code: Unreachable}
	}
	return AdmitReply{Decision: Granted}
}

// slowShare returns how many of n requests d gets if its owner last said that it is slow.
func (e *Entry) slowShare(n int, d *Descriptor) int {
	if p := e.known.pace(time.Now(), d); p > capacity.Tolerance && n > 0 {
		return max(int(float64(n)/p), 1)
	}
	return n
}

// grantBelow grants if this entry has fewer than n requests at the endpoint.
func (t *grantTable) grantBelow(now time.Time, g *Grant, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := 0
	for _, other := range t.grants {
		if other.granted && other.Endpoint.ID == g.Endpoint.ID {
			held++
		}
	}
	if held >= n {
		return false
	}
	g.granted, g.start = true, now
	return true
}

// fallbackLimit returns the reduced limit for a decision without the owner.
func fallbackLimit(limit int, cfg *Config) int {
	return int(float64(limit) * cfg.FallbackShare)
}

// grantBelowSince grants if this entry has started fewer than n requests at the
// endpoint since its report was observed.
func (t *grantTable) grantBelowSince(now time.Time, g *Grant, n int, observed time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := 0
	for _, other := range t.grants {
		if other.granted && other.Endpoint.ID == g.Endpoint.ID && other.start.After(observed) {
			begun++
		}
	}
	if begun >= n {
		return false
	}
	g.granted, g.start = true, now
	return true
}
