package daemon_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaveWithin is how long a leaving endpoint may still get new work.
const leaveWithin = 3 * time.Second

// An engine begins to stop, and the platform's list goes on showing it as live.
// Only one router reads its word. If the others did not hear of it, requests
// would reach it until it is gone, and be refused or cut off there.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	w := newWorld(t, 3, 3)
	done := make(chan struct{})
	var others sync.WaitGroup
	beside := make([]*ordinaryTraffic, len(w.routers))
	for n := range beside {
		beside[n] = &ordinaryTraffic{world: w, router: n, done: done}
		others.Go(beside[n].run)
	}
	w.awaitArrivals(w.arrivals() + 20)
	left := time.Now()
	w.engines[0].Leave()
	time.Sleep(leaveWithin + 2*time.Second)
	close(done)
	others.Wait()
	for _, s := range beside {
		s.check()
	}
	s := w.engines[0].Stats()
	assert.Assert(t, s.LastArrival.Before(left.Add(leaveWithin)), "work came %v after the first word", s.LastArrival.Sub(left))
	assert.Assert(t, w.arrivals() > s.Arrivals+20, "the others got no work")
}
