package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// detouredLoad sends requests that may run once through one router, at an interval.
type detouredLoad struct {
	cluster  *relayCluster
	router   int
	rounds   int
	interval time.Duration
	done     chan struct{} // closed when all requests have ended

	mu   sync.Mutex
	lost []string // requests that ran, or may have, and got no complete answer
}

func (l *detouredLoad) run() {
	var wg sync.WaitGroup
	for n := range l.rounds {
		wg.Go(detouredRequest{l, fmt.Sprintf("/unsafe/%d", n)}.run)
		time.Sleep(l.interval)
	}
	wg.Wait()
	close(l.done)
}

// reset forgets the requests that were lost so far.
func (l *detouredLoad) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = nil
}

// detouredRequest is one request of a detouredLoad.
type detouredRequest struct {
	*detouredLoad
	path string
}

func (r detouredRequest) run() {
	got := r.cluster.send(r.router, r.path)
	ran := r.cluster.runs(r.path)
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.err != nil || got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || ran > 0) {
		r.lost = append(r.lost, fmt.Sprintf("%s: status %d, %v, ran %d times", r.path, got.status, got.err, ran))
	}
}

// Guards against requests that go through a router which stops as planned, on connections that
// were there before, and that are cut when its process ends.
func TestRelayLeavesStoppingRouterOfDetours(t *testing.T) {
	l := newLinks(t)
	s := newLinkedRelayCluster(t, l, 3, 0, 0)
	for n := range 4 {
		s.addReplica(replica.Options{ID: fmt.Sprintf("slow%d", n), Service: "desk", Zone: "a", Slots: 32, Delay: 10 * time.Millisecond})
	}
	s.awaitServed("/unsafe/first")
	l.set(0, resetCut)
	l.set(2, resetCut) // so that all detours go through router 1
	for _, r := range s.replicas {
		r.SetFaults(replica.Faults{Slow: 700 * time.Millisecond})
	}
	load := &detouredLoad{cluster: s, router: 0, rounds: 160, interval: 50 * time.Millisecond, done: make(chan struct{})}
	go load.run()
	time.Sleep(time.Second)
	l.set(2, noCut)
	time.Sleep(time.Second) // until it helps
	load.reset()            // what the cut itself has lost
	stopped := time.Now()
	left := s.stops[1]()
	took := time.Since(stopped)
	<-load.done
	assert.Equal(t, left, 0)
	assert.Assert(t, took < 4*time.Second, "connections went through the router until it had to end, after %v", took)
	assert.Equal(t, len(load.lost), 0, "%q", load.lost)
}
