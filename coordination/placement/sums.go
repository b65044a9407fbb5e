package placement

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Transport sends requests to other routers. After an error it is unknown
// whether the request was received.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// PoolSum is the load of a pool over the endpoints of one owner or of all
// owners.
type PoolSum struct {
	_         struct{} `cbor:",toarray"`
	Pool      coordination.Pool
	Count     int // requests
	Endpoints int // endpoints that accept new requests
	// Speed is the sum of the speeds of these endpoints. It is sent outside of the sum,
	// because older routers decode a sum with exactly three fields.
	Speed Percent `cbor:"-"`
}

// SumReport tells the root of a pool the load that one owner counts.
type SumReport struct {
	From coordination.Instance `cbor:"1,keyasint"`
	Sums []PoolSum             `cbor:"2,keyasint"`
	// Speeds holds the speed of each element of Sums. Older routers do not send it.
	Speeds []Percent `cbor:"3,keyasint,omitempty"`
}

// SumReply answers a SumReport with the totals of the same pools.
type SumReply struct {
	Totals []PoolSum `cbor:"1,keyasint,omitempty"`
	// Speeds is described in SumReport.
	Speeds []Percent `cbor:"2,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func (m SumReport) Encode() []byte {
	m.Speeds = speedsOf(m.Sums)
	return encode(m)
}

// Encode returns m as CBOR.
func (m SumReply) Encode() []byte {
	m.Speeds = speedsOf(m.Totals)
	return encode(m)
}

// speedsOf returns the speeds of sums, or nil if all endpoints have the speed 1.
func speedsOf(sums []PoolSum) []Percent {
	if lo.EveryBy(sums, func(p PoolSum) bool { return p.Speed == fullSpeed(p.Endpoints) }) {
		return nil
	}
	return lo.Map(sums, func(p PoolSum, _ int) Percent { return p.Speed })
}

// fullSpeed returns the speed of n endpoints of speed 1.
func fullSpeed(n int) Percent { return percentOf(float64(n)) }

// Limits of the speed of one endpoint, as those of its estimate. A router with broken
// speeds would otherwise make all other endpoints of a pool look slow.
const (
	minSpeed = 0.05
	maxSpeed = 5
)

// attachSpeeds sets the speeds of decoded sums, 1 for each endpoint if they were not sent.
func attachSpeeds(sums []PoolSum, speeds []Percent) {
	for i := range sums {
		sums[i].Speed = fullSpeed(sums[i].Endpoints)
		if len(speeds) == len(sums) {
			n := float64(sums[i].Endpoints)
			sums[i].Speed = min(max(speeds[i], percentOf(minSpeed*n)), percentOf(maxSpeed*n))
		}
	}
}

// DecodeSumReport returns the report in b. The error is of type [ErrMalformed].
func DecodeSumReport(b []byte) (m SumReport, err error) {
	err = decode(b, &m)
	attachSpeeds(m.Sums, m.Speeds)
	return m, err
}

// DecodeSumReply returns the reply in b. The error is of type [ErrMalformed].
func DecodeSumReply(b []byte) (m SumReply, err error) {
	err = decode(b, &m)
	attachSpeeds(m.Totals, m.Speeds)
	return m, err
}

// The interval between exchanges of a pool's sums grows with the number of its
// owners, so that the message rate at its root is about constant.
const (
	minSumInterval      = 100 * time.Millisecond
	maxSumInterval      = 2 * time.Second
	sumIntervalPerOwner = 8 * time.Millisecond

	// partialSpeedup is how many times more often sums are exchanged while they
	// do not cover the listed endpoints.
	partialSpeedup = 4

	// sumTTL is the number of intervals for which the sum of a silent owner
	// counts.
	sumTTL = 4
)

// sumInterval returns the interval between exchanges of a pool's sums. The
// number of owners that report a pool is at most the number of its endpoints.
func (v *view) sumInterval(name coordination.Pool) time.Duration {
	return SumInterval(min(len(v.routers.owners), v.set.Len(name)))
}

// SumInterval returns the interval between exchanges of a pool's sums if this
// number of owners reports to its root.
func SumInterval(owners int) time.Duration {
	d := time.Duration(owners) * sumIntervalPerOwner
	return min(max(d, minSumInterval), maxSumInterval)
}

// poolSums holds the owners' sums that the root of a pool has received.
type poolSums struct {
	from map[coordination.Instance]receivedSum
}

type receivedSum struct {
	PoolSum
	at time.Time
}

// total returns the sum over the owners heard from within ttl.
func (s *poolSums) total(now time.Time, name coordination.Pool, ttl time.Duration) PoolSum {
	sum := PoolSum{Pool: name}
	for id, h := range s.from {
		if now.Sub(h.at) > ttl {
			delete(s.from, id)
			continue
		}
		sum.Count += h.Count
		sum.Endpoints += h.Endpoints
		sum.Speed += h.Speed
	}
	return sum
}

// CollectSums stores an owner's report and returns the totals of its pools. Any
// router answers: an owner with a different list of routers may select a
// different root, which then returns a partial total and the number of
// endpoints it covers.
func (o *Owner) CollectSums(m SumReport) SumReply { return o.collectSums(time.Now(), m) }

func (o *Owner) collectSums(now time.Time, m SumReport) SumReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view.Load()
	totals := lo.Map(m.Sums, func(p PoolSum, _ int) PoolSum {
		s := o.sums[p.Pool]
		if s == nil {
			s = &poolSums{from: make(map[coordination.Instance]receivedSum)}
			o.sums[p.Pool] = s
		}
		s.from[m.From] = receivedSum{PoolSum: p, at: now}
		return s.total(now, p.Pool, sumTTL*v.sumInterval(p.Pool))
	})
	return SumReply{Totals: totals}
}

// sumCall is one report to a root.
type sumCall struct {
	owner   *Owner
	to      coordination.Instance
	report  SumReport
	timeout time.Duration // for the answer
}

// sumCalls returns the reports that are due, one for each root. An owner that
// has lost its last endpoint of a pool still reports this; otherwise the root
// would count the endpoint both for this owner and for the new one.
func (o *Owner) sumCalls(now time.Time) []sumCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view.Load()
	skip := func(id coordination.Instance) bool { return now.Sub(o.skippedRoots[id]) < rootSkipTime }
	byRoot := make(map[coordination.Instance]*sumCall)
	for name, p := range o.pools {
		count, endpoints := p.ownSums()
		if endpoints == 0 && p.reportedEndpoints == 0 || now.Before(p.due(now, v)) {
			continue
		}
		root := v.routers.Root(name, skip)
		c := byRoot[root]
		if c == nil {
			c = &sumCall{owner: o, to: root, report: SumReport{From: o.self}}
			byRoot[root] = c
		}
		c.report.Sums = append(c.report.Sums, PoolSum{Pool: name, Count: count, Endpoints: endpoints, Speed: p.ownSpeed()})
		c.timeout = max(c.timeout, v.sumInterval(name))
	}
	calls := lo.MapToSlice(byRoot, func(_ coordination.Instance, c *sumCall) sumCall { return *c })
	slices.SortFunc(calls, func(a, b sumCall) int { return cmp.Compare(a.to, b.to) })
	return calls
}

// due returns when the pool is next reported to its root. The caller holds the
// owner's lock.
func (p *poolLoad) due(now time.Time, v *view) time.Time {
	interval := v.sumInterval(p.name)
	if p.sumsIncomplete(now) {
		interval = max(interval/partialSpeedup, minSumInterval)
	}
	return p.lastReport.Add(interval)
}

// markReported records that the pools of calls have been reported to their
// roots.
func (o *Owner) markReported(now time.Time, calls []sumCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range calls {
		for _, s := range c.report.Sums {
			p := o.pools[s.Pool]
			if s.Endpoints != p.reportedEndpoints {
				p.reportChanged = now
			}
			p.lastReport, p.reportedEndpoints = now, s.Endpoints
		}
	}
}

// untilNextExchange returns the time until the next report is due.
func (o *Owner) untilNextExchange(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view.Load()
	next := SumInterval(len(v.routers.owners))
	for _, p := range o.pools {
		if _, endpoints := p.ownSums(); endpoints > 0 || p.reportedEndpoints > 0 {
			next = min(next, p.due(now, v).Sub(now))
		}
	}
	return max(next, 0)
}

// applyTotals stores the totals in the root's reply to a report.
func (o *Owner) applyTotals(now time.Time, sent SumReport, reply SumReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	mine := lo.KeyBy(sent.Sums, func(p PoolSum) coordination.Pool { return p.Pool })
	for _, total := range reply.Totals {
		own, asked := mine[total.Pool]
		if p := o.pools[total.Pool]; asked && p != nil {
			p.applyTotal(now, total, own)
		}
	}
}

// Exchange reports the sums that are due to the pools' roots and stores the
// totals they return. It returns when all roots have answered or timed out. A
// root times out when its next report is due.
func (o *Owner) Exchange(ctx context.Context, t Transport) {
	var wg sync.WaitGroup
	calls := o.sumCalls(time.Now())
	o.markReported(time.Now(), calls)
	for _, c := range calls {
		if c.to == o.self {
			o.applyTotals(time.Now(), c.report, o.CollectSums(c.report))
			continue
		}
		wg.Go(func() { c.run(ctx, t) })
	}
	wg.Wait()
}

const (
	// rootFailureTimeout is how long a root may leave reports unanswered before
	// it is skipped. A lost packet delays a connection by 0.2 s, several of
	// them by more than one exchange. Another root knows only the sums of the
	// owners that ask it: an owner that switched at once took its own endpoints
	// for the whole pool 3 s later and had no bound. In 3 of 33 runs of 7
	// routers with lossy links and background load, 31 of 524, 24 of 607 and 55
	// of 1,517 requests in a 5 s period were placed at endpoints over twice the
	// mean plus three. A dead root is removed from the list of routers within
	// 0.5 s, so that the timeout costs nothing in that case.
	rootFailureTimeout = time.Second

	// rootSkipTime is how long a root that did not answer is skipped.
	rootSkipTime = 3 * time.Second
)

// run makes one call. A root that keeps failing to answer is skipped for
// rootSkipTime. Until it answers, or the next root has heard from all owners,
// the last mean is used.
func (c sumCall) run(ctx context.Context, t Transport) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	b, err := t.Call(ctx, c.to, TopicSum, c.report.Encode())
	c.owner.recordAnswer(time.Now(), c.to, err == nil)
	if err != nil {
		return
	}
	if reply, err := DecodeSumReply(b); err == nil {
		if len(reply.Speeds) == 0 {
			reply.countOthersInFull(c.report)
		}
		c.owner.applyTotals(time.Now(), c.report, reply)
	}
}

// countOthersInFull sets the speeds of totals without any so that the endpoints of other
// owners have the speed 1. A root of an older version also counts those of sent in full,
// and without their speeds the others would seem faster or slower than they are.
func (m SumReply) countOthersInFull(sent SumReport) {
	own := lo.KeyBy(sent.Sums, func(p PoolSum) coordination.Pool { return p.Pool })
	for i := range m.Totals {
		t := &m.Totals[i]
		mine := own[t.Pool]
		t.Speed = mine.Speed + fullSpeed(t.Endpoints-mine.Endpoints)
	}
}

// recordAnswer records whether a root answered a report.
func (o *Owner) recordAnswer(now time.Time, root coordination.Instance, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, failing := o.failingRoots[root]
	switch {
	case ok:
		delete(o.failingRoots, root)
	case !failing:
		o.failingRoots[root] = now
	case now.Sub(since) >= rootFailureTimeout:
		delete(o.failingRoots, root)
		o.skippedRoots[root] = now
	}
}
