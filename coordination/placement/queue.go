package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// priorityHeadStart is by how many requests of its account's share each step of
// priority advances a request. The account is still charged for the service, so an
// account that marks everything as urgent gains an earlier start, not a larger share.
const priorityHeadStart = 4.0

// waiter is a request that waits at an endpoint. The lock of its owner's shard
// guards all fields except done.
type waiter struct {
	req       AdmitRequest
	id        GrantID
	arrived   time.Time
	order     uint64    // order of arrival at the endpoint
	deadline  time.Time // zero for none
	startBy   time.Time // latest start that meets its objective; zero for none
	holdUntil time.Time // when a request that is not final is sent on
	done      chan AdmitReply
	queued    bool
}

// stale reports whether the waiter can no longer meet its objective.
func (w *waiter) stale(now time.Time) bool {
	return !w.startBy.IsZero() && !now.Before(w.startBy)
}

// reply gives the waiter its reply.
func (w *waiter) reply(r AdmitReply) { w.done <- r }

// flow is the queue of one client account at one endpoint.
type flow struct {
	items  []*waiter // by priority, then by arrival
	start  float64   // virtual start time of its next request
	weight float64
}

// due returns the virtual start time of a request behind n others of the flow.
func (f *flow) due(n int, p coordination.Priority) float64 {
	return f.start + float64(n)/f.weight - priorityHeadStart*float64(p)
}

// fairQueue is a start-time fair queue over client accounts: under contention each
// account gets service in proportion to its weight, however many requests it sends.
// The zero value is empty and ready for use.
type fairQueue struct {
	flows map[coordination.Account]*flow
	now   float64 // virtual time: the start time of the last request served
	size  int
}

// push adds w to the flow of its account. A weight that is not positive counts as 1.
func (q *fairQueue) push(w *waiter, weight float64) {
	if q.flows == nil {
		q.flows = make(map[coordination.Account]*flow)
	}
	if weight <= 0 {
		weight = 1
	}
	f := q.flows[w.req.Account]
	if f == nil {
		f = &flow{start: q.now}
		q.flows[w.req.Account] = f
	}
	f.weight = weight
	if len(f.items) == 0 {
		f.start = max(f.start, q.now)
	}
	at := len(f.items)
	for at > 0 && f.items[at-1].req.Priority < w.req.Priority {
		at--
	}
	f.items = slices.Insert(f.items, at, w)
	q.size++
	w.queued = true
}

// len returns the number of waiting requests of an account.
func (q *fairQueue) len(a coordination.Account) int {
	if f := q.flows[a]; f != nil {
		return len(f.items)
	}
	return 0
}

// remove removes w without service.
func (q *fairQueue) remove(w *waiter) {
	f := q.flows[w.req.Account]
	if f == nil {
		return
	}
	i := slices.Index(f.items, w)
	if i < 0 {
		return
	}
	f.items = slices.Delete(f.items, i, i+1)
	q.size--
	w.queued = false
	q.evictIdle(w.req.Account, f)
}

// next returns the earliest due request among those that fit, or nil. Requests that
// can still meet their objective precede those that cannot: in the order of arrival
// all would be late once the queue is longer than the objective.
func (q *fairQueue) next(now time.Time, fits func(*waiter) bool) *waiter {
	if w := q.first(now, false, fits); w != nil {
		return w
	}
	return q.first(now, true, fits)
}

// first returns the earliest due request that fits among the stale ones or among the
// others, or nil.
func (q *fairQueue) first(now time.Time, stale bool, fits func(*waiter) bool) *waiter {
	var best *waiter
	var first float64
	for _, f := range q.flows {
		n := 0
		for _, w := range f.items {
			if w.stale(now) != stale {
				continue
			}
			if !fits(w) {
				n++
				continue
			}
			due := f.due(n, w.req.Priority)
			if best == nil || due < first || due == first && w.order < best.order {
				best, first = w, due
			}
			break
		}
	}
	return best
}

// serve removes w and charges its account for the service.
func (q *fairQueue) serve(w *waiter) {
	f := q.flows[w.req.Account]
	q.now = max(q.now, f.start)
	f.start += 1 / f.weight
	q.remove(w)
}

// maxIdleFlows is how many idle flows a queue keeps because their start time is
// ahead of virtual time.
const maxIdleFlows = 64

// evictIdle deletes an idle flow whose start time is no longer ahead of virtual time.
// Under lasting overload the queue is never empty, and every account that was ever
// served would stay in the table, which each service iterates over.
func (q *fairQueue) evictIdle(a coordination.Account, f *flow) {
	if len(f.items) == 0 && f.start <= q.now {
		delete(q.flows, a)
	}
	if q.size == 0 {
		clear(q.flows)
	}
	if len(q.flows) > q.size+maxIdleFlows {
		q.dropIdle(func(f *flow) bool { return f.start <= q.now })
	}
	if len(q.flows) > q.size+maxIdleFlows {
		q.dropIdle(func(*flow) bool { return true })
	}
}

// dropIdle deletes the flows without requests that match.
func (q *fairQueue) dropIdle(match func(*flow) bool) {
	for a, f := range q.flows {
		if len(f.items) == 0 && match(f) {
			delete(q.flows, a)
		}
	}
}

// ahead returns how many waiting requests will be served before w.
func (q *fairQueue) ahead(now time.Time, w *waiter) int {
	own, stale := q.flows[w.req.Account], w.stale(now)
	place := 0
	for _, other := range own.items[:slices.Index(own.items, w)] {
		if other.stale(now) == stale {
			place++
		}
	}
	n := place + q.before(now, own, stale, own.due(place, w.req.Priority))
	if stale {
		n += q.count(now, false)
	}
	return n
}

// aheadOf returns how many waiting requests would be served before a new one.
func (q *fairQueue) aheadOf(now time.Time, req *AdmitRequest) int {
	own := q.flows[req.Account]
	due, place := q.now, 0
	if own != nil {
		for _, w := range own.items {
			if !w.stale(now) {
				place++
			}
		}
		due = max(own.start, q.now) + float64(place)/own.weight
	}
	return place + q.before(now, own, false, due-priorityHeadStart*float64(req.Priority))
}

// before returns how many requests of flows other than own are due no later than
// due, among the stale ones or among the others.
func (q *fairQueue) before(now time.Time, own *flow, stale bool, due float64) int {
	n := 0
	for _, f := range q.flows {
		if f == own {
			continue
		}
		place := 0
		for _, w := range f.items {
			if w.stale(now) != stale {
				continue
			}
			if f.due(place, w.req.Priority) > due {
				break
			}
			place++
		}
		n += place
	}
	return n
}

// count returns how many waiting requests are stale, or are not.
func (q *fairQueue) count(now time.Time, stale bool) int {
	n := 0
	for _, f := range q.flows {
		for _, w := range f.items {
			if w.stale(now) == stale {
				n++
			}
		}
	}
	return n
}

// longest returns the last request of the account with the most waiting requests
// relative to its weight, or nil.
func (q *fairQueue) longest() *waiter {
	var worst *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if worst == nil || longer(f, worst) {
			worst = f
		}
	}
	if worst == nil {
		return nil
	}
	return worst.items[len(worst.items)-1]
}

// longer compares flows by length relative to weight. Of equal ones the flow whose
// first request arrived later is longer, so that the result does not depend on map
// order.
func longer(a, b *flow) bool {
	x, y := float64(len(a.items))/a.weight, float64(len(b.items))/b.weight
	if x != y {
		return x > y
	}
	return a.items[0].order > b.items[0].order
}

// waiters returns all waiting requests in the order of arrival.
func (q *fairQueue) waiters() []*waiter {
	all := make([]*waiter, 0, q.size)
	for _, f := range q.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.order, b.order) })
	return all
}
