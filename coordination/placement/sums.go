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

// Transport carries requests to other routers. A call that fails tells nothing
// of whether it was received.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// PoolSum is the load of a pool over the endpoints of one owner, or of all.
type PoolSum struct {
	_         struct{} `cbor:",toarray"`
	Pool      coordination.Pool
	Count     int // requests
	Endpoints int // that take new work
}

// SumReport tells the root of pools what one owner counts.
type SumReport struct {
	From coordination.Instance `cbor:"1,keyasint"`
	Sums []PoolSum             `cbor:"2,keyasint"`
}

// SumReply answers a SumReport with the totals of the same pools.
type SumReply struct {
	Totals []PoolSum `cbor:"1,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func (m SumReport) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m SumReply) Encode() []byte { return encode(m) }

// DecodeSumReport returns the report in b.
func DecodeSumReport(b []byte) (m SumReport, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeSumReply returns the reply in b.
func DecodeSumReply(b []byte) (m SumReply, err error) {
	err = decode(b, &m)
	return m, err
}

// The interval between two exchanges of a pool's sums grows with the number of
// its owners, so that its root receives about as much at any size.
const (
	minSumInterval      = 100 * time.Millisecond
	maxSumInterval      = 2 * time.Second
	sumIntervalPerOwner = 8 * time.Millisecond

	// partialSpeedup is how much more often sums are exchanged while they do not fit
	// the list of endpoints.
	partialSpeedup = 4

	// sumTTL is how many intervals the sum of a silent owner counts.
	sumTTL = 4
)

// sumInterval returns how often owners exchange the sums of a pool. No more of
// them report a pool than it has endpoints.
func (v *view) sumInterval(name coordination.Pool) time.Duration {
	return SumInterval(min(len(v.routers.owners), v.set.Len(name)))
}

// SumInterval returns how often a pool's sums are exchanged when this number of
// owners report to its root.
func SumInterval(owners int) time.Duration {
	d := time.Duration(owners) * sumIntervalPerOwner
	return min(max(d, minSumInterval), maxSumInterval)
}

// poolSums is what the root of a pool knows of its owners' sums.
type poolSums struct {
	from map[coordination.Instance]receivedSum
}

type receivedSum struct {
	PoolSum
	at time.Time
}

// total returns the sum over the owners heard from of late.
func (s *poolSums) total(now time.Time, name coordination.Pool, ttl time.Duration) PoolSum {
	sum := PoolSum{Pool: name}
	for id, h := range s.from {
		if now.Sub(h.at) > ttl {
			delete(s.from, id)
			continue
		}
		sum.Count += h.Count
		sum.Endpoints += h.Endpoints
	}
	return sum
}

// CollectSums takes an owner's report as the root of its pools. Any router answers: an
// owner with another list of routers asks another root, which then knows only
// a part, and says how many endpoints that part has.
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

// sumCall is one report on its way to a root.
type sumCall struct {
	owner   *Owner
	to      coordination.Instance
	report  SumReport
	timeout time.Duration // for the answer
}

// sumCalls returns the reports that are due, one for each root. An owner that has
// lost its last endpoint of a pool says so, or its root would count it as well as
// the new owner.
func (o *Owner) sumCalls(now time.Time) []sumCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view.Load()
	silent := func(id coordination.Instance) bool { return now.Sub(o.skippedRoots[id]) < rootSkipTime }
	byRoot := make(map[coordination.Instance]*sumCall)
	for name, p := range o.pools {
		count, endpoints := p.ownSums()
		if endpoints == 0 && p.reportedEndpoints == 0 || now.Before(p.due(now, v)) {
			continue
		}
		root := v.routers.Root(name, silent)
		c := byRoot[root]
		if c == nil {
			c = &sumCall{owner: o, to: root, report: SumReport{From: o.self}}
			byRoot[root] = c
		}
		c.report.Sums = append(c.report.Sums, PoolSum{Pool: name, Count: count, Endpoints: endpoints})
		c.timeout = max(c.timeout, v.sumInterval(name))
	}
	calls := lo.MapToSlice(byRoot, func(_ coordination.Instance, c *sumCall) sumCall { return *c })
	slices.SortFunc(calls, func(a, b sumCall) int { return cmp.Compare(a.to, b.to) })
	return calls
}

// due returns when the root is next told of a pool. The caller holds the owner's
// lock.
func (p *poolLoad) due(now time.Time, v *view) time.Time {
	interval := v.sumInterval(p.name)
	if p.unsettled(now) {
		interval = max(interval/partialSpeedup, minSumInterval)
	}
	return p.lastReport.Add(interval)
}

// markReported notes that the roots are told of the pools of the calls.
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

// applyTotals takes the root's reply to a report.
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

// Exchange reports this owner's sums that are due to the pools' roots and learns
// the pools' totals. It returns when all roots have answered, or when the next
// reports to those that have not are due.
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
	// rootFailureTimeout is for how long a root may leave reports unanswered before it
	// is passed over. A lost packet holds a connection up for 0.2 s, a few of them
	// for longer than an exchange. Another root knows only the sums of those who
	// ask it: an owner that turned to it at once took its own endpoints for the
	// whole pool 3 s later and had no bound. In 3 of 33 runs of 7 routers with
	// lossy links, beside load, 31 of 524, 24 of 607 and 55 of 1,517 requests of
	// five seconds came to endpoints with over twice the mean and three. A root that has died is off the list of
	// routers within half a second, so that patience costs nothing then.
	rootFailureTimeout = time.Second

	// rootSkipTime is how long a root that did not answer is passed over.
	rootSkipTime = 3 * time.Second
)

// run makes one call. A root that goes on not to answer is passed over for a
// while; the held mean makes up for the time until it answers, or until the next
// in line has heard from all owners.
func (c sumCall) run(ctx context.Context, t Transport) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	b, err := t.Call(ctx, c.to, TopicSum, c.report.Encode())
	c.owner.recordAnswer(time.Now(), c.to, err == nil)
	if err != nil {
		return
	}
	if reply, err := DecodeSumReply(b); err == nil {
		c.owner.applyTotals(time.Now(), c.report, reply)
	}
}

// recordAnswer notes whether a root has recordAnswer a report.
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
