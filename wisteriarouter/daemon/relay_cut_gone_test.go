package daemon_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/proxy"
)

// Guards against a router that has been cut off and, once it is in touch again, still sends
// requests to endpoints that have left meanwhile, as if the store had been out.
func TestRelayCutOffRouterHearsOfEndpointsThatAreGone(t *testing.T) {
	for _, d := range []time.Duration{4500 * time.Millisecond, 5 * time.Second, 6 * time.Second, 8 * time.Second, 11 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			s, l := newProxiedCluster(t, 3, "v1")
			s.addVersion("v1", 2)
			s.awaitEndpoints(2, 3)
			cut := func(silent bool) {
				for _, p := range append(l.peers, l.stores[2]) {
					p.SetMode(proxy.Mode{Silent: silent})
				}
			}
			cut(true)
			end := time.Now().Add(d)
			time.Sleep(time.Second)
			gone := s.replicas[0]
			s.store.Delete(gone.Key())
			time.Sleep(time.Until(end))
			cut(false)
			for time.Since(end) < contact+time.Second {
				go s.send(2, "/resumable/1", "X-Prefix-Hash", freshID()+":50,cc:10")
				time.Sleep(10 * time.Millisecond)
			}
			var last time.Duration
			for _, a := range gone.Arrivals() {
				last = max(last, a.StartedAt.Sub(end))
			}
			t.Logf("the last request arrived there %v after a cut of %v", last, d)
			assert.Assert(t, last < contact)
		})
	}
}
