package daemon_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newConnections returns a sender of requests over a new connection each, in turn short ones
// and streams, to some routers in turn.
func (s *relayCluster) newConnections(routers []int, interval time.Duration, until time.Time) *requestSender {
	return &requestSender{interval: interval, until: until, newRequest: func(ctx context.Context, n int) *http.Request {
		path := []string{"/safe/", "/unsafe/", "/resumable/", "/stream/"}[n%4]
		req := s.request(ctx, routers[n%len(routers)], path+freshID())
		req.Close = true
		return req
	}, cluster: s}
}

// Guards against a router that cannot serve what most new connections of a zone bring, or
// whose requests get less than their share of the endpoints, as they all go to it for some
// seconds and callers open more of them.
func TestRelayServesMostNewConnectionsAtOneRouter(t *testing.T) {
	s := newRelayCluster(t, 4, 4, 4)
	for n := range s.routers {
		assert.Equal(t, s.send(n, "/safe/first").status, http.StatusOK)
	}
	spread := s.newConnections([]int{0, 1, 2, 3}, 20*time.Millisecond, time.Now().Add(2*time.Second))
	spread.run()
	normal, all := spread.served(time.Time{}, time.Now())
	assert.Assert(t, all > 0)
	begin := time.Now()
	until := begin.Add(cutDetection + 3*time.Second)
	one := s.newConnections([]int{0}, 8*time.Millisecond, until)
	others := s.newConnections([]int{1, 2, 3}, 80*time.Millisecond, until)
	var wg sync.WaitGroup
	wg.Go(one.run)
	wg.Go(others.run)
	wg.Wait()
	for _, c := range []struct {
		name string
		*requestSender
	}{{"router 0", one}, {"the others", others}} {
		served, sent := c.served(begin.Add(cutDetection), until)
		t.Logf("%s: %d of %d served, %d of %d before", c.name, served, sent, normal, all)
		assert.Check(t, 4*served*all >= 3*normal*sent, "%s: %d of %d requests are served, %d of %d before", c.name, served, sent, normal, all)
	}
}
