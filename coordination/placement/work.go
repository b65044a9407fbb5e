package placement

import (
	"math"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
)

// RecordWork sets what the request showed of the endpoint's capacity. The release
// reports it to the owner.
func (g *Grant) RecordWork(o capacity.Observation) {
	t := &g.entry.held
	t.mu.Lock()
	defer t.mu.Unlock()
	g.work = o
}

// Percent is a pace or a speed in hundredths.
type Percent uint32

// percentOf returns v in percent, limited to what a Percent holds.
func percentOf(v float64) Percent {
	return Percent(min(math.Round(max(v, 0)*100), math.MaxUint32))
}

func (p Percent) ratio() float64 { return float64(p) / 100 }

// WorkReport is what one of a list of releases shows of the capacity of its endpoint.
type WorkReport struct {
	_         struct{} `cbor:",toarray"`
	Index     int      // of the release
	Pace      Percent  // zero if unknown
	Reported  Percent  // by the endpoint; zero if nothing
	ReportAge Millis
}

// workOf returns what releases show of the capacity of their endpoints.
func workOf(rs []Release) (all []WorkReport) {
	for i, r := range rs {
		if r.Work.Pace > 0 || r.Work.Reported > 0 {
			all = append(all, WorkReport{
				Index: i, Pace: percentOf(float64(r.Work.Pace)),
				Reported: percentOf(float64(r.Work.Reported)), ReportAge: millis(r.Work.ReportAge),
			})
		}
	}
	return all
}

// attachWork sets what a decoded message tells of the capacity of endpoints.
func attachWork(rs []Release, all []WorkReport) {
	for _, w := range all {
		if w.Index >= 0 && w.Index < len(rs) {
			rs[w.Index].Work = capacity.Observation{
				Pace:      capacity.Pace(w.Pace.ratio()),
				Reported:  capacity.Pace(w.Reported.ratio()),
				ReportAge: w.ReportAge.Duration(),
			}
		}
	}
}

// measured reports whether the capacity of the endpoint is measured.
func (l *endpointLoad) measured(cfg *Config) bool {
	switch cfg.boundOf(l.desc.Pool).Capacity {
	case capacity.Measured:
		return true
	case capacity.Reported:
		return l.pool.paceReported()
	default:
		return false
	}
}

// observeWork records what an ended request shows of the endpoint's capacity.
func (l *endpointLoad) observeWork(now time.Time, g activeGrant, o capacity.Observation, cfg *Config) {
	if o.Reported > 0 {
		l.pool.markReportsPace()
	}
	if (o.Pace > 0 || o.Reported > 0) && l.measured(cfg) {
		l.observed = true
		l.estimate.Observe(now, o, l.concurrency(now, g, cfg))
	}
}

// concurrency returns the mean number of requests that ran beside an ended one, itself
// included.
func (l *endpointLoad) concurrency(now time.Time, g activeGrant, cfg *Config) float64 {
	n := l.count(now, cfg) + 1
	if g.running == 0 { // granted by a former owner
		return float64(n)
	}
	return float64(g.running+n) / 2
}

// pace returns how long work takes at the endpoint, 1 if that is not measured. What the
// endpoint says of this moment tells nothing of a request that runs for longer.
func (l *endpointLoad) pace(now time.Time, cfg *Config) capacity.Pace {
	switch {
	case !l.measured(cfg):
		return 1
	case l.service.mean > capacity.ReportTTL:
		return l.estimate.SustainedPace(now)
	default:
		return l.estimate.Pace(now)
	}
}

// usefulConcurrency returns how many requests at once the endpoint takes well, and false
// if that is not limited below its capacity.
func (l *endpointLoad) usefulConcurrency(now time.Time, cfg *Config) (int, bool) {
	c := l.capacity()
	if !l.measured(cfg) {
		return c, false
	}
	n := l.estimate.Limit(now, c)
	return n, n < c
}

// weight returns the endpoint's share of load relative to the mean of its pool.
func (l *endpointLoad) weight(now time.Time, cfg *Config) float64 {
	if !l.measured(cfg) {
		return 1
	}
	return capacity.Weight(l.pace(now, cfg), l.pool.meanSpeed(now, cfg))
}

// saturated is the mean load of a saturated pool, as a multiple of its endpoints' capacity.
// Above 1 requests wait at endpoints; the fast ones of a pool that has room do so, too,
// where owners overcommit.
const saturated = 1.25

// weightFor returns the weight that limits a request. One that has no other candidate
// left is not held back at a slow endpoint: the others are full. Nor is any in a
// saturated pool, where a place that stays empty costs an answer.
func (l *endpointLoad) weightFor(now time.Time, req *AdmitRequest, cfg *Config) float64 {
	w := l.weight(now, cfg)
	if w < 1 && (req.Final || l.pool.meanLoad(now, cfg) >= saturated*float64(l.capacity())) {
		return 1
	}
	return w
}

// extraTime returns by how much longer than usual a request takes at the endpoint.
func (l *endpointLoad) extraTime(now time.Time, cfg *Config) time.Duration {
	p := float64(l.pace(now, cfg))
	if p <= 1 {
		return 0
	}
	return time.Duration(float64(l.service.mean) * (1 - 1/p))
}

// maxWeightedBound limits the bound of endpoints that are faster than their pool's mean.
// Callers count on no endpoint carrying more than twice the mean and three requests, and
// the mean that an owner knows is 0.1 s old.
const maxWeightedBound = 1.8

// weighted returns the bound of an endpoint whose share of load is w.
func (b PoolBound) weighted(w float64) PoolBound {
	if w == 1 {
		return b
	}
	b.Bound = min(b.Bound*w, max(b.Bound, maxWeightedBound))
	if w < 1 {
		b.Slack = int(float64(b.Slack) * w)
	}
	return b
}

// weightedLimit returns the maximum number of requests at an endpoint whose share of load
// is w. An endpoint may always run one request, so that it is measured. A slow one gets no
// part of a request more than its share: at a mean of three, rounded up, an endpoint four
// times slower ran as many requests as the others.
func (b PoolBound) weightedLimit(w, mean float64) int {
	b = b.weighted(w)
	if w < 1 {
		return max(int(b.Bound*mean)+b.Slack, 1)
	}
	return max(b.limit(mean), 1)
}

// CapacityStatus is what an owner knows of the capacity of one endpoint.
type CapacityStatus struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Pool        coordination.Pool
	Pace        capacity.Pace
	MeanSpeed   float64 // of the pool
	Limit       int     // requests at once that the endpoint takes well; zero if unknown
	Slots       int     // zero if unknown
}

// zeroIfUnknown returns a capacity, or zero for that of an endpoint of unknown capacity.
func zeroIfUnknown(c int) int {
	if c == math.MaxInt {
		return 0
	}
	return c
}

// MeanPace returns the mean pace of the pool, that of its mean speed.
func (s CapacityStatus) MeanPace() capacity.Pace { return capacity.Pace(1 / s.MeanSpeed) }

// capacityStatus returns what is known of the endpoint's capacity, and false if it is not
// measured.
func (l *endpointLoad) capacityStatus(now time.Time, cfg *Config) (CapacityStatus, bool) {
	if !l.measured(cfg) {
		return CapacityStatus{}, false
	}
	limit, _ := l.usefulConcurrency(now, cfg)
	return CapacityStatus{
		Endpoint: l.desc.ID, Incarnation: l.desc.Incarnation, Pool: l.desc.Pool,
		Pace: l.pace(now, cfg), MeanSpeed: l.pool.meanSpeed(now, cfg),
		Limit: zeroIfUnknown(limit), Slots: zeroIfUnknown(l.capacity()),
	}, true
}

// Capacities returns what is known of the capacity of the owned endpoints.
func (o *Owner) Capacities() (all []CapacityStatus) {
	now, cfg := time.Now(), o.cfg.Load()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, l := range s.loads {
			if st, ok := l.capacityStatus(now, cfg); ok {
				all = append(all, st)
			}
		}
		s.mu.Unlock()
	}
	return all
}

// OnCapacity sets fn to be called when the pace of an own endpoint becomes or ceases to
// be clearly slower or faster than its pool's mean, or its limit changes, at most once a
// second for each endpoint. It is called with a lock held and must not call the owner. It
// must be set before the first [Owner.Update].
func (o *Owner) OnCapacity(fn func(CapacityStatus)) { o.onCapacity = fn }

// capacityClass is what of an endpoint's capacity is worth telling operators.
type capacityClass struct {
	speed int // -1 slower than the pool's mean, 1 faster, 0 neither
	limit int // zero for none
}

// notifyInterval is the shortest time between two notifications of an endpoint's capacity.
const notifyInterval = time.Second

// notifyCapacity calls notify if the endpoint's capacity has changed in a way worth telling.
func (l *endpointLoad) notifyCapacity(now time.Time, cfg *Config, notify func(CapacityStatus)) {
	if notify == nil || now.Sub(l.notified) < notifyInterval {
		return
	}
	st, ok := l.capacityStatus(now, cfg)
	if !ok {
		return
	}
	var c capacityClass
	switch w := l.weight(now, cfg); {
	case w < 1:
		c.speed = -1
	case w > 1:
		c.speed = 1
	}
	if st.Limit > 0 && st.Limit != st.Slots {
		c.limit = st.Limit
	}
	if c != l.class {
		l.class, l.notified = c, now
		notify(st)
	}
}

// boundCode returns why the bound does not permit a request: Slow if only the endpoint's
// share of load does not.
func (l *endpointLoad) boundCode(now time.Time, req *AdmitRequest, cfg *Config) Code {
	if l.weightFor(now, req, cfg) < 1 && l.count(now, cfg) < l.pool.boundFor(now, 1, cfg) {
		return Slow
	}
	return OverBound
}

// tellCapacity adds what is known of the endpoint's capacity to a reply.
func (l *endpointLoad) tellCapacity(now time.Time, r *AdmitReply, cfg *Config) {
	if !l.measured(cfg) {
		return
	}
	r.Pace = percentOf(float64(l.pace(now, cfg)))
	if n, limited := l.usefulConcurrency(now, cfg); limited {
		r.Capacity = n
	}
}
