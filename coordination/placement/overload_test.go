package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// stalls delays all calls between two routers for stallTime at every n-th call, as a
// lost packet does to a connection.
type stalls struct {
	every int

	mu    sync.Mutex
	calls int
	until map[[2]coordination.Instance]time.Time
}

const stallTime = 200 * time.Millisecond

func (s *stalls) wait(from, to coordination.Instance) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	pair := [2]coordination.Instance{from, to}
	if s.calls%s.every == 0 {
		s.until[pair] = time.Now().Add(stallTime)
	}
	return time.Until(s.until[pair])
}

// stallingLink is the transport of one router over links that stall.
type stallingLink struct {
	link
	stalls *stalls
}

// Call implements Transport.
func (l stallingLink) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	coordination.Sleep(ctx, l.stalls.wait(l.from, to))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return l.link.Call(ctx, to, topic, payload)
}

// overloadRun is a load on a fleet whose endpoints run each request for a second. Some
// endpoints die during the run: they refuse connections but stay listed.
type overloadRun struct {
	*fleet
	stalls    *stalls
	es        []Descriptor
	perSecond int
	target    time.Duration // of each request; zero for none

	mu     sync.Mutex
	down   map[coordination.Endpoint]bool
	result overloadResult
}

// overloadResult counts the outcomes of the callers' requests.
type overloadResult struct {
	asked          int
	inTime         int // sent to a live endpoint within overloadObjective
	late           int
	refused        int
	urgent         int           // requests of the highest priority
	urgentInTime   int           // of the urgent requests, in time
	longestRefusal time.Duration // longest time until a refusal
	sentToDead     int           // placements at a dead endpoint
	calls          int           // between routers
	longestWait    time.Duration
}

const (
	overloadDuration      = 6 * time.Second
	overloadRouters       = 7
	overloadObjective     = 500 * time.Millisecond
	overloadDeadline      = 4 * time.Second
	maxOverloadAttempts   = 4
	connectionRefusalTime = 30 * time.Millisecond // time until a connection is refused
)

func newOverloadRun(endpoints, perS int) *overloadRun {
	s := &overloadRun{
		stalls:    &stalls{every: 500, until: make(map[[2]coordination.Instance]time.Time)},
		es:        testEndpoints(endpoints),
		perSecond: perS,
		target:    overloadObjective,
		down:      make(map[coordination.Endpoint]bool),
	}
	cfg := Config{
		Bound: 1.8, Slack: 2, Overcommit: 0.25, Grace: 250 * time.Millisecond, EntryLease: 3 * time.Second,
		LostTTL: time.Second, FallbackLimit: 3,
	}
	for i := range s.es {
		s.es[i].Capacity = 16
	}
	members := testRouters(overloadRouters)
	s.fleet = newFleet(members, s.es, cfg)
	for _, m := range members {
		n := s.nodes[m.ID]
		l := stallingLink{link: link{fleet: s.fleet, from: m.ID}, stalls: s.stalls}
		n.entry = NewEntry(EntryID{Instance: m.ID, Incarnation: m.Incarnation}, n.owner, l, nil, cfg)
	}
	s.list(s.es)
	return s
}

// list updates all routers with a list of endpoints.
func (s *overloadRun) list(es []Descriptor) {
	set, routers := NewSet(es), NewRouters(testRouters(overloadRouters), 0)
	for _, n := range s.nodes {
		n.update(set, routers)
	}
}

func (s *overloadRun) kill(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.down[s.es[i].ID] = true
	}
}

func (s *overloadRun) isDown(id coordination.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[id]
}

// play sends requests for overloadDuration, calls event after a third of them, and
// returns the outcomes.
func (s *overloadRun) play(ctx context.Context, event func()) overloadResult {
	defer s.start()()
	time.Sleep(2 * time.Second)
	before := s.sent()
	var wg sync.WaitGroup
	gap := time.Second / time.Duration(s.perSecond)
	n := int(overloadDuration / gap)
	for i := range n {
		if i == n/3 {
			event()
		}
		c := overloadCaller{overloadRun: s, n: i, node: s.nodes[coordination.Instance(fmt.Sprintf("r%d", i%overloadRouters))]}
		wg.Go(func() { c.run(ctx) })
		time.Sleep(gap)
	}
	wg.Wait()
	s.result.calls = s.sent() - before
	return s.result
}

// sent returns how many admission queries routers have sent to each other.
func (s *overloadRun) sent() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.messages[TopicAdmit]
}

// overloadCaller sends one request of an overloadRun.
type overloadCaller struct {
	*overloadRun
	n    int
	node *node
}

func (c overloadCaller) run(ctx context.Context) {
	begun := time.Now()
	req := Request{
		Pool: testPool, Key: Key(c.n % 61), Account: coordination.Account(fmt.Sprint(c.n % 10)),
		Priority: c.priority(), Deadline: overloadDeadline, Target: c.target,
	}
	for range maxOverloadAttempts {
		g, _ := c.node.entry.Acquire(ctx, req)
		if g == nil {
			break
		}
		if c.isDown(g.Endpoint.ID) {
			time.Sleep(connectionRefusalTime)
			c.note(func(r *overloadResult) { r.sentToDead++ })
			go c.node.entry.ReportLost(ctx, g.Endpoint)
			g.Release()
			req.Avoid = append(req.Avoid, g.Endpoint.ID)
			req.Deadline = overloadDeadline - time.Since(begun)
			req.Waited = time.Since(begun)
			continue
		}
		waited := time.Since(begun)
		time.Sleep(time.Second)
		g.Release()
		c.note(func(r *overloadResult) { r.served(c.priority(), waited) })
		return
	}
	held := time.Since(begun)
	c.note(func(r *overloadResult) { r.refuse(c.priority(), held) })
}

// priority gives one request in seven the highest priority and three the lowest.
func (c overloadCaller) priority() coordination.Priority {
	switch n := c.n % 7; {
	case n == 0:
		return 0
	case n < 4:
		return -1
	default:
		return -2
	}
}

func (r *overloadResult) ask(p coordination.Priority) {
	r.asked++
	if p == 0 {
		r.urgent++
	}
}

func (r *overloadResult) served(p coordination.Priority, waited time.Duration) {
	r.ask(p)
	r.longestWait = max(r.longestWait, waited)
	switch {
	case waited > overloadObjective:
		r.late++
	case p == 0:
		r.urgentInTime++
		fallthrough
	default:
		r.inTime++
	}
}

func (r *overloadResult) refuse(p coordination.Priority, held time.Duration) {
	r.ask(p)
	r.refused++
	r.longestRefusal = max(r.longestRefusal, held)
}

func (c overloadCaller) note(fn func(*overloadResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.result)
}

// Guards against placing requests at dead endpoints when four of nine endpoints die under
// overload and links stall. Routers that decide without an unresponsive owner see the dead
// endpoints as idle.
func TestOverloadAvoidsDeadEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOverloadRun(9, 170)
		r := s.play(t.Context(), func() { s.kill(4) })
		t.Logf("%+v", r)
		assert.Assert(t, r.sentToDead < 100, "%d of %d sent to dead endpoints", r.sentToDead, r.asked)
	})
}

// Guards against late starts under twice the load that the remaining endpoints can serve.
// In the order of arrival nearly all requests would be late, the urgent ones included.
func TestOverloadServesUrgentRequestsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOverloadRun(9, 170)
		r := s.play(t.Context(), func() { s.kill(4) })
		t.Logf("%+v", r)
		assert.Assert(t, r.inTime*100 >= r.asked*70, "%d of %d in time", r.inTime, r.asked)
		assert.Assert(t, r.urgentInTime*100 >= r.urgent*95, "%d of %d urgent requests in time", r.urgentInTime, r.urgent)
	})
}

// Guards against holding a request that cannot be served until its caller has gone.
func TestOverloadRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOverloadRun(9, 170)
		r := s.play(t.Context(), func() { s.kill(4) })
		t.Logf("%+v", r)
		assert.Assert(t, r.refused > 0)
		assert.Assert(t, r.longestRefusal <= overloadDeadline/2, "%v", r.longestRefusal)
	})
}
