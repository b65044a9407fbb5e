package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// reusable is for how long connections can be reused in these tests.
const reusable = 2 * time.Second

// Guards against subsets that do not follow the request rate. A router with few
// requests uses the least number of endpoints. With many requests each endpoint gets
// several a second anyway, so that all are used.
func TestAffinityFollowsTheRate(t *testing.T) {
	tests := []struct {
		perSecond float64
		least     int
		most      int
	}{
		{0.1, 3, 3},
		{1.3, 3, 3},
		{8, 3, 4},
		{80, 38, 42},
	}
	for _, test := range tests {
		var a Affinity
		now := time.Unix(1000, 0)
		width := 0
		for range 1 + int(test.perSecond*20) {
			width = a.SubsetSize(now, testPool, reusable)
			now = now.Add(time.Duration(float64(time.Second) / test.perSecond))
		}
		assert.Assert(t, width >= test.least && width <= test.most, "%v a second: %d", test.perSecond, width)
	}
}

// Guards against a rate computed from the first request of a router, or from the
// first one after a long idle time.
func TestAffinityOfTheFirstRequests(t *testing.T) {
	var a Affinity
	now := time.Unix(1000, 0)
	assert.Equal(t, a.SubsetSize(now, testPool, reusable), minSubsetSize)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		a.SubsetSize(now, testPool, reusable)
	}
	assert.Assert(t, a.SubsetSize(now, testPool, reusable) > 5*minSubsetSize/2)
	assert.Equal(t, a.SubsetSize(now.Add(time.Hour), testPool, reusable), minSubsetSize)
}

// Guards against uneven subsets: endpoints chosen by more routers than others would
// be full while others idle.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	tests := []struct{ routers, endpoints, width int }{{295, 10, 2}, {295, 10, 3}, {295, 240, 2}, {1000, 10, 2}, {80, 6, 3}}
	for _, test := range tests {
		s := NewSet(testEndpoints(test.endpoints))
		got := make(map[coordination.Endpoint]int)
		const requests = 200
		for r := range test.routers {
			near := KeyOf(coordination.Chat(fmt.Sprintf("router-%d", r)))
			met := make(map[coordination.Endpoint]bool)
			for k := range Key(requests) {
				first := s.Subset(nil, testPool, near, KeyOf(coordination.Chat(fmt.Sprintf("%d-%d", r, k))), test.width, 1)[0].ID
				met[first] = true
				got[first]++
			}
			assert.Equal(t, len(met), test.width, "endpoints that a router meets")
		}
		if test.endpoints > test.routers/10 {
			continue // chance leaves some of so many without a router
		}
		mean := float64(test.routers*requests) / float64(test.endpoints)
		for id, n := range got {
			share := float64(n) / mean
			assert.Assert(t, share > 0.65 && share < 1.35, "%d routers, %d endpoints: %s has %.2f of the mean", test.routers, test.endpoints, id, share)
		}
	}
}

// Guards against subsets of a small pool. With three endpoints and eight routers, two
// endpoints for each router would leave one with far fewer routers than the others.
func TestSmallPoolIsNotDivided(t *testing.T) {
	s := NewSet(testEndpoints(3))
	for near := range Key(8) {
		for key := range Key(20) {
			assert.DeepEqual(t, ids(s.Subset(nil, testPool, near, key, minSubsetSize, 3)), ids(s.Candidates(nil, testPool, key, 0, 3)))
		}
	}
}

// Subset only orders the endpoints: all others follow the subset, and a longer list
// begins like a shorter one.
func TestSubsetOrdersAllEndpoints(t *testing.T) {
	s := NewSet(testEndpoints(30))
	all := ids(s.Subset(nil, testPool, 7, 9, 3, 30))
	assert.Equal(t, len(lo.Uniq(all)), 30)
	for limit := range 30 {
		assert.DeepEqual(t, ids(s.Subset(nil, testPool, 7, 9, 3, limit)), all[:limit])
	}
	other := ids(s.Subset(nil, testPool, 7, 10, 3, 30))
	assert.DeepEqual(t, lo.Uniq(append(other[:3:3], all[:3]...)), other[:3])
	assert.DeepEqual(t, other[3:], all[3:])
	assert.DeepEqual(t, ids(s.Subset(nil, testPool, 7, 9, 16, 6)), ids(s.Candidates(nil, testPool, 9, 0, 6)))
	assert.Equal(t, len(s.Subset(nil, "none", 7, 9, 3, 6)), 0)
}

// connectionCounter counts the connections that requests need. Each request holds
// one, and a connection that was idle for longer than reusable is not used again.
type connectionCounter struct {
	requests, dialed int
	idle             map[coordination.Instance]map[coordination.Endpoint][]time.Time
}

func (c *connectionCounter) acquire(now time.Time, r coordination.Instance, e coordination.Endpoint) {
	c.requests++
	if c.idle[r] == nil {
		c.idle[r] = make(map[coordination.Endpoint][]time.Time)
	}
	all := c.idle[r][e]
	if n := len(all); n > 0 && now.Sub(all[n-1]) <= reusable {
		c.idle[r][e] = all[:n-1]
		return
	}
	c.dialed++
}

func (c *connectionCounter) release(now time.Time, r coordination.Instance, e coordination.Endpoint) {
	c.idle[r][e] = append(c.idle[r][e], now)
}

// runSparseRequests runs 60 ms requests that have nothing cached, one every 100 ms at
// a random router.
func (f *fleet) runSparseRequests(t *testing.T, routers []Router, affine bool) connectionCounter {
	d := connectionCounter{idle: make(map[coordination.Instance]map[coordination.Endpoint][]time.Time)}
	affinities := make([]Affinity, len(routers))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		n := rng.IntN(len(routers))
		id := routers[n].ID
		req := Request{Pool: testPool, Key: Key(rng.Uint64())}
		if affine {
			req.SubsetKey, req.SubsetSize = KeyOf(coordination.Chat(id)), affinities[n].SubsetSize(time.Now(), testPool, reusable)
		}
		g, refusal := f.nodes[id].entry.Acquire(t.Context(), req)
		assert.Assert(t, g != nil, "%v", refusal)
		d.acquire(time.Now(), id, g.Endpoint.ID)
		time.Sleep(60 * time.Millisecond)
		d.release(time.Now(), id, g.Endpoint.ID)
		g.Release()
		time.Sleep(40 * time.Millisecond)
	}
	return d
}

// Guards against a new connection for nearly every request, as happens when each
// router of a large fleet gets about one request a second for a pool of ten endpoints
// and spreads them over all.
func TestFewRequestsReuseConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routers := testRouters(8)
		f := newFleet(routers, testEndpoints(10), Config{Slack: 2})
		defer f.start()()
		time.Sleep(2 * time.Second)
		spread, affine := f.runSparseRequests(t, routers, false), f.runSparseRequests(t, routers, true)
		t.Logf("new connections for %d requests: %d spread over all, %d with affinity", affine.requests, spread.dialed, affine.dialed)
		assert.Assert(t, affine.dialed*3 < spread.dialed*2, "%d connections for %d requests, %d when spread", affine.dialed, affine.requests, spread.dialed)
		assert.Assert(t, affine.dialed*2 < affine.requests, "%d connections for %d requests", affine.dialed, affine.requests)
	})
}

// Guards against a subset that exceeds its bound while other endpoints idle, when one
// router gets all the requests.
func TestBoundHoldsForAHotRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := PoolBound{Bound: 1.25, Slack: 2}
		f := newFleet(testRouters(8), testEndpoints(10), Config{Bound: bound.Bound, Slack: bound.Slack})
		defer f.start()()
		time.Sleep(2 * time.Second)
		running := make(map[coordination.Endpoint]int)
		for n := range 120 {
			g, refusal := f.nodes["r0"].entry.Acquire(t.Context(), Request{
				Pool: testPool, Key: KeyOf(coordination.Chat(fmt.Sprint(n))), SubsetKey: 7, SubsetSize: minSubsetSize,
			})
			assert.Assert(t, g != nil, "request %d: %v", n, refusal)
			running[g.Endpoint.ID]++
			limit := bound.limit(float64(n+1) / 10)
			assert.Assert(t, running[g.Endpoint.ID] <= limit, "%s runs %d, its bound is %d", g.Endpoint.ID, running[g.Endpoint.ID], limit)
		}
	})
}
