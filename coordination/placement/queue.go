package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// priorityHeadStart is how many requests of its account's share a request goes
// ahead by for each step of priority. The account still pays for the service,
// so an account that calls everything urgent gains a moment, not a share.
const priorityHeadStart = 4.0

// waiter is a request that waits at an endpoint. Its owner's shard lock guards
// it, except for done.
type waiter struct {
	req       AdmitRequest
	id        GrantID
	arrived   time.Time
	order     uint64    // of arrival at the endpoint
	deadline  time.Time // zero for none
	startBy   time.Time // by when it has to start to meet its objective; zero for none
	holdUntil time.Time // when a request that is not final is passed on
	done      chan AdmitReply
	queued    bool
}

// stale reports whether the waiter can no longer meet its objective.
func (w *waiter) stale(now time.Time) bool {
	return !w.startBy.IsZero() && !now.Before(w.startBy)
}

// reply gives the waiter its answer.
func (w *waiter) reply(r AdmitReply) { w.done <- r }

// flow is the queue of one client account at one endpoint.
type flow struct {
	items  []*waiter // by priority, then by arrival
	start  float64   // virtual time at which its next request is due
	weight float64
}

// due returns the virtual time that ranks a request behind n others of the flow.
func (f *flow) due(n int, p coordination.Priority) float64 {
	return f.start + float64(n)/f.weight - priorityHeadStart*float64(p)
}

// fairQueue is a start-time fair queue over client accounts: under contention
// each account gets service in proportion to its weight, however much it asks.
// The zero value is empty and ready for use.
type fairQueue struct {
	flows map[coordination.Account]*flow
	now   float64 // virtual time: the start of the last request served
	size  int
}

// push adds w under its account.
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

// remove takes w out without service.
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

// next returns the request that is due first among those that fit, or nil. Those
// that can still meet their objective go before those that cannot: in the order of
// arrival all would be late once the queue is longer than the objective.
func (q *fairQueue) next(now time.Time, fits func(*waiter) bool) *waiter {
	if w := q.first(now, false, fits); w != nil {
		return w
	}
	return q.first(now, true, fits)
}

// first returns the request that is due first among the stale ones that fit, or
// among the others.
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

// serve takes w out and charges its account.
func (q *fairQueue) serve(w *waiter) {
	f := q.flows[w.req.Account]
	q.now = max(q.now, f.start)
	f.start += 1 / f.weight
	q.remove(w)
}

// maxIdleFlows is how many idle flows a queue keeps for the lead that they have
// over virtual time.
const maxIdleFlows = 64

// evictIdle drops an idle flow that has no lead over virtual time any more. Under
// lasting overload the queue is never empty, and every account that was ever
// served would stay in the table, which each service goes through.
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

// dropIdle drops the flows without requests that also match.
func (q *fairQueue) dropIdle(match func(*flow) bool) {
	for a, f := range q.flows {
		if len(f.items) == 0 && match(f) {
			delete(q.flows, a)
		}
	}
}

// ahead returns how many waiting requests go before w.
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

// aheadOf returns how many waiting requests would go before a new one.
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

// before returns how many requests of flows other than own are due by then, of the
// stale ones or of the others.
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

// longest returns the last request of the account with the most waiting
// requests for its weight, or nil.
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

// longer ranks flows by length for weight. Between equals the one whose first
// request came last is longer, so that map order decides nothing.
func longer(a, b *flow) bool {
	x, y := float64(len(a.items))/a.weight, float64(len(b.items))/b.weight
	if x != y {
		return x > y
	}
	return a.items[0].order > b.items[0].order
}

// waiters returns all waiting requests.
func (q *fairQueue) waiters() []*waiter {
	all := make([]*waiter, 0, q.size)
	for _, f := range q.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.order, b.order) })
	return all
}
