package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// The load of a pool in which every endpoint has a different owner.
const (
	shortRouters   = 16
	shortEndpoints = 4
	shortCallers   = 32
	shortRun       = 75 * time.Millisecond
	shortPause     = 400 * time.Millisecond // maximum pause of a caller between two requests
)

// Guards against loads far over the mean when requests are shorter than the
// sums are old.
func TestBoundHoldsForShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(testRouters(shortRouters), testEndpoints(shortEndpoints), Config{Bound: 1.8, Slack: 2, Grace: 250 * time.Millisecond, FallbackLimit: 3})
		stop := f.start()
		time.Sleep(5 * time.Second) // until all sums are known
		s := &shortLoad{running: make(map[coordination.Endpoint]int)}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for n := range shortCallers {
			wg.Go(func() { s.loop(ctx, f, rand.New(rand.NewPCG(1, uint64(n)))) })
		}
		wg.Wait()
		stop()
		t.Logf("%d of %d placements are over the bound", s.over, s.placed)
		assert.Assert(t, s.placed > 5000)
		assert.Assert(t, s.over <= s.placed*3/100, "%d of %d", s.over, s.placed)
	})
}

// shortLoad counts the requests of callers that all send the same prompt.
type shortLoad struct {
	mu           sync.Mutex
	running      map[coordination.Endpoint]int
	total        int
	placed, over int
}

// loop sends the requests of one caller through random routers.
func (s *shortLoad) loop(ctx context.Context, f *fleet, rng *rand.Rand) {
	routers := testRouters(shortRouters)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(shortPause))))
		g, _ := f.nodes[routers[rng.IntN(len(routers))].ID].entry.Acquire(ctx, Request{Pool: testPool, Key: 1, Deadline: 4 * time.Second})
		if g == nil {
			continue
		}
		s.begin(g.Endpoint.ID)
		time.Sleep(shortRun)
		s.end(g.Endpoint.ID)
		g.Release()
	}
}

// begin counts a request that starts and checks it against twice the mean load
// plus three.
func (s *shortLoad) begin(id coordination.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	s.total++
	s.placed++
	if float64(s.running[id]) > 2*float64(s.total)/shortEndpoints+3 {
		s.over++
	}
}

func (s *shortLoad) end(id coordination.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]--
	s.total--
}
