package daemon_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/loopback"
	"wisteriaspool/standin/proxy"
	"wisteriaspool/standin/replica"
)

// peerLinks are the links of the routers of a cluster to each other and to the store.
type peerLinks struct {
	peers, stores []*proxy.Proxy // by router
}

// addProxied adds a router whose links to the others and to the store pass through proxies.
func (l *peerLinks) addProxied(s *versionedCluster) {
	s.t.Helper()
	listener, err := net.Listen("tcp", loopback.Address())
	assert.NilError(s.t, err)
	address := listener.Addr().String()
	assert.NilError(s.t, listener.Close())
	peer, stop, err := proxy.New(address)
	assert.NilError(s.t, err)
	s.t.Cleanup(stop)
	store, stop, err := proxy.New(s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(stop)
	l.peers, l.stores = append(l.peers, peer), append(l.stores, store)
	s.addRouterWith(store.Address(), address+"\nadvertise = "+peer.Address(), "seeds = "+l.peers[0].Address())
}

// newProxiedCluster starts routers whose links can be cut, and endpoints of one version.
func newProxiedCluster(t *testing.T, routers int, version string) (*versionedCluster, *peerLinks) {
	s := newVersionedCluster(t, 0, 2, version)
	l := &peerLinks{}
	for range routers {
		l.addProxied(s)
	}
	for n := range routers {
		s.awaitReady(n)
		s.awaitMembers(n, routers)
		s.awaitEndpoints(n, 2)
	}
	return s, l
}

// Guards against a router that is cut off and takes up a stream at another version than the
// one that began it, as it has not heard of that version.
func TestRelayCutOffRouterRefusesStreamOfVersionThatJoined(t *testing.T) {
	t.Parallel()
	s, l := newProxiedCluster(t, 3, "v1")
	for _, p := range l.peers {
		p.SetMode(proxy.Mode{Silent: true})
	}
	l.stores[2].SetMode(proxy.Mode{Silent: true})
	s.addVersion("v1.1", 0)
	s.awaitEndpoints(0, 3)
	old := s.beginAt("v1.1", 0, 2, "X-Deadline-Ms", "20000")
	old.cancel()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		start := time.Now()
		got := s.resume(2, old)
		assert.Equal(t, got.status, 503, got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
	}
	l.stores[2].SetMode(proxy.Mode{})
	for _, p := range l.peers {
		p.SetMode(proxy.Mode{})
	}
	s.awaitEndpoints(2, 3)
}

// Guards against a router that reaches the others but not the store, and refuses streams that
// nobody knows although all endpoints have one version.
func TestRelayRouterWithoutStoreTakesUpStreamOfSingleVersion(t *testing.T) {
	t.Parallel()
	s, l := newProxiedCluster(t, 3, "v1")
	l.stores[2].SetMode(proxy.Mode{Silent: true})
	time.Sleep(time.Second)
	got := s.resume(2, openStream{attempt: freshID(), body: "id: 1\ndata: token 1 of v1\n\n"})
	assert.Equal(t, got.status, 200, got.body)
	for _, p := range l.stores {
		p.SetMode(proxy.Mode{Silent: true})
	}
	time.Sleep(time.Second)
	got = s.resume(1, openStream{attempt: freshID(), body: "id: 1\ndata: token 1 of v1\n\n"})
	assert.Equal(t, got.status, 200, got.body)
}

// Guards against a stream that its caller does not name and that goes on at the version of an
// earlier try, as the router that forwarded it is cut off.
func TestRelayRefusesUnnamedStreamOfRouterThatIsCutOff(t *testing.T) {
	t.Parallel()
	s, l := newProxiedCluster(t, 3, "v1")
	s.addVersion("v1.1", 0)
	for n := range 3 {
		s.awaitEndpoints(n, 3)
	}
	for _, p := range l.peers {
		p.SetMode(proxy.Mode{Silent: true})
	}
	var prompt string
	var lost openStream
	for version := ""; version != "v1.1"; version = versionsIn(lost.body)[0] {
		prompt = freshID() + ":50,cc:10"
		lost = s.begin(0, 1, "X-Deadline-Ms", "20000", "X-Prefix-Hash", prompt)
		lost.cancel()
	}
	joined := s.replicas[len(s.replicas)-1]
	joined.SetFaults(replica.Faults{FullEvery: 1})
	st := s.begin(2, 3, "X-Deadline-Ms", "20000", "X-Prefix-Hash", prompt)
	st.cancel()
	assert.Equal(t, versionsIn(st.body)[0], "v1")
	joined.SetFaults(replica.Faults{})
	got := s.send(0, "/resumable/1", "X-Prefix-Hash", prompt, "Last-Event-Id", "3")
	assert.Equal(t, got.status, 503, "%s%s", st.body, got.body)
}
