package daemon_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// The retries that the endpoints of a pool bear within retryWindow: maxRetryShare for each
// request and maxRetrySlack.
const (
	retryWindow   = 10 * time.Second
	maxRetryShare = 0.2
	maxRetrySlack = 54
)

// Guards against routers that restart, each with a full burst of retries, and together
// exceed what the endpoints of a failing pool bear.
func TestRelayKeepsToRetryBudgetWhileAllRoutersRestart(t *testing.T) {
	s := newRelayCluster(t, 2, 3, 0)
	s.awaitServed("/safe/first")
	for _, r := range s.replicas {
		r.SetFaults(replica.Faults{Status: 500, Only: "/safe/failing"})
	}
	begin := time.Now()
	all := s.lookupMany("/safe/failing", 60)
	for range 3 {
		s.restartAll(2)
		all += s.lookupMany("/safe/failing", 60)
	}
	assert.Assert(t, time.Since(begin) < retryWindow)
	retries := s.runs("/safe/failing") - all
	assert.Assert(t, retries > 0 && float64(retries) <= maxRetryShare*float64(all)+maxRetrySlack, "%d retries of %d requests", retries, all)
}

// restartAll stops all routers and starts n.
func (s *relayCluster) restartAll(n int) {
	for _, stop := range s.stops {
		stop()
	}
	s.routers, s.stops = nil, nil
	for range n {
		s.addRouter()
	}
	for n := range s.routers {
		s.awaitReady(n)
	}
}

// lookupMany sends n lookups through each router, and returns how many it has sent.
func (s *relayCluster) lookupMany(path string, n int) int {
	var wg sync.WaitGroup
	for router := range s.routers {
		wg.Go(lookupSeries{s, router, path, n}.run)
	}
	wg.Wait()
	return n * len(s.routers)
}

// lookupSeries sends lookups through one router, one after the other.
type lookupSeries struct {
	cluster *relayCluster
	router  int
	path    string
	n       int
}

func (l lookupSeries) run() {
	for range l.n {
		l.cluster.lookup(l.router, l.path)
	}
}
