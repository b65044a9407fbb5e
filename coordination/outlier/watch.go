package outlier

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Sight says which request is spoken of: what it asked for, and where.
type Sight struct {
	Pool     coordination.Pool
	Endpoint coordination.Endpoint
	// Kind names requests that are alike, such as those of one route.
	Kind string
}

// Watch is what one router knows of the endpoints from its own requests. The
// zero value knows nothing and is ready for use.
type Watch struct {
	mu    sync.Mutex
	pools map[coordination.Pool]*poolView
}

// poolView is what was seen in one pool, under a lock of its own.
type poolView struct {
	mu    sync.Mutex
	kinds map[string]*kindView
}

// kindView is what was seen of one kind of request in one pool.
type kindView struct {
	all     tally
	each    map[coordination.Endpoint]*tally
	answers pace
}

const (
	// rateHalfLife is the half-life of what counts for the usual share of
	// failures. A router of a large fleet sees a kind about once a second.
	rateHalfLife = 30 * time.Second
	// fewSeen is how many requests at other endpoints give a failure half of its
	// weight: with none there is nothing to compare it to.
	fewSeen = 3
	// mostKinds bounds the kinds of a pool; requests beyond it are not watched.
	mostKinds = 1024
	// mostEndpoints is the number of endpoints of a kind from which on those
	// that were not seen for long are dropped.
	mostEndpoints = 64
	// forgotten is the decayed number of requests below which an endpoint is
	// dropped.
	forgotten = 0.05
)

// Served takes in that a request was served, and returns what that says.
func (w *Watch) Served(now time.Time, s Sight) Weight {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.kind(s.Kind)
	if k == nil {
		return 0
	}
	k.add(now, s.Endpoint, 0)
	return Served
}

// Failed takes in that a request failed at its endpoint, and returns what that
// says, by how the same kind fares at the others.
func (w *Watch) Failed(now time.Time, s Sight) Weight {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.kind(s.Kind)
	if k == nil {
		return 0
	}
	others := k.others(now, s.Endpoint)
	k.add(now, s.Endpoint, 1)
	known := others.all / (others.all + fewSeen)
	return Weight(known * float64(weightOf(others.rate())))
}

// Answered takes in how long an endpoint took for the first byte of an answer.
func (w *Watch) Answered(now time.Time, s Sight, took time.Duration) {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.kind(s.Kind); k != nil {
		k.answers.observe(now, took)
	}
}

// Patience returns for how long a request of this kind is likely to get the
// first byte of its answer at a good endpoint; zero if that is not known yet.
func (w *Watch) Patience(now time.Time, s Sight) time.Duration {
	v := w.pool(s.Pool)
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.kind(s.Kind); k != nil {
		return k.answers.limit(now)
	}
	return 0
}

func (w *Watch) pool(p coordination.Pool) *poolView {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.pools[p]
	if v == nil {
		if w.pools == nil {
			w.pools = make(map[coordination.Pool]*poolView)
		}
		v = &poolView{kinds: make(map[string]*kindView)}
		w.pools[p] = v
	}
	return v
}

// kind returns the view of a kind, or nil if there are too many.
func (v *poolView) kind(name string) *kindView {
	k := v.kinds[name]
	if k == nil && len(v.kinds) < mostKinds {
		k = &kindView{each: make(map[coordination.Endpoint]*tally)}
		v.kinds[name] = k
	}
	return k
}

// add counts a request, with 1 for failed.
func (k *kindView) add(now time.Time, e coordination.Endpoint, failed float64) {
	k.all.add(now, failed)
	t := k.each[e]
	if t == nil {
		k.shrink(now)
		t = &tally{}
		k.each[e] = t
	}
	t.add(now, failed)
}

// shrink drops endpoints that have not been seen for long, such as those that
// are gone.
func (k *kindView) shrink(now time.Time) {
	if len(k.each) < mostEndpoints {
		return
	}
	for e, t := range k.each {
		t.age(now)
		if t.all < forgotten {
			delete(k.each, e)
		}
	}
}

// others returns the counts of all endpoints but one.
func (k *kindView) others(now time.Time, e coordination.Endpoint) tally {
	k.all.age(now)
	sum := k.all
	if t := k.each[e]; t != nil {
		t.age(now)
		sum.all = max(sum.all-t.all, 0)
		sum.failed = min(max(sum.failed-t.failed, 0), sum.all)
	}
	return sum
}

// tally counts requests, and those that failed, with a half-life.
type tally struct {
	all, failed float64
	aged        time.Time
}

func (t *tally) age(now time.Time) {
	left := halving(now.Sub(t.aged), rateHalfLife)
	t.all *= left
	t.failed *= left
	t.aged = now
}

func (t *tally) add(now time.Time, failed float64) {
	t.age(now)
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
