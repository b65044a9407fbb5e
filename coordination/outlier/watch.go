package outlier

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Request describes a monitored request.
type Request struct {
	Pool     coordination.Pool
	Endpoint coordination.Endpoint
	// Kind groups similar requests, such as those of one route.
	Kind string
}

// Monitor keeps the statistics of the requests that one router sends to
// endpoints. The zero value is empty and ready for use. It is safe for
// concurrent use.
type Monitor struct {
	mu    sync.Mutex
	pools map[coordination.Pool]*poolStats
}

// poolStats holds the statistics of one pool under a lock of its own.
type poolStats struct {
	mu    sync.Mutex
	kinds map[string]*kindStats
}

// kindStats holds the statistics of one kind of request in one pool.
type kindStats struct {
	all        tally
	byEndpoint map[coordination.Endpoint]*tally
	firstByte  latencyTail
}

const (
	// rateHalfLife is the half-life of the counts from which failure rates are
	// computed. A router of a large fleet sees a kind of request about once a
	// second.
	rateHalfLife = 30 * time.Second
	// priorRequests is the number of requests at other endpoints at which a
	// failure has half of its weight. With no such requests there is nothing to
	// compare it with.
	priorRequests = 3
	// maxKinds is the maximum number of kinds in a pool; requests of further
	// kinds are not monitored.
	maxKinds = 1024
	// pruneEndpointsAt is the number of endpoints of a kind at which idle ones
	// are removed.
	pruneEndpointsAt = 64
	// minTally is the decayed number of requests below which an endpoint is
	// removed.
	minTally = 0.05
)

// RecordSuccess records a successful request and returns its weight.
func (m *Monitor) RecordSuccess(now time.Time, r Request) Weight {
	p := m.pool(r.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(r.Kind)
	if k == nil {
		return 0
	}
	k.add(now, r.Endpoint, 0)
	return SuccessWeight
}

// RecordFailure records a failed request and returns its weight, which depends
// on the failure rate of the same kind at the other endpoints.
func (m *Monitor) RecordFailure(now time.Time, r Request) Weight {
	p := m.pool(r.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kind(r.Kind)
	if k == nil {
		return 0
	}
	others := k.others(now, r.Endpoint)
	k.add(now, r.Endpoint, 1)
	known := others.all / (others.all + priorRequests)
	return Weight(known * float64(failureWeight(others.rate())))
}

// RecordFirstByte records the time that an endpoint took to the first byte of
// an answer.
func (m *Monitor) RecordFirstByte(now time.Time, r Request, took time.Duration) {
	p := m.pool(r.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.kind(r.Kind); k != nil {
		k.firstByte.observe(now, took)
	}
}

// FirstByteLimit returns the time within which a request of this kind is
// expected to get the first byte of its answer from a good endpoint, or zero if
// there are too few observations.
func (m *Monitor) FirstByteLimit(now time.Time, r Request) time.Duration {
	p := m.pool(r.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.kind(r.Kind); k != nil {
		return k.firstByte.limit(now)
	}
	return 0
}

func (m *Monitor) pool(p coordination.Pool) *poolStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.pools[p]
	if v == nil {
		if m.pools == nil {
			m.pools = make(map[coordination.Pool]*poolStats)
		}
		v = &poolStats{kinds: make(map[string]*kindStats)}
		m.pools[p] = v
	}
	return v
}

// kind returns the statistics of a kind, or nil if there are too many kinds.
func (p *poolStats) kind(name string) *kindStats {
	k := p.kinds[name]
	if k == nil && len(p.kinds) < maxKinds {
		k = &kindStats{byEndpoint: make(map[coordination.Endpoint]*tally)}
		p.kinds[name] = k
	}
	return k
}

// add counts a request; failed is 1 for a failure and 0 otherwise.
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

// pruneEndpoints removes endpoints that have had no requests for long, such as
// those that no longer exist.
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

// others returns the counts of all endpoints except e.
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

// tally counts all requests and failed ones, both decaying with rateHalfLife.
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

// rate returns the failure rate.
func (t *tally) rate() float64 {
	if t.all <= 0 {
		return 0
	}
	return t.failed / t.all
}
