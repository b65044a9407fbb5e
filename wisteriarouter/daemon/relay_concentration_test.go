package daemon_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newConnections sends requests over a new connection each, in turn short ones and streams.
type newConnections struct {
	cluster  *relayCluster
	routers  []int // in turn
	interval time.Duration
	until    time.Time

	mu      sync.Mutex
	answers []promptAnswer
	wg      sync.WaitGroup
}

func (c *newConnections) run() {
	for n := 0; time.Now().Before(c.until); n++ {
		c.wg.Go(newConnection{c, n}.run)
		time.Sleep(c.interval)
	}
	c.wg.Wait()
}

// newConnection is one request of newConnections.
type newConnection struct {
	*newConnections
	n int
}

func (c newConnection) run() {
	ctx, cancel := context.WithTimeout(c.cluster.t.Context(), 4*time.Second)
	defer cancel()
	path := []string{"/safe/", "/unsafe/", "/resumable/", "/stream/"}[c.n%4]
	req := c.cluster.request(ctx, c.routers[c.n%len(c.routers)], path+freshID())
	req.Close = true
	sent := time.Now()
	got := promptAnswer{relayResponse: c.cluster.do(req), sent: sent}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, got)
}

// served returns how many requests that were sent after a time were served.
func (c *newConnections) served(from time.Time) (served, all int) {
	for _, a := range c.answers {
		if a.sent.Before(from) {
			continue
		}
		all++
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
	}
	return served, all
}

// Guards against a router that cannot serve what most new connections of a zone bring, or
// whose requests get less than their share of the endpoints, as they all go to it for some
// seconds and callers open more of them.
func TestRelayServesMostNewConnectionsAtOneRouter(t *testing.T) {
	s := newRelayCluster(t, 4, 4, 4)
	for n := range s.routers {
		assert.Equal(t, s.send(n, "/safe/first").status, http.StatusOK)
	}
	spread := &newConnections{cluster: s, routers: []int{0, 1, 2, 3}, interval: 20 * time.Millisecond, until: time.Now().Add(2 * time.Second)}
	spread.run()
	normal, all := spread.served(time.Time{})
	assert.Assert(t, all > 0)
	begin := time.Now()
	until := begin.Add(cutDetection + 3*time.Second)
	one := &newConnections{cluster: s, routers: []int{0}, interval: 8 * time.Millisecond, until: until}
	others := &newConnections{cluster: s, routers: []int{1, 2, 3}, interval: 80 * time.Millisecond, until: until}
	var wg sync.WaitGroup
	wg.Go(one.run)
	wg.Go(others.run)
	wg.Wait()
	for _, c := range []*newConnections{one, others} {
		served, sent := c.served(begin.Add(cutDetection))
		t.Logf("routers %v: %d of %d served, %d of %d before", c.routers, served, sent, normal, all)
		assert.Check(t, 4*served*all >= 3*normal*sent, "routers %v: %d of %d requests are served, %d of %d before", c.routers, served, sent, normal, all)
	}
}
