package outlier

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Request says which request is spoken of: what it asked for, and where.
type Request struct {
	Pool     coordination.Pool
	Endpoint coordination.Endpoint
	// Kind names requests that are alike, such as those of one route.
	Kind string
}

// Monitor is what one router knows of the endpoints from its own requests. The
// zero value knows nothing and is ready for use.
type Monitor struct {
	mu    sync.Mutex
	pools map[coordination.Pool]*poolStats
}

// poolStats is what was seen in one pool, under a lock of its own.
type poolStats struct {
	mu    sync.Mutex
	kinds map[string]*kindStats
}

// kindStats is what was seen of one kind of request in one pool.
type kindStats struct {
	all        tally
	byEndpoint map[coordination.Endpoint]*tally
	firstByte  latencyTail
}

const (
	// rateHalfLife is the half-life of what counts for the usual share of
	// failures. A router of a large fleet sees a kind about once a second.
	rateHalfLife = 30 * time.Second
	// priorRequests is how many requests at other endpoints give a failure half of its
	// weight: with none there is nothing to compare it to.
	priorRequests = 3
	// maxKinds bounds the kinds of a pool; requests beyond it are not watched.
	maxKinds = 1024
	// pruneEndpointsAt is the number of endpoints of a kind from which on those
	// that were not seen for long are dropped.
	pruneEndpointsAt = 64
	// minTally is the decayed number of requests below which an endpoint is
	// dropped.
	minTally = 0.05
)

// RecordSuccess takes in that a request was served, and returns what that says.
func (w *Monitor) RecordSuccess(now time.Time, s Request) Weight {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.kind(s.Kind)
	if k == nil {
		return 0
	}
	k.add(now, s.Endpoint, 0)
	return SuccessWeight
}

// RecordFailure takes in that a request failed at its endpoint, and returns what that
// says, by how the same kind fares at the others.
func (w *Monitor) RecordFailure(now time.Time, s Request) Weight {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.kind(s.Kind)
	if k == nil {
		return 0
	}
	others := k.others(now, s.Endpoint)
	k.add(now, s.Endpoint, 1)
	known := others.all / (others.all + priorRequests)
	return Weight(known * float64(failureWeight(others.rate())))
}

// RecordFirstByte takes in how long an endpoint took for the first byte of an answer.
func (w *Monitor) RecordFirstByte(now time.Time, s Request, took time.Duration) {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.kind(s.Kind); k != nil {
		k.firstByte.observe(now, took)
	}
}

// FirstByteLimit returns for how long a request of this kind is likely to get the
// first byte of its answer at a good endpoint; zero if that is not known yet.
func (w *Monitor) FirstByteLimit(now time.Time, s Request) time.Duration {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.kind(s.Kind); k != nil {
		return k.firstByte.limit(now)
	}
	return 0
}

func (w *Monitor) pool(p coordination.Pool) *poolStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.pools[p]
	if v == nil {
		if w.pools == nil {
			w.pools = make(map[coordination.Pool]*poolStats)
		}
		v = &poolStats{kinds: make(map[string]*kindStats)}
		w.pools[p] = v
	}
	return v
}

// kind returns the view of a kind, or nil if there are too many.
func (v *poolStats) kind(name string) *kindStats {
	k := v.kinds[name]
	if k == nil && len(v.kinds) < maxKinds {
		k = &kindStats{byEndpoint: make(map[coordination.Endpoint]*tally)}
		v.kinds[name] = k
	}
	return k
}

// add counts a request, with 1 for failed.
func (k *kindStats) add(now time.Time, e coordination.Endpoint, failed float64) {
	k.all.add(now, failed)
	t := k.byEndpoint[e]
	if t == nil {
		k.pruneEndpoints(now)
		t = &tally{}
		k.byEndpoint[e] = t
	}
	t.add(now, failed)
}

// pruneEndpoints drops endpoints that have not been seen for long, such as those that
// are gone.
func (k *kindStats) pruneEndpoints(now time.Time) {
	if len(k.byEndpoint) < pruneEndpointsAt {
		return
	}
	for e, t := range k.byEndpoint {
		t.decay(now)
		if t.all < minTally {
			delete(k.byEndpoint, e)
		}
	}
}

// others returns the counts of all endpoints but one.
func (k *kindStats) others(now time.Time, e coordination.Endpoint) tally {
	k.all.decay(now)
	sum := k.all
	if t := k.byEndpoint[e]; t != nil {
		t.decay(now)
		sum.all = max(sum.all-t.all, 0)
		sum.failed = min(max(sum.failed-t.failed, 0), sum.all)
	}
	return sum
}

// tally counts requests, and those that failed, with a half-life.
type tally struct {
	all, failed float64
	decayedAt   time.Time
}

func (t *tally) decay(now time.Time) {
	left := decayFactor(now.Sub(t.decayedAt), rateHalfLife)
	t.all *= left
	t.failed *= left
	t.decayedAt = now
}

func (t *tally) add(now time.Time, failed float64) {
	t.decay(now)
	t.all++
	t.failed += failed
}

// rate returns the share of requests that failed.
func (t *tally) rate() float64 {
	if t.all <= 0 {
		return 0
	}
	return t.failed / t.all
}
