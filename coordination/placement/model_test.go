package placement

import (
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// scheme is a placement algorithm.
type scheme string

const (
	rendezvousOnly scheme = "rendezvous"
	routerLocal    scheme = "router-local" // each router applies the bound to its own requests
	laggedReports  scheme = "lagged"       // endpoint reports up to 1 s old plus own requests since
	ownerAdmission scheme = "owner"
	ownerWait      scheme = "owner-wait" // owner admission with the default WarmWait
)

// scenario is the change applied to the pool during a run.
type scenario string

const (
	steady   scenario = "steady"
	churn    scenario = "churn" // one endpoint in twelve is replaced every 20 s
	flapping scenario = "flap"  // each endpoint restarts every 20 s
	surge    scenario = "surge" // three of ten accounts at ten times their rate
)

// setup configures one run of the model. The model runs the actual placement
// code in an event loop with simulated engines that have a cache and a request
// count.
type setup struct {
	scheme    scheme
	scenario  scenario
	hint      bool
	endpoints int
	routers   int
	seed      uint64
	length    time.Duration
	warmWait  time.Duration
	bound     float64
}

const (
	modelMeanLoad = 10                     // mean number of requests at an endpoint
	modelHold     = 2 * time.Second        // mean duration of a request
	modelHop      = 1 * time.Millisecond   // one-way network delay
	modelCache    = 120                    // chats in the cache of an engine
	modelChats    = 100                    // chats per endpoint
	modelCapacity = 16                     // concurrent requests of an engine in a surge
	modelReport   = 1 * time.Second        // interval of load reports
	modelListLag  = 2 * time.Second        // maximum lag of a router's endpoint list
	modelSample   = 100 * time.Millisecond // interval between samples of the skew
	modelWarmUp   = 10 * time.Second       // excluded from the results
	modelEnvelope = 12                     // framing overhead of each message, in bytes
)

// engine is a simulated endpoint.
type engine struct {
	Descriptor
	running int
	cache   *list.List // chats, most recently used first
	where   map[int]*list.Element
	reports []int    // running requests at the last two reports
	onDeath []func() // called for each of its requests when the engine dies
}

func (e *engine) touch(chat int) (warm bool) {
	if at, ok := e.where[chat]; ok {
		e.cache.MoveToFront(at)
		return true
	}
	e.where[chat] = e.cache.PushFront(chat)
	if e.cache.Len() > modelCache {
		delete(e.where, e.cache.Remove(e.cache.Back()).(int))
	}
	return false
}

// task is an event of the loop.
type task struct {
	at    time.Time
	order int
	do    func()
}

type tasks []task

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelRouter is a simulated router.
type modelRouter struct {
	Router
	owner    *Owner
	set      *Set
	sequence Sequence
	own      map[coordination.Endpoint]int // running requests of this router
	since    map[coordination.Endpoint]int // started since the last report
	releases map[coordination.Instance][]Release
	waiting  []modelWaiter
	bytes    int // sent and received
	messages int
}

type modelWaiter struct {
	w    *waiter
	then func(AdmitReply)
}

// model is the state of a run.
type model struct {
	setup
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	end     time.Time
	queue   tasks
	order   int
	engines map[coordination.Endpoint]*engine
	live    []coordination.Endpoint
	routers []*modelRouter
	byID    map[coordination.Instance]*modelRouter
	view    *Routers
	hints   map[int]Hint
	next    int // number of the next endpoint

	placed, over, reused, refused, lost int
	skew                                []float64
	waits                               map[bool]*hdrhistogram.Histogram // in milliseconds, by whether the account surges
	asked, served                       map[bool]int
}

func newModel(s setup) *model {
	if s.scheme == ownerWait {
		s.scheme, s.warmWait = ownerAdmission, DefaultWarmWait
	}
	m := &model{
		setup:   s,
		rng:     rand.New(rand.NewPCG(s.seed, 11)),
		now:     testStart,
		end:     testStart.Add(s.length),
		engines: make(map[coordination.Endpoint]*engine),
		byID:    make(map[coordination.Instance]*modelRouter),
		hints:   make(map[int]Hint),
		asked:   make(map[bool]int),
		served:  make(map[bool]int),
		waits: map[bool]*hdrhistogram.Histogram{
			true:  hdrhistogram.New(1, 60_000, 3),
			false: hdrhistogram.New(1, 60_000, 3),
		},
	}
	m.cfg = Config{Bound: s.bound, WarmWait: s.warmWait}.withDefaults()
	members := testRouters(s.routers)
	m.view = NewRouters(members, 0)
	for range s.endpoints {
		m.join()
	}
	for _, r := range members {
		mr := &modelRouter{
			Router: r, owner: NewOwner(r.ID, m.cfg),
			own: make(map[coordination.Endpoint]int), since: make(map[coordination.Endpoint]int),
			releases: make(map[coordination.Instance][]Release),
		}
		mr.owner.update(m.now.Add(-time.Minute), m.list(), m.view)
		mr.set = m.list()
		m.routers = append(m.routers, mr)
		m.byID[r.ID] = mr
	}
	return m
}

func (m *model) join() {
	d := Descriptor{
		ID:          coordination.Endpoint(fmt.Sprintf("e%d", m.next)),
		Zone:        coordination.Zone([]string{"a", "b", "c"}[m.next%3]),
		Pool:        testPool,
		Incarnation: coordination.Incarnation(testStart.UnixMilli()),
	}
	if m.scenario == surge {
		d.Capacity = modelCapacity
	}
	m.next++
	m.engines[d.ID] = &engine{Descriptor: d, cache: list.New(), where: make(map[int]*list.Element)}
	m.live = append(m.live, d.ID)
}

func (m *model) list() *Set {
	return NewSet(lo.Map(m.live, func(id coordination.Endpoint, _ int) Descriptor { return m.engines[id].Descriptor }))
}

// after schedules do to run after d.
func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, task{at: m.now.Add(d), order: m.order, do: do})
}

// every schedules do to run repeatedly at interval d.
func (m *model) every(d time.Duration, do func()) {
	m.after(d, func() {
		do()
		m.every(d, do)
	})
}

func (m *model) run() {
	m.every(modelSample, m.sample)
	m.every(modelReport, m.report)
	m.every(time.Second, func() { m.each(func(r *modelRouter) { r.owner.tick(m.now) }) })
	m.every(queueCheckInterval, m.processQueues)
	if m.scheme == ownerAdmission {
		m.every(releaseInterval, m.flush)
		m.every((&view{set: m.list(), routers: m.view}).sumInterval(testPool), m.exchange)
	}
	switch m.scenario {
	case churn:
		m.every(20*time.Second, func() {
			for range max(m.setup.endpoints/12, 1) {
				m.replace()
			}
		})
	case flapping:
		m.every(20*time.Second/time.Duration(m.setup.endpoints), m.flap)
	}
	m.arrive()
	m.after(modelWarmUp, m.reset)
	for m.now.Before(m.end) {
		t := heap.Pop(&m.queue).(task)
		m.now = t.at
		t.do()
	}
}

// reset discards the results of the warm-up.
func (m *model) reset() {
	m.placed, m.over, m.reused, m.refused, m.lost = 0, 0, 0, 0, 0
	m.skew = nil
	clear(m.asked)
	clear(m.served)
	m.waits[true].Reset()
	m.waits[false].Reset()
	m.each(func(r *modelRouter) { r.bytes, r.messages = 0, 0 })
}

func (m *model) each(do func(*modelRouter)) {
	for _, r := range m.routers {
		do(r)
	}
}

// arrive schedules the arrivals of all accounts.
func (m *model) arrive() {
	base := modelHold / time.Duration(modelMeanLoad*m.setup.endpoints)
	if m.scenario == surge {
		base *= 2 // half the load before the surge
	}
	for account := range 10 {
		m.arriveOf(account, base*10)
	}
}

func (m *model) arriveOf(account int, mean time.Duration) {
	gap := mean
	surging := m.scenario == surge && account < 3
	if at := m.now.Sub(testStart); surging && at > m.length/3 && at < m.length*2/3 {
		gap /= 10
	}
	m.after(time.Duration(m.rng.ExpFloat64()*float64(gap)), func() {
		m.request(account, surging)
		m.arriveOf(account, mean)
	})
}

// request simulates one request of a random chat.
func (m *model) request(account int, surging bool) {
	chat := m.rng.IntN(modelChats * m.setup.endpoints)
	r := m.routers[m.rng.IntN(len(m.routers))]
	req := Request{
		Pool: testPool, Key: Key(xxhashInt(chat)), Deadline: 3 * time.Second,
		Account: coordination.Account(fmt.Sprintf("account-%d", account)),
	}
	if m.hint {
		req.Hint = m.hints[chat]
	}
	m.asked[surging]++
	start := m.now
	done := func(d *Descriptor, release func()) {
		if d == nil {
			m.refused++
			return
		}
		m.served[surging]++
		_ = m.waits[surging].RecordValue(max(m.now.Sub(start).Milliseconds(), 1))
		m.place(r, d, chat, release)
	}
	if m.scheme == ownerAdmission {
		r.sequence++
		m.step(r, newWalk(m.now, req, &m.cfg, r.set, m.view), r.sequence, done)
		return
	}
	done(m.choose(r, req), func() {})
}

func xxhashInt(n int) uint64 { return mix(uint64(n), 1) }

// choose selects an endpoint by one of the schemes without an owner.
func (m *model) choose(r *modelRouter, req Request) *Descriptor {
	all := r.set.Candidates(nil, testPool, req.Key, req.Hint, r.set.Len(testPool))
	load := func(*Descriptor) int { return -1 }
	switch m.scheme {
	case routerLocal:
		load = func(d *Descriptor) int { return r.own[d.ID] }
	case laggedReports:
		load = func(d *Descriptor) int { return m.engines[d.ID].latest() + r.since[d.ID] }
	}
	total := lo.SumBy(all, load)
	limit := limitOf(m.cfg.Bound, float64(total+1)/float64(len(all)))
	d, ok := lo.Find(all, func(d *Descriptor) bool { return m.scheme == rendezvousOnly || load(d)+1 <= limit })
	if !ok {
		return all[0]
	}
	return d
}

// latest returns the engine's load at its last report, which is up to 1 s old.
func (e *engine) latest() int {
	if len(e.reports) == 0 {
		return 0
	}
	return e.reports[len(e.reports)-1]
}

// reported returns the engine's load at its second to last report, which is the
// one that its owner has received.
func (e *engine) reported() int {
	if len(e.reports) == 0 {
		return 0
	}
	return e.reports[0]
}

// step asks the next candidate of a walk.
func (m *model) step(r *modelRouter, w *walk, seq Sequence, done func(*Descriptor, func())) {
	q, _, ok := w.nextQuery(m.now)
	if !ok {
		done(nil, nil)
		return
	}
	owner := m.byID[q.owner]
	req := AdmitRequest{
		Entry: r.entryID(), Sequence: seq, Endpoint: q.endpoint.ID, Incarnation: q.endpoint.Incarnation,
		Account: w.req.Account, Deadline: q.deadline, Wait: q.wait, Final: q.final,
	}
	if owner != r {
		req.Releases = r.releases[q.owner]
		delete(r.releases, q.owner)
	}
	answer := func(reply AdmitReply) {
		m.send(owner, r, len(reply.Encode()), func() {
			switch {
			case !w.handleReply(q, reply):
				m.after(w.pause(m.now), func() { m.step(r, w, seq, done) })
			case reply.Decision == Granted:
				done(q.endpoint, func() { m.release(r, q, seq) })
			default:
				done(nil, nil)
			}
		})
	}
	m.send(r, owner, len(req.Encode()), func() {
		reply, waits := owner.owner.submit(m.now, req)
		if waits == nil {
			answer(reply)
		} else {
			owner.waiting = append(owner.waiting, modelWaiter{w: waits, then: answer})
			if !req.Final {
				m.after(req.Wait.Duration(), func() {
					owner.owner.processQueue(m.now, waits)
					m.settle(owner)
				})
			}
		}
		m.settle(owner)
	})
}

func (r *modelRouter) entryID() EntryID {
	return EntryID{Instance: r.ID, Incarnation: 1_800_000_000_000}
}

// send sends a message from one router to another.
func (m *model) send(from, to *modelRouter, size int, then func()) {
	if from == to {
		then()
		return
	}
	for _, r := range []*modelRouter{from, to} {
		r.bytes += size + modelEnvelope
		r.messages++
	}
	m.after(modelHop, then)
}

// settle delivers the replies to requests that were queued.
func (m *model) settle(r *modelRouter) {
	ready := lo.Filter(r.waiting, func(w modelWaiter, _ int) bool { return len(w.w.done) > 0 })
	if len(ready) == 0 {
		return
	}
	r.waiting = lo.Filter(r.waiting, func(w modelWaiter, _ int) bool { return len(w.w.done) == 0 })
	for _, w := range ready {
		w.then(<-w.w.done)
	}
}

func (m *model) processQueues() {
	m.each(func(r *modelRouter) {
		for _, w := range r.waiting {
			r.owner.processQueueIfDue(m.now, w.w)
		}
		m.settle(r)
	})
}

// release ends a grant.
func (m *model) release(r *modelRouter, q ownerQuery, seq Sequence) {
	rel := Release{Endpoint: q.endpoint.ID, Sequence: seq}
	if q.owner == r.ID {
		r.owner.release(m.now, ReleaseBatch{Entry: r.entryID(), Releases: []Release{rel}})
		m.settle(r)
		return
	}
	r.releases[q.owner] = append(r.releases[q.owner], rel)
}

func (m *model) flush() {
	m.each(func(r *modelRouter) {
		owners := lo.Keys(r.releases)
		slices.Sort(owners)
		for _, id := range owners {
			b := ReleaseBatch{Entry: r.entryID(), Releases: r.releases[id]}
			owner := m.byID[id]
			m.send(r, owner, len(b.Encode()), func() {
				owner.owner.release(m.now, b)
				m.settle(owner)
			})
		}
		clear(r.releases)
	})
}

func (m *model) exchange() {
	m.each(func(r *modelRouter) {
		for _, c := range r.owner.sumCalls(m.now) {
			root := m.byID[c.to]
			m.send(r, root, len(c.report.Encode()), func() {
				reply := root.owner.collectSums(m.now, c.report)
				m.send(root, r, len(reply.Encode()), func() { r.owner.applyTotals(m.now, c.report, reply) })
			})
		}
	})
}

// place runs a request at an endpoint.
func (m *model) place(r *modelRouter, d *Descriptor, chat int, release func()) {
	e := m.engines[d.ID]
	if e == nil || e.Incarnation != d.Incarnation {
		m.lost++
		release()
		return
	}
	e.running++
	r.own[d.ID]++
	r.since[d.ID]++
	m.placed++
	if e.running > limitOf(m.cfg.Bound, m.mean()) {
		m.over++
	}
	if e.touch(chat) {
		m.reused++
	}
	m.hints[chat] = HintOf(d.ID, d.Incarnation)
	ended := false
	end := func() {
		if !ended {
			ended = true
			e.running--
			r.own[d.ID]--
			release()
		}
	}
	e.onDeath = append(e.onDeath, end)
	m.after(time.Duration(m.rng.ExpFloat64()*float64(modelHold)), end)
}

func (m *model) mean() float64 {
	return float64(lo.SumBy(m.live, func(id coordination.Endpoint) int { return m.engines[id].running })) / float64(len(m.live))
}

func (m *model) sample() {
	top := lo.Max(lo.Map(m.live, func(id coordination.Endpoint, _ int) int { return m.engines[id].running }))
	if mean := m.mean(); mean > 0 {
		m.skew = append(m.skew, float64(top)/mean)
	}
}

// report records a load report of every engine. Owners receive the previous
// one.
func (m *model) report() {
	for _, e := range m.engines {
		e.reports = append(e.reports, e.running)
		e.reports = e.reports[max(len(e.reports)-2, 0):]
	}
	m.each(func(r *modelRouter) {
		clear(r.since)
		if m.scheme != ownerAdmission {
			return
		}
		for id := range m.engines {
			e := m.engines[id]
			rep := Report{Endpoint: id, Incarnation: e.Incarnation, Running: e.reported(), Observed: m.now.Add(-modelReport)}
			if len(e.reports) == 2 {
				r.owner.report(m.now, rep)
			}
		}
	})
}

// replace removes the oldest endpoint and adds a new one.
func (m *model) replace() {
	old := m.live[0]
	m.live = m.live[1:]
	m.join()
	m.distributeList()
	m.after(30*time.Second, func() { delete(m.engines, old) })
}

// flap restarts an endpoint, which loses its running requests and its cache.
func (m *model) flap() {
	id := m.live[0]
	old := m.engines[id]
	m.live = append(m.live[1:], id)
	d := old.Descriptor
	d.Incarnation++
	m.engines[id] = &engine{Descriptor: d, cache: list.New(), where: make(map[int]*list.Element)}
	m.after(modelHop, func() {
		for _, end := range old.onDeath {
			end()
		}
		m.reportLost(old.Descriptor)
	})
	m.distributeList()
}

// reportLost tells the owner of an endpoint that the endpoint was found dead.
func (m *model) reportLost(d Descriptor) {
	owner := m.byID[m.view.Owner(d.ID, d.Zone)]
	lost := []LostEndpoint{{Endpoint: d.ID, Incarnation: d.Incarnation}}
	owner.owner.release(m.now, ReleaseBatch{Entry: owner.entryID(), Lost: lost})
	m.settle(owner)
}

// distributeList gives each router the endpoint list after a random lag.
func (m *model) distributeList() {
	set := m.list()
	m.each(func(r *modelRouter) {
		m.after(time.Duration(m.rng.Int64N(int64(modelListLag))), func() {
			r.set = set
			r.owner.update(m.now, set, m.view)
			m.settle(r)
		})
	})
}
