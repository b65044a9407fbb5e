package placement

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// fallbackTable is what an entry needs to decide without an endpoint's owner.
// The zero value is ready for use.
type fallbackTable struct {
	mu       sync.Mutex
	backoffs map[coordination.Instance]ownerBackoff // owners that did not answer
	limits   map[coordination.Pool]learnedLimit
	dead     map[LostEndpoint]time.Time // when this entry last found each of them dead
}

// learnedLimit is the number of requests that an owner last let an endpoint of
// a pool run.
type learnedLimit struct {
	limit int
	at    time.Time
}

// ownerBackoff is the time for which an owner that did not answer is not asked.
type ownerBackoff struct {
	since  time.Time
	period time.Duration
}

const (
	// An owner that did not answer is not asked again for minOwnerBackoff, and for twice
	// as long each time that the one question which is then put to it fails too. A
	// lost packet holds up all answers of an owner for 0.2 s; a frozen owner costs
	// each request that asks it admitTimeout.
	minOwnerBackoff = 200 * time.Millisecond
	maxOwnerBackoff = time.Second

	// limitTTL is how long a learned limit serves.
	limitTTL = 10 * time.Second
)

// recordFailure notes that an owner did not answer. Questions that were put to it side by
// side say so once.
func (t *fallbackTable) recordFailure(now time.Time, o coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backoffs == nil {
		t.backoffs = make(map[coordination.Instance]ownerBackoff)
	}
	m, ok := t.backoffs[o]
	if ok && now.Sub(m.since) < m.period-admitTimeout {
		return
	}
	t.backoffs[o] = ownerBackoff{since: now, period: min(max(2*m.period, minOwnerBackoff), maxOwnerBackoff)}
}

// recordAnswer notes that an owner has answered.
func (t *fallbackTable) recordAnswer(o coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.backoffs, o)
}

// backingOff reports whether an owner is not worth a question now. Of the questions
// that come when its time is over the first is put to it, and the others wait to
// see what becomes of it.
func (t *fallbackTable) backingOff(now time.Time, o coordination.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.backoffs[o]
	if !ok {
		return false
	}
	if now.Sub(m.since) < m.period {
		return true
	}
	m.since = now.Add(admitTimeout - m.period)
	t.backoffs[o] = m
	return false
}

func (t *fallbackTable) recordLimit(now time.Time, p coordination.Pool, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == nil {
		t.limits = make(map[coordination.Pool]learnedLimit)
	}
	t.limits[p] = learnedLimit{limit: limit, at: now}
}

// limit returns the last learned limit of a pool, or zero.
func (t *fallbackTable) limit(now time.Time, p coordination.Pool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[p]; now.Sub(l.at) < limitTTL {
		return l.limit
	}
	return 0
}

// markDead notes that this entry has found an endpoint dead.
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

// isDead reports whether this entry has found an endpoint dead of late.
func (t *fallbackTable) isDead(now time.Time, e LostEndpoint, ttl time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.dead[e]
	return ok && now.Sub(at) < ttl
}

// decideWithoutOwner decides without the owner: by the endpoint's own report, a
// tightened bound, and only this router's share of what is left under it,
// since the other routers cannot reach the owner either and see the same
// report. In a large fleet the share is nothing, and the request goes on to an
// endpoint whose owner answers.
func (e *Entry) decideWithoutOwner(ctx context.Context, g *Grant, a ownerQuery, cfg *Config) AdmitReply {
	declined := AdmitReply{Decision: Next, Code: Unreachable}
	if e.loads == nil {
		if e.fallback.isDead(time.Now(), lostOf(a.endpoint), cfg.LostFor) {
			return AdmitReply{Decision: Next, Code: Lost}
		}
		return e.decideWithoutReport(g, cfg)
	}
	limit := e.fallback.limit(time.Now(), a.endpoint.Pool)
	if limit == 0 || g.alone {
		return declined
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	r, err := e.loads.ReadLoad(ctx, a.endpoint.ID)
	if err != nil || r.Leaving || r.Incarnation != a.endpoint.Incarnation {
		return declined
	}
	room := fallbackLimit(limit, cfg) - r.Running
	if r.Capacity > 0 {
		room = min(room, r.Capacity-r.Running)
	}
	share := room / max(e.view.Load().routers.Len(), 1)
	if !e.held.grantWithin(time.Now(), g, share, r.Observed) {
		return declined
	}
	return AdmitReply{Decision: Granted}
}

// decideWithoutReport decides without the owner and without a word of the endpoint, by
// what this entry itself has there. An owner that was killed is done without
// within half a second; until then its endpoints would take nothing, and when
// all routers start at once, or one is cut off from all others, a refusal helps
// nobody while the endpoints are well.
func (e *Entry) decideWithoutReport(g *Grant, cfg *Config) AdmitReply {
	if g.alone || !e.held.grantBelow(time.Now(), g, cfg.AloneLimit) {
		return AdmitReply{Decision: Next, Code: Unreachable}
	}
	return AdmitReply{Decision: Granted}
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

// fallbackLimit returns the limit of a decision without the owner.
func fallbackLimit(limit int, cfg *Config) int {
	return int(float64(limit) * cfg.FallbackShare)
}

// grantWithin grants if this entry has begun fewer than n requests at the
// endpoint since a report was observed.
func (t *grantTable) grantWithin(now time.Time, g *Grant, n int, observed time.Time) bool {
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
