package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/proxy"
	"wisteriaspool/standin/replica"
)

// Guards against a router that is cut off from endpoints and from all other routers, takes the
// endpoints for dead and has the requests that ran there suspected everywhere afterwards.
func TestRelayRouterCutOffFromAllSuspectsNoRequests(t *testing.T) {
	t.Parallel()
	endpoints := newLinks(t)
	s := &versionedCluster{relayCluster: newLinkedRelayCluster(t, endpoints, 0, 0, 0)}
	for n := range 3 {
		s.addReplica(replica.Options{ID: fmt.Sprintf("d%d", n), Service: "desk", Zone: "a", Delay: 400 * time.Millisecond, Slots: 32})
	}
	l := &peerLinks{}
	for range 3 {
		l.addProxied(s)
	}
	for n := range 3 {
		s.awaitReady(n)
		s.awaitMembers(n, 3)
	}
	cut := func(on bool) {
		kind := noCut
		if on {
			kind = silentCut
		}
		endpoints.set(2, kind)
		for _, p := range append(l.peers, l.stores[2]) {
			p.SetMode(proxy.Mode{Silent: on})
		}
	}
	for range 5 {
		assert.Equal(t, s.send(2, "/safe/first").status, http.StatusOK)
	}
	var group sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for n := range 6 {
		group.Go(func() {
			for time.Now().Before(end) {
				s.send(2, fmt.Sprint("/safe/", n))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	cut(true)
	group.Wait()
	cut(false)
	time.Sleep(3 * time.Second)
	assert.Check(t, len(s.logs.lines("request-suspected")) == 0, "%v", s.logs.lines("request-suspected"))
	for n := range 6 {
		for router := range 3 {
			got := s.send(router, fmt.Sprint("/safe/", n))
			assert.Check(t, got.status == http.StatusOK, "router %d answers %d: %s", router, got.status, got.body)
		}
	}
}
