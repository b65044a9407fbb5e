package placement

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// rootTransport delivers reports to owners, except to one root that does not
// answer between two times.
type rootTransport struct {
	owners       map[coordination.Instance]*Owner
	unresponsive coordination.Instance
	from, until  time.Time
}

// Call implements Transport.
func (r rootTransport) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	if now := time.Now(); to == r.unresponsive && now.After(r.from) && now.Before(r.until) {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return r.owners[to].HandleSum(ctx, payload)
}

// newSumOwners returns seven owners of a pool of twelve endpoints, each of
// which runs 15 requests, and the root of the pool.
func newSumOwners() (owners map[coordination.Instance]*Owner, root coordination.Instance) {
	members := make([]Router, 7)
	owners = make(map[coordination.Instance]*Owner)
	for i := range members {
		members[i] = Router{ID: coordination.Instance(fmt.Sprintf("r%d", i)), Incarnation: 1}
	}
	ds := make([]Descriptor, 12)
	for i := range ds {
		ds[i] = Descriptor{ID: coordination.Endpoint(fmt.Sprintf("e%d", i)), Pool: "p", Incarnation: 1, Capacity: 64}
	}
	routers := NewRouters(members, 0)
	for _, m := range members {
		o := NewOwner(m.ID, Config{Bound: 1.8, Slack: 2})
		o.Update(NewSet(ds), routers)
		if p := o.pools["p"]; p != nil {
			p.add(15*p.endpoints, 0)
		}
		owners[m.ID] = o
	}
	return owners, routers.Root("p", func(coordination.Instance) bool { return false })
}

// highestLimit returns the highest current limit of any owner.
func highestLimit(owners map[coordination.Instance]*Owner) (limit int) {
	for _, o := range owners {
		if p := o.pools["p"]; p != nil && p.endpoints > 0 {
			limit = max(limit, o.cfg.Load().boundOf("p").limit(p.mean(time.Now(), o.cfg.Load())))
		}
	}
	return limit
}

// Guards against a single lost report that lifts the bound. An owner that
// switched to another root after one unanswered report would hear of no other
// load there, and 3 s later take its own endpoints for the whole pool. One hot
// endpoint would then get all requests for it, and its streams would slow down.
func TestLostReportKeepsTheBound(t *testing.T) {
	for _, silence := range []time.Duration{250 * time.Millisecond, 800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			owners, root := newSumOwners()
			var hot *Owner // owner of one endpoint, temporarily cut off from the root
			for id, o := range owners {
				if p := o.pools["p"]; id != root && p != nil && p.endpoints == 1 {
					hot = o
				}
			}
			start := time.Now()
			cut := rootTransport{owners: owners, unresponsive: root, from: start.Add(time.Second), until: start.Add(time.Second + silence)}
			well := rootTransport{owners: owners}
			hot.pools["p"].add(20, 0)
			for time.Since(start) < 6*time.Second {
				for _, o := range owners {
					transport := well
					if o == hot {
						transport = cut
					}
					ctx, cancel := context.WithTimeout(t.Context(), minSumInterval)
					o.Exchange(ctx, transport)
					cancel()
				}
				time.Sleep(minSumInterval)
				if time.Since(start) > 500*time.Millisecond {
					assert.Assert(t, highestLimit(owners) <= 40, "limit %d, %v after the start, with the root silent for %v", highestLimit(owners), time.Since(start), silence)
				}
			}
		})
	}
}

// Guards against a mean that stays outdated because a dead root is never
// skipped.
func TestDeadRootIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners, root := newSumOwners()
		var asking *Owner
		for id, o := range owners {
			if p := o.pools["p"]; id != root && p != nil && p.endpoints > 0 {
				asking = o
			}
		}
		start := time.Now()
		transport := rootTransport{owners: owners, unresponsive: root, from: start.Add(-1), until: start.Add(time.Hour)}
		for asking.sumCalls(time.Now())[0].to == root {
			ctx, cancel := context.WithTimeout(t.Context(), minSumInterval)
			asking.Exchange(ctx, transport)
			cancel()
			assert.Assert(t, time.Since(start) <= rootFailureTimeout+2*minSumInterval, "the dead root is still asked")
		}
	})
}

const smallPool = coordination.Pool("small")

// largeFleet returns a fleet of 150 routers with a pool of 240 endpoints and a
// small pool of 10.
func largeFleet(cfg Config) (f *fleet, set *Set, routers *Routers) {
	es := testEndpoints(240)
	for i, d := range testEndpoints(10) {
		d.ID, d.Pool = coordination.Endpoint(fmt.Sprintf("s%d", i)), smallPool
		es = append(es, d)
	}
	members := testRouters(150)
	return newFleet(members, es, cfg), NewSet(es), NewRouters(members, 0)
}

// placeRequests runs n requests in a pool, from all routers in turn.
func (f *fleet) placeRequests(t *testing.T, pool coordination.Pool, n int) (release func()) {
	t.Helper()
	var grants []*Grant
	for i := range n {
		from := coordination.Instance(fmt.Sprintf("r%d", i%len(f.nodes)))
		g, refusal := f.nodes[from].entry.Acquire(t.Context(), Request{Pool: pool, Key: Key(i)})
		assert.Assert(t, g != nil, "request %d: %v", i, refusal)
		grants = append(grants, g)
	}
	return func() {
		for _, g := range grants {
			g.Release()
		}
	}
}

// lowestLimit returns the lowest limit of any owner of the small pool.
func (f *fleet) lowestLimit() int {
	var limits []int
	for _, n := range f.nodes {
		p := n.owner.poolLoadOf(smallPool)
		if p == nil {
			continue
		}
		if _, endpoints := p.ownSums(); endpoints > 0 {
			limits = append(limits, n.owner.cfg.Load().boundOf(smallPool).limit(p.mean(time.Now(), n.owner.cfg.Load())))
		}
	}
	return lo.Min(limits)
}

func (o *Owner) poolLoadOf(name coordination.Pool) *poolLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pools[name]
}

// Guards against owners of a small pool in a large fleet that learn of a rising
// load a second late and send requests away from endpoints with free capacity.
func TestSmallPoolInLargeFleetFollowsItsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := largeFleet(Config{Slack: 2})
		defer f.start()()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		before := f.messages[TopicSum]
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		sent := f.messages[TopicSum] - before
		f.mu.Unlock()
		assert.Assert(t, sent <= 5*250, "%d reports in 5 s at rest", sent)
		begun := time.Now()
		defer f.placeRequests(t, smallPool, 40)()
		assert.Assert(t, time.Since(begun) < 500*time.Millisecond, "40 requests took %v to be placed", time.Since(begun))
		time.Sleep(2 * minSumInterval)
		assert.Assert(t, f.lowestLimit() >= 6, "limit %d at a mean of 4", f.lowestLimit())
	})
}

// startTogether returns a large fleet whose routers have started at the same
// time and have just discovered each other.
func startTogether() (f *fleet, stop func()) {
	f, meet, stop := startIsolated()
	time.Sleep(300 * time.Millisecond)
	meet()
	return f, stop
}

// startIsolated returns a large fleet whose routers have started at the same
// time and know only themselves until meet is called.
func startIsolated() (f *fleet, meet, stop func()) {
	f, set, routers := largeFleet(Config{Bound: 1.8, Slack: 2, Grace: 250 * time.Millisecond})
	for id, n := range f.nodes {
		alone, _ := routers.Find(id)
		n.update(set, NewRouters([]Router{alone}, 0))
	}
	meet = func() {
		for _, n := range f.nodes {
			n.update(set, routers)
		}
	}
	return f, meet, f.start()
}

// Guards against a bound that is based on half of the mean for seconds after a
// start, because endpoints are counted for routers that owned them before the
// routers had discovered each other.
func TestSmallPoolIsCountedSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startTogether()
		defer stop()
		time.Sleep(500 * time.Millisecond)
		defer f.placeRequests(t, smallPool, 40)()
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, f.lowestLimit() >= 8, "limit %d at a mean of 4", f.lowestLimit())
	})
}

// Guards against taking the load of a part of a large pool for that of the
// whole pool for seconds after a start, which sends requests away from the
// endpoints with their prompts.
func TestLargePoolIsCountedSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startTogether()
		defer stop()
		f.mu.Lock()
		before := f.messages[TopicSum]
		f.mu.Unlock()
		time.Sleep(700 * time.Millisecond)
		for id, n := range f.nodes {
			p := n.owner.poolLoadOf(testPool)
			p.mu.Lock()
			own, summed := p.endpoints, p.endpoints+p.othersEndpoints
			p.mu.Unlock()
			assert.Assert(t, own == 0 || summed >= 210, "%s has the load of %d of 240 endpoints", id, summed)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		sent := f.messages[TopicSum] - before
		assert.Assert(t, sent <= 5*len(f.nodes), "%d reports of %d routers", sent, len(f.nodes))
	})
}

// Guards against taking the growing coverage of the sums after a start for a
// change of the load, which bases the bound on three quarters of the mean for
// seconds.
func TestMeanHoldsWhileSumsGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, meet, stop := startIsolated()
		defer stop()
		time.Sleep(200 * time.Millisecond)
		defer f.placeRequests(t, testPool, 960)()
		meet()
		time.Sleep(2 * time.Second)
		for id, n := range f.nodes {
			p := n.owner.poolLoadOf(testPool)
			if _, endpoints := p.ownSums(); endpoints > 0 {
				mean := p.mean(time.Now(), n.owner.cfg.Load())
				assert.Assert(t, mean >= 3.6 && mean <= 4.1, "%s computes a mean of %.2f, want 4", id, mean)
			}
		}
	})
}

// Guards against a root that still counts endpoints for former owners. Routers
// that start together own many endpoints until they discover each other, and
// few or none later. The load would be underestimated, and requests sent away
// from their endpoints.
func TestRootForgetsWhatFormerOwnersOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, es := testRouters(300), testEndpoints(240)
		f, set, routers := newFleet(members, es, Config{Grace: 250 * time.Millisecond}), NewSet(es), NewRouters(members, 0)
		root, _ := routers.Find(routers.Root(testPool, func(coordination.Instance) bool { return false }))
		for id, n := range f.nodes {
			self, _ := routers.Find(id)
			n.update(set, NewRouters([]Router{self, root}, 0))
		}
		defer f.start()()
		time.Sleep(300 * time.Millisecond)
		for _, n := range f.nodes {
			n.update(set, routers)
		}
		time.Sleep(2 * time.Second)
		for id, n := range f.nodes {
			p := n.owner.poolLoadOf(testPool)
			if _, endpoints := p.ownSums(); endpoints > 0 {
				p.mu.Lock()
				summed := p.endpoints + p.othersEndpoints
				p.mu.Unlock()
				assert.Assert(t, summed >= 210 && summed <= 270, "%s counts %d endpoints of 240", id, summed)
			}
		}
	})
}
