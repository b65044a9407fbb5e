package placement

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// mostOutliers is the part of a pool that may be kept off at a time, as a
// divisor: one endpoint in three. Were more of them to fail than that, the rest
// would drown, and what looks like many bad endpoints is more often one cause
// behind them all.
const mostOutliers = 3

// outliersOf returns how many of n endpoints a request keeps off. Of two one is
// kept off, since the other can take its load; a single one has no other.
func outliersOf(n int) int {
	if n < 2 {
		return 0
	}
	return max(n/mostOutliers, 1)
}

// OutlierChange tells that an endpoint is taken out, or back, for the routers of a
// zone.
type OutlierChange struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Pool        coordination.Pool
	outlier.Change
}

// OnOutlier has fn told of each change of an own endpoint's standing. It is
// called under a lock and must not call the owner. It is to be set before the
// first [Owner.Update].
func (o *Owner) OnOutlier(fn func(OutlierChange)) { o.onOutlier = fn }

// zoneOf returns the availability zone of an entry's router. Routers that are
// not listed yet share the zone without a name.
func (o *Owner) zoneOf(e EntryID) coordination.Zone {
	r, _ := o.view.Load().routers.Find(e.Instance)
	return r.Zone
}

// see takes in what a request showed of its endpoint, and reports whether the
// endpoint is taken out for the zone of the request's router. A request that this
// owner does not count says nothing: it was taken in before, or at another owner.
func (o *Owner) see(now time.Time, n Notice, from EntryID) (out bool) {
	zone := o.zoneOf(from)
	s := o.shard(n.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[n.Endpoint]
	if l == nil {
		return false
	}
	if g, ok := l.grants[GrantID{Entry: from, Sequence: n.Sequence}]; ok {
		l.detector.Hear(now, zone, g.start, n.Seen)
	}
	return l.detector.OutFor(zone)
}

// outlierChanged follows a change of the endpoint's standing. Requests that wait
// there look for another place. The endpoint goes on counting in its pool's mean:
// else the others would be let over the bound for the load that it does not take.
// On a day with eight of twelve engines that lost 3 of 10 answers, most were taken
// out, and 21 of 566 requests met an engine over twice the mean load.
func (l *endpointLoad) outlierChanged(c outlier.Change, tell func(OutlierChange)) {
	if tell != nil {
		tell(OutlierChange{Endpoint: l.desc.ID, Incarnation: l.desc.Incarnation, Pool: l.desc.Pool, Change: c})
	}
	if c.Standing == outlier.Ejected {
		l.replyNextToAll(Outlier)
	}
}

// keepsOff tells whether a request is to keep off the endpoint for its failures,
// and for how long.
func (l *endpointLoad) keepsOff(now time.Time, req *AdmitRequest, zone coordination.Zone) (time.Duration, bool) {
	if req.Insist {
		return 0, false
	}
	standing, wait := l.detector.Standing(now, zone, l)
	switch standing {
	case outlier.Ejected:
		return wait, true
	case outlier.Doubted, outlier.Probed:
		return max(wait, leastDoubt), req.Once
	default:
		return 0, false
	}
}

// Since implements outlier.Runs.
func (l *endpointLoad) Since(begun time.Time) int {
	n := 0
	for _, g := range l.grants {
		if !g.start.Before(begun) {
			n++
		}
	}
	return n
}

// leastDoubt is the least time for which an entry need not ask again.
const leastDoubt = 100 * time.Millisecond

// doubtTable holds which endpoints an entry need not ask about, by the word of
// their owners. Without it each request would first be sent away by the owner
// of its bad endpoint, 7 ms away. The zero value is ready for use.
type doubtTable struct {
	mu    sync.Mutex
	until map[doubt]time.Time
}

// doubt is an endpoint that turned a request away for its failures. One that
// takes requests which may be sent again may keep off others.
type doubt struct {
	pool     coordination.Pool
	endpoint coordination.Endpoint
	once     bool
}

// longestDoubt bounds for how long an entry does not ask, so that a new owner,
// which knows of no failures, is asked soon.
const longestDoubt = time.Second

func (t *doubtTable) note(now time.Time, d doubt, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = make(map[doubt]time.Time)
	}
	for old, until := range t.until {
		if now.After(until) {
			delete(t.until, old)
		}
	}
	t.until[d] = now.Add(min(wait, longestDoubt))
}

// outliers returns how many endpoints of a pool are known to take no requests at
// all.
func (t *doubtTable) outliers(now time.Time, p coordination.Pool) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for d, until := range t.until {
		if d.pool == p && !d.once && now.Before(until) {
			n++
		}
	}
	return n
}

func (t *doubtTable) holds(now time.Time, d doubt) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until[d])
}
