package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/hub"
)

// waiter is a caller that asks a router which has just started.
type waiter struct {
	cluster *relayCluster
	got     relayResponse
}

func (w *waiter) run() { w.got = w.cluster.send(0, "/safe/1") }

// A router starts while the store is away, and callers ask it meanwhile. The
// store is back a moment later. Were they turned away at once, or as soon as
// the routes are known and the endpoints are not, they would have to come back
// to a router that could have served them.
func TestRelayServesRequestsReceivedBeforeFirstState(t *testing.T) {
	s := newRelayCluster(t, 0, 3, 0)
	s.store.Fail(hub.Faults{Down: true})
	s.addRouter()
	waiters := make([]waiter, 6)
	var wg sync.WaitGroup
	for i := range waiters {
		waiters[i].cluster = s
		wg.Go(waiters[i].run)
	}
	time.Sleep(50 * time.Millisecond)
	s.store.Fail(hub.Faults{})
	wg.Wait()
	for _, w := range waiters {
		assert.NilError(t, w.got.err)
		assert.Equal(t, w.got.status, http.StatusOK, w.got.body)
	}
}
