package daemon_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a router that is cut off and takes what it knows of a content for all streams
// with it: one that began elsewhere since, at another version, goes on at the first one's.
func TestRelayCutOffRouterRefusesUnnamedStreamWhoseContentBeganElsewhere(t *testing.T) {
	t.Parallel()
	s, l := newProxiedCluster(t, 3, "v1")
	s.addVersion("v1.1", 0)
	for n := range l.peers {
		s.awaitEndpoints(n, 3)
	}
	prompt := "aa:50," + fmt.Sprintf("%x", time.Now().UnixNano()) + ":10"
	header := []string{"X-Deadline-Ms", "20000", "X-Prefix-Hash", prompt}
	s.beginAt("v1", 2, 2, header...).cancel()
	time.Sleep(200 * time.Millisecond)
	for _, p := range l.peers {
		p.Cut("", true)
	}
	l.stores[2].Cut("", true)
	for n := range 2 {
		s.replicas[n].Drain()
	}
	time.Sleep(300 * time.Millisecond)
	st := unnamedStream{s.beginAt("v1.1", 0, 2, header...), prompt}
	st.cancel()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		got := s.do(s.unnamedRequest(2, st))
		joined := got.status == 200 && strings.Contains(got.body, " of v1\n")
		assert.Assert(t, !joined, got.body)
	}
}
