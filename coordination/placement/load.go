package placement

import (
	"math"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// Report is an endpoint's own word on its load. It lags.
type Report struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Running     int // running and waiting requests
	Capacity    int // zero if the endpoint names none
	Leaving     bool
	Observed    time.Time
}

// activeGrant is a grant as its owner counts it.
type activeGrant struct {
	start    time.Time
	isolated bool
}

// grantSpan is the life of a grant that has ended.
type grantSpan struct{ start, end time.Time }

// endpointLoad is the exact count of one endpoint, kept by its owner. A shard's
// lock guards it.
type endpointLoad struct {
	desc          Descriptor
	pool          *poolLoad
	grants        map[GrantID]activeGrant
	isolated      int // grants of suspects
	queue         fairQueue
	arrived       uint64
	service       serviceTime
	countedInPool int // what the pool's sum holds for this endpoint
	leaving       bool
	lostAt        time.Time // when an entry last found it dead; zero if alive
	detector      outlier.Detector

	// A new owner does not know what its endpoint runs until entries have
	// registered or the endpoint has reported. Counting from zero would put a
	// whole second load upon it.
	settledAt time.Time

	report          Report
	unaccounted     int         // requests in the report that no grant accounts for
	unmatchedGrants int         // grants that the report shows no request for
	ended           []grantSpan // of late, oldest first

	// released remembers grants that have ended: an admission or a registration
	// that arrives after the release would otherwise be held for ever.
	released       map[GrantID]time.Time
	releasedPruned time.Time
	lastSweep      time.Time
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
	}
	return l
}

// count returns the number of requests at the endpoint: the grants, and what
// the endpoint itself reports beyond them. The latter ages, since a report
// that is not renewed says less and less.
func (l *endpointLoad) count(now time.Time, cfg *Config) int {
	return len(l.grants) + l.unaccountedAt(now, cfg)
}

// confirmedCount returns the number of requests that certainly run: without the grants
// for which the endpoint shows none, such as those of an entry that died. The
// pool's mean is made of this. If it were made of the count, grants that nobody
// will release would raise what all endpoints may run.
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

// settling reports whether the owner cannot yet tell what the endpoint runs.
func (l *endpointLoad) settling(now time.Time, cfg *Config) bool {
	if !now.Before(l.settledAt) {
		return false
	}
	reported := !l.report.Observed.IsZero() && now.Sub(l.report.Observed) < cfg.ReportTTL
	return !reported
}

// isLost reports whether an entry has found the endpoint dead of late. Its own
// report proves otherwise; without any the entry's word lasts for a set time.
func (l *endpointLoad) isLost(now time.Time, cfg *Config) bool {
	return !l.lostAt.IsZero() && now.Sub(l.lostAt) < cfg.LostTTL
}

// refresh brings the pool's sum in line with the count.
func (l *endpointLoad) refresh(now time.Time, cfg *Config) {
	n := l.confirmedCount(now, cfg)
	if l.leaving {
		n = 0
	}
	if n != l.countedInPool {
		l.pool.add(n-l.countedInPool, 0)
		l.countedInPool = n
	}
}

// markLeaving marks the endpoint as leaving, for good.
func (l *endpointLoad) markLeaving() {
	if l.leaving {
		return
	}
	l.leaving = true
	l.pool.add(-l.countedInPool, -1)
	l.countedInPool = 0
}

// capacity returns the number of requests that the endpoint may run.
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

// sendLimit returns the number of requests that the endpoint may be sent.
func (l *endpointLoad) sendLimit(cfg *Config) int {
	c := l.capacity()
	if c == math.MaxInt {
		return c
	}
	return c + int(cfg.boundOf(l.desc.Pool).Overcommit*float64(c))
}

// applyReport takes a report: what it shows beyond the grants that were live when it
// was observed is unknown to this owner.
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

// removeGrant ends a grant and reports whether there was one.
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

// rememberRelease notes that a grant has been released.
func (l *endpointLoad) rememberRelease(now time.Time, id GrantID) {
	if len(l.released) < releasedLimit {
		l.released[id] = now
	}
}

// pruneReleased drops old releases.
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

// serviceTime is the observed time that requests hold an endpoint. The zero
// value has observed nothing.
type serviceTime struct {
	mean         time.Duration
	lastProgress time.Time // when a request last ended, or the first one began
}

// serviceSmoothing is the weight of the latest request in the mean.
const serviceSmoothing = 0.1

func (s *serviceTime) observe(d time.Duration, now time.Time) {
	s.lastProgress = now
	if s.mean == 0 {
		s.mean = max(d, 1)
		return
	}
	s.mean += time.Duration(serviceSmoothing * float64(d-s.mean))
}

// begin notes that a request begins at an idle endpoint. The time before that
// says nothing of the endpoint's speed.
func (s *serviceTime) begin(now time.Time) { s.lastProgress = now }

// stallFactor is how many mean gaps an endpoint may go without ending a
// request before it is taken to be slower than it was.
const stallFactor = 4

// completionInterval returns the expected time between two requests that end at an endpoint
// that runs n. An endpoint that has stopped ending any gets slower with time,
// so that requests behind it are refused early and not at their deadline.
func (s *serviceTime) completionInterval(now time.Time, n int) time.Duration {
	if s.mean == 0 {
		return 0
	}
	g := s.mean / time.Duration(max(n, 1))
	return max(g, now.Sub(s.lastProgress)/stallFactor)
}
