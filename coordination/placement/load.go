package placement

import (
	"math"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/outlier"
)

// Report is the load that an endpoint reports about itself. It lags behind the
// actual load.
type Report struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Running     int // running and queued requests
	Capacity    int // maximum concurrent requests; zero if unknown
	Leaving     bool
	Observed    time.Time
}

// activeGrant is a live grant as counted by the endpoint's owner.
type activeGrant struct {
	start    time.Time
	isolated bool
	running  int // requests at the endpoint when it was granted, itself included; zero if unknown
}

// grantSpan is the lifetime of a grant that has ended.
type grantSpan struct{ start, end time.Time }

// endpointLoad is the owner's exact count of the requests at one endpoint. It
// is guarded by the lock of its shard.
type endpointLoad struct {
	desc          Descriptor
	pool          *poolLoad
	grants        map[GrantID]activeGrant
	isolated      int // number of isolated grants
	queue         fairQueue
	arrived       uint64
	service       serviceTime
	turnover      turnover
	countedInPool int // requests of this endpoint included in the pool's sum
	leaving       bool
	lostAt        time.Time   // when an entry last found the endpoint dead; zero if alive
	nextCold      time.Time   // when the next grant is due while the endpoint is cold
	rejections    []time.Time // recent rejections of requests; kept only if they are limited
	takenOver     time.Time   // when this router took the endpoint over; zero if others cannot count it
	detector      outlier.Detector
	estimate      capacity.Estimator
	observed      bool    // estimate has observations of this owner
	countedSpeed  float64 // included in the pool's sum
	class         capacityClass
	notified      time.Time // when operators were last told of class

	// settledAt ends the time in which a new owner does not know what its
	// endpoint runs, unless entries register or the endpoint reports earlier.
	// An owner that counted from zero would admit a full second load.
	settledAt time.Time

	report          Report
	unaccounted     int         // requests in the report without a matching grant
	unmatchedGrants int         // grants without a matching request in the report
	ended           []grantSpan // recently ended grants, oldest first

	// released holds ended grants. Without it, an admission or a registration
	// that arrives after the release would be counted forever.
	released       map[GrantID]time.Time
	releasedPruned time.Time
	lastDispatch   time.Time
}

const (
	endedSpans        = 256
	releasedLimit     = 4096
	releasedRetention = 30 * time.Second
)

func newEndpointLoad(d Descriptor, p *poolLoad, settled time.Time) *endpointLoad {
	l := &endpointLoad{
		desc:      d,
		pool:      p,
		grants:    make(map[GrantID]activeGrant),
		released:  make(map[GrantID]time.Time),
		settledAt: settled,
		leaving:   d.State == Leaving,
	}
	if !l.leaving {
		p.add(0, 1)
		l.countSpeed(1)
	}
	return l
}

// count returns the number of requests at the endpoint: its grants and the
// reported requests without a grant. The latter decay with the age of the
// report, because an old report says little about the current load.
func (l *endpointLoad) count(now time.Time, cfg *Config) int {
	return len(l.grants) + l.unaccountedAt(now, cfg)
}

// confirmedCount returns the number of requests that are known to run. It
// leaves out grants for which the endpoint reports no request, such as those of
// a crashed entry. The pool's mean is computed from it: with count, grants that
// are never released would raise the limit of all endpoints.
func (l *endpointLoad) confirmedCount(now time.Time, cfg *Config) int {
	if now.Sub(l.report.Observed) >= cfg.ReportTTL {
		return len(l.grants)
	}
	return max(len(l.grants)-l.unmatchedGrants, 0) + l.unaccountedAt(now, cfg)
}

func (l *endpointLoad) unaccountedAt(now time.Time, cfg *Config) int {
	if l.unaccounted == 0 {
		return 0
	}
	age := now.Sub(l.report.Observed)
	left := 1 - float64(age)/float64(cfg.ReportTTL)
	if left <= 0 {
		return 0
	}
	return int(math.Ceil(float64(l.unaccounted) * min(left, 1)))
}

// settling reports whether the owner does not yet know what the endpoint runs.
func (l *endpointLoad) settling(now time.Time, cfg *Config) bool {
	if !now.Before(l.settledAt) {
		return false
	}
	reported := !l.report.Observed.IsZero() && now.Sub(l.report.Observed) < cfg.ReportTTL
	return !reported
}

// isLost reports whether an entry recently found the endpoint dead. The
// endpoint's own report clears the state; without one it expires after LostTTL.
func (l *endpointLoad) isLost(now time.Time, cfg *Config) bool {
	return !l.lostAt.IsZero() && now.Sub(l.lostAt) < cfg.LostTTL
}

// refresh updates the pool's sum to the current count.
func (l *endpointLoad) refresh(now time.Time, cfg *Config) {
	n := l.confirmedCount(now, cfg)
	if l.leaving {
		n = 0
	}
	if n != l.countedInPool {
		l.pool.add(n-l.countedInPool, 0)
		l.countedInPool = n
	}
	if !l.leaving {
		l.countSpeed(1 / float64(l.pace(now, cfg)))
	}
}

// countSpeed updates the pool's sum of speeds to that of the endpoint.
func (l *endpointLoad) countSpeed(speed float64) {
	if speed != l.countedSpeed {
		l.pool.addSpeed(speed - l.countedSpeed)
		l.countedSpeed = speed
	}
}

// markLeaving marks the endpoint as leaving. This is final for its incarnation.
func (l *endpointLoad) markLeaving() {
	if l.leaving {
		return
	}
	l.leaving = true
	l.pool.add(-l.countedInPool, -1)
	l.countedInPool = 0
	l.countSpeed(0)
}

// capacity returns the number of requests that the endpoint may run at a time.
func (l *endpointLoad) capacity() int {
	c, r := l.desc.Capacity, l.report.Capacity
	switch {
	case c <= 0 && r <= 0:
		return math.MaxInt
	case c <= 0:
		return r
	case r <= 0:
		return c
	default:
		return min(c, r)
	}
}

// sendLimit returns the number of requests that may be sent to the endpoint:
// its capacity and the overcommit, unless requests that wait there may be rejected and
// rejections are limited. An endpoint that takes fewer well gets only what its turnover
// needs beyond that: the requests would run at once instead of waiting.
func (l *endpointLoad) sendLimit(now time.Time, cfg *Config) int {
	c, limited := l.usefulConcurrency(now, cfg)
	switch {
	case c == math.MaxInt || l.pool.rejectionLimit(now) > 0:
		return c
	case limited:
		return min(c+int(math.Ceil(l.turnover.overcommit()*float64(c))), l.capacity())
	}
	return c + int(max(cfg.boundOf(l.desc.Pool).Overcommit, l.turnover.overcommit())*float64(c))
}

// applyReport stores a report. Requests beyond the grants that were live when
// the report was observed are counted as unaccounted.
func (l *endpointLoad) applyReport(now time.Time, r Report, cfg *Config) {
	if r.Observed.Before(l.report.Observed) {
		return
	}
	if r.Observed.After(l.lostAt) {
		l.lostAt = time.Time{}
	}
	known := 0
	for _, g := range l.grants {
		if !g.start.After(r.Observed) {
			known++
		}
	}
	for _, e := range l.ended {
		if !e.start.After(r.Observed) && e.end.After(r.Observed) {
			known++
		}
	}
	l.report = r
	l.unaccounted = max(r.Running-known, 0)
	l.unmatchedGrants = max(known-r.Running, 0)
	l.refresh(now, cfg)
}

// addGrant records a grant.
func (l *endpointLoad) addGrant(now time.Time, id GrantID, g activeGrant) {
	if len(l.grants) == 0 {
		l.service.begin(now)
	}
	l.grants[id] = g
	if g.isolated {
		l.isolated++
	}
}

// removeGrant ends a grant and reports whether it existed.
func (l *endpointLoad) removeGrant(now time.Time, id GrantID) bool {
	g, ok := l.grants[id]
	if !ok {
		return false
	}
	delete(l.grants, id)
	if g.isolated {
		l.isolated--
	}
	if len(l.ended) == endedSpans {
		l.ended = l.ended[1:]
	}
	l.ended = append(l.ended, grantSpan{start: g.start, end: now})
	return true
}

// rememberRelease records that a grant has been released.
func (l *endpointLoad) rememberRelease(now time.Time, id GrantID) {
	if len(l.released) < releasedLimit {
		l.released[id] = now
	}
}

// pruneReleased drops releases older than releasedRetention.
func (l *endpointLoad) pruneReleased(now time.Time) {
	if now.Sub(l.releasedPruned) < releasedRetention/4 {
		return
	}
	l.releasedPruned = now
	for id, at := range l.released {
		if now.Sub(at) > releasedRetention {
			delete(l.released, id)
		}
	}
}

// serviceTime estimates how long requests run at an endpoint. The zero value
// has no observations.
type serviceTime struct {
	mean         time.Duration
	lastProgress time.Time // when a request last ended, or began at an idle endpoint
}

// serviceSmoothing is the weight of the latest request in the moving average.
const serviceSmoothing = 0.1

func (s *serviceTime) observe(d time.Duration, now time.Time) {
	s.lastProgress = now
	if s.mean == 0 {
		s.mean = max(d, 1)
		return
	}
	s.mean += time.Duration(serviceSmoothing * float64(d-s.mean))
}

// begin records that a request starts at an idle endpoint. The idle time before
// it says nothing about the endpoint's speed.
func (s *serviceTime) begin(now time.Time) { s.lastProgress = now }

// stallFactor is the number of mean completion intervals that an endpoint may
// go without completing a request before its estimate is raised.
const stallFactor = 4

// completionInterval returns the expected time between two completions at an
// endpoint that runs n requests. It grows while no request completes, so that
// requests queued at a stalled endpoint are refused early rather than at their
// deadline.
func (s *serviceTime) completionInterval(now time.Time, n int) time.Duration {
	if s.mean == 0 {
		return 0
	}
	g := s.mean / time.Duration(max(n, 1))
	return max(g, now.Sub(s.lastProgress)/stallFactor)
}
