package placement

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// outlierDivisor limits the outliers avoided in a pool to one endpoint in
// three. If more endpoints fail, the rest could not carry the load, and the
// failures are more likely to have a common cause.
const outlierDivisor = 3

// maxOutliers returns how many of n endpoints requests may avoid. One of two
// may be avoided, since the other can take its load; a single endpoint may not.
func maxOutliers(n int) int {
	if n < 2 {
		return 0
	}
	return max(n/outlierDivisor, 1)
}

// OutlierChange reports that an endpoint is ejected or restored for the
// routers of an availability zone.
type OutlierChange struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Pool        coordination.Pool
	outlier.Change
}

// OnOutlier sets fn to be called on every change of the outlier state of an own
// endpoint. It is called with a lock held and must not call the owner. It must
// be set before the first [Owner.Update].
func (o *Owner) OnOutlier(fn func(OutlierChange)) { o.onOutlier = fn }

// zoneOf returns the availability zone of an entry's router. Routers that are
// not listed yet share the empty zone.
func (o *Owner) zoneOf(e EntryID) coordination.Zone {
	r, _ := o.view.Load().routers.Find(e.Instance)
	return r.Zone
}

// recordEvidence passes the outcome weight of a request to the outlier detector
// of its endpoint and reports whether the endpoint is ejected for the zone of
// the request's router. A request that this owner does not count is ignored,
// because it was recorded before or by another owner.
func (o *Owner) recordEvidence(now time.Time, n Notice, from EntryID) (ejected bool) {
	zone := o.zoneOf(from)
	s := o.shard(n.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[n.Endpoint]
	if l == nil {
		return false
	}
	if g, ok := l.grants[GrantID{Entry: from, Sequence: n.Sequence}]; ok {
		l.detector.Observe(now, zone, g.start, n.Evidence)
	}
	return l.detector.EjectedFor(zone)
}

// outlierChanged handles a change of the endpoint's outlier state. Requests
// queued at an ejected endpoint are passed on. The endpoint still counts in its
// pool's mean; otherwise the others would exceed the bound by the load that it
// does not take. With 8 of 12 engines losing 3 of 10 answers, most were
// ejected, and 21 of 566 requests ran on an engine at more than twice the mean
// load.
func (l *endpointLoad) outlierChanged(c outlier.Change, notify func(OutlierChange)) {
	if notify != nil {
		notify(OutlierChange{Endpoint: l.desc.ID, Incarnation: l.desc.Incarnation, Pool: l.desc.Pool, Change: c})
	}
	if c.Standing == outlier.Ejected {
		l.replyNextToAll(Outlier)
	}
}

// mustAvoid reports whether a request must avoid the endpoint because of its
// failures, and for how long.
func (l *endpointLoad) mustAvoid(now time.Time, req *AdmitRequest, zone coordination.Zone) (time.Duration, bool) {
	if req.AllowOutlier {
		return 0, false
	}
	standing, wait := l.detector.Standing(now, zone, l)
	switch standing {
	case outlier.Ejected:
		return wait, true
	case outlier.Doubted, outlier.Probed:
		return max(wait, minAvoidTime), req.NonRetryable
	default:
		return 0, false
	}
}

// Since implements outlier.RunningRequests.
func (l *endpointLoad) Since(begun time.Time) int {
	n := 0
	for _, g := range l.grants {
		if !g.start.Before(begun) {
			n++
		}
	}
	return n
}

// minAvoidTime is the shortest time for which an entry avoids an endpoint.
const minAvoidTime = 100 * time.Millisecond

// avoidTable holds the endpoints that an entry need not ask about, because
// their owners rejected requests for an outlier state. Without it, each request
// would first be rejected by the owner of the failing endpoint, which is 7 ms
// away. The zero value is ready for use.
type avoidTable struct {
	mu    sync.Mutex
	until map[avoidKey]time.Time
}

// avoidKey identifies an endpoint that rejected a request for its failures. An
// endpoint that rejects non-retryable requests may still accept others.
type avoidKey struct {
	pool         coordination.Pool
	endpoint     coordination.Endpoint
	nonRetryable bool
}

// maxAvoidTime bounds how long an entry avoids an endpoint without asking, so
// that a new owner, which has no record of failures, is asked soon.
const maxAvoidTime = time.Second

func (t *avoidTable) add(now time.Time, k avoidKey, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = make(map[avoidKey]time.Time)
	}
	for old, until := range t.until {
		if now.After(until) {
			delete(t.until, old)
		}
	}
	t.until[k] = now.Add(min(wait, maxAvoidTime))
}

// outliers returns the number of endpoints of a pool that are known to reject
// all requests.
func (t *avoidTable) outliers(now time.Time, p coordination.Pool) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for k, until := range t.until {
		if k.pool == p && !k.nonRetryable && now.Before(until) {
			n++
		}
	}
	return n
}

func (t *avoidTable) contains(now time.Time, k avoidKey) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until[k])
}
