package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/proxy"
	"wisteriaspool/standin/replica"
)

// brokenOff describes how an endpoint breaks a stream off in the middle of an event
// and ends the response, or its connection, as after a complete one.
type brokenOff struct {
	name        string
	undelimited bool
	cutBytes    int // of the event
}

func brokenOffCases() []brokenOff {
	return []brokenOff{
		{"undelimited, inside a line", true, len("id: 3\ndata")},
		{"undelimited, after a line", true, len("id: 3\n")},
		{"undelimited, before the empty line", true, len("id: 3\ndata: token 3\n")},
		{"chunked, inside a line", false, len("id: 3\ndata")},
		{"chunked, before the empty line", false, len("id: 3\ndata: token 3\n")},
	}
}

// putAttempts lets requests be sent to so many endpoints that a response which is only
// late on a busy machine takes none from those that tests are about.
func (s *relayCluster) putAttempts() {
	d := plainState()
	for _, r := range d.routes {
		if r["attempts"] == 2 {
			r["attempts"] = 6
		}
	}
	s.put(d)
}

// eventDelay makes responses take so long that a busy machine seldom makes one look late.
const eventDelay = 20 * time.Millisecond

// start adds three endpoints, of which the first breaks streams off.
func (b brokenOff) start(s *relayCluster) {
	s.putAttempts()
	for n := range 3 {
		s.addReplica(replica.Options{ID: fmt.Sprintf("bare%d", n), Service: "model", Zone: "a", Undelimited: b.undelimited, Delay: eventDelay})
	}
	s.awaitUsed("/resumable/first")
	s.replicas[0].SetFaults(replica.Faults{CutAfter: 2, CutBytes: b.cutBytes, CutInOrder: true})
}

// awaitUsed waits until each router uses each endpoint for a path.
func (s *relayCluster) awaitUsed(path string) {
	for router := range s.routers {
		for _, r := range s.replicas {
			before := len(r.Arrivals())
			poll.WaitOn(s.t, func(poll.LogT) poll.Result {
				s.send(router, path, "X-Prefix-Hash", freshID()+":50,cc:10")
				if len(r.Arrivals()) > before {
					return poll.Success()
				}
				return poll.Continue("router %d does not use %s", router, r.Key())
			}, poll.WithDelay(20*time.Millisecond))
		}
	}
}

// Guards against a stream that ends inside an event and reaches its caller as complete.
func TestRelayShowsStreamThatEndsInsideEvent(t *testing.T) {
	for _, b := range brokenOffCases() {
		t.Run(b.name, func(t *testing.T) {
			s := newRelayCluster(t, 1, 0, 0)
			b.start(s)
			brokenOff := 0
			for n := range 24 {
				got := s.send(0, fmt.Sprintf("/stream/%d", n), "X-Prefix-Hash", freshID()+":50,cc:10")
				if got.err == nil {
					assert.Equal(t, got.body, events(1, 5))
					continue
				}
				brokenOff++
				assert.Equal(t, got.body, events(1, 2))
				assert.Equal(t, s.runs(fmt.Sprintf("/stream/%d", n)), 1)
			}
			assert.Assert(t, brokenOff > 0)
		})
	}
}

// Guards against a resumable stream that ends inside an event and is not resumed.
func TestRelayResumesStreamThatEndsInsideEvent(t *testing.T) {
	for _, b := range brokenOffCases() {
		t.Run(b.name, func(t *testing.T) {
			s := newRelayCluster(t, 1, 0, 0)
			b.start(s)
			for range 12 {
				got := s.send(0, "/resumable/2", "X-Prefix-Hash", freshID()+":50,cc:10")
				assert.NilError(t, got.err, "%q", s.logs.lines("relay-attempt"))
				assert.Equal(t, got.body, events(1, 5))
			}
		})
	}
}

// Guards against the same through another router.
func TestRelayResumesDetouredStreamThatEndsInsideEvent(t *testing.T) {
	l := newLinks(t)
	s := newLinkedRelayCluster(t, l, 2, 0, 0)
	brokenOffCases()[0].start(s)
	l.set(0, resetCut)
	for range 8 {
		got := s.send(0, "/resumable/2", "X-Prefix-Hash", freshID()+":50,cc:10")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))
	}
}

// Guards against an endpoint that closes the connection before the first event, and
// whose caller takes the empty stream for complete.
func TestRelayShowsUndelimitedStreamWithoutEvents(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 0)
	r := s.addReplica(replica.Options{ID: "bare", Service: "model", Zone: "a", Undelimited: true, Events: 5})
	s.awaitServed("/resumable/first")
	got := s.send(0, "/stream/rest", "Last-Event-Id", "5")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "")
	r.SetFaults(replica.Faults{CutAfter: -1, CutInOrder: true})
	assert.Assert(t, s.send(0, "/stream/1").err != nil)
}

// Guards against a broken off stream that looks complete to a caller of HTTP/1.0, whose
// responses end with their connection.
func TestRelayShowsBrokenOffStreamToOldCallers(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 1)
	s.replicas[0].SetFaults(replica.Faults{CutAfter: 2})
	for _, head := range []string{"POST /stream/1 HTTP/1.0\r\n", "POST /stream/1 HTTP/1.1\r\nConnection: close\r\n"} {
		c, err := net.Dial("tcp", s.routers[0].CallersAddress())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "%sHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Token-Usage: 10,10\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", head, freshID())
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, head)
		assert.NilError(t, c.Close())
	}
}

// Guards against a process that ends between two events, or inside a body, and whose
// undelimited response reaches its caller as complete.
func TestRelayShowsUndelimitedResponseOfDeadEndpoint(t *testing.T) {
	for _, test := range []struct {
		service, path string
		repeatable    bool
	}{
		{"model", "/resumable/1", true},
		{"model", "/stream/1", false},
		{"desk", "/safe/1", true},
		{"desk", "/unsafe/1", false},
	} {
		t.Run(test.path, func(t *testing.T) {
			s := newRelayCluster(t, 1, 0, 0)
			s.putAttempts()
			for n := range 3 {
				s.addReplica(replica.Options{ID: fmt.Sprintf("bare%d", n), Service: test.service, Zone: "a", Undelimited: true, Delay: eventDelay})
			}
			s.awaitUsed(test.path)
			exits := s.replicas[0]
			exits.SetFaults(replica.Faults{CutAfter: 2, CutBytes: -1, CutInOrder: true, CutExits: true})
			for before := len(exits.Arrivals()); len(exits.Arrivals()) == before; {
				got := s.send(0, test.path, "X-Prefix-Hash", freshID()+":50,cc:10")
				whole := got.err == nil && got.status == http.StatusOK
				if whole {
					want := events(1, 5)
					if test.service == "desk" {
						want = "done " + got.header.Get("X-Attempt-Id")
					}
					assert.Equal(t, got.body, want)
				}
				assert.Equal(t, whole, test.repeatable || len(exits.Arrivals()) == before)
			}
		})
	}
}

// Guards against the undelimited response of a dead endpoint that reaches its caller as complete since it came through another router.
func TestRelayShowsDetouredUndelimitedResponseOfDeadEndpoint(t *testing.T) {
	for _, test := range []struct {
		service, path string
		cut           cutKind
	}{
		{"model", "/resumable/1", silentCut},
		{"model", "/stream/1", silentCut},
		{"desk", "/safe/1", silentCut},
		{"desk", "/unsafe/1", silentCut},
		{"model", "/stream/2", newCut},
		{"desk", "/unsafe/2", newCut},
	} {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			l := newLinks(t)
			s := newLinkedRelayCluster(t, l, 2, 0, 0)
			s.putAttempts()
			for n := range 3 {
				s.addReplica(replica.Options{ID: fmt.Sprintf("bare%d", n), Service: test.service, Zone: "a", Undelimited: true, Delay: eventDelay})
			}
			s.awaitUsed(test.path)
			l.set(0, test.cut)
			// The router finds its ways through the other one.
			for range 6 {
				s.send(0, test.path, "X-Prefix-Hash", freshID()+":50,cc:10")
			}
			exits := s.replicas[0]
			exits.SetFaults(replica.Faults{CutAfter: 2, CutBytes: -1, CutInOrder: true, CutExits: true})
			deadline := time.Now().Add(20 * time.Second)
			for before := len(exits.Arrivals()); len(exits.Arrivals()) == before; {
				assert.Assert(t, time.Now().Before(deadline), "no request reaches the endpoint")
				got := s.send(0, test.path, "X-Prefix-Hash", freshID()+":50,cc:10")
				if got.err != nil || got.status != http.StatusOK {
					continue
				}
				want := events(1, 5)
				if test.service == "desk" {
					want = "done " + got.header.Get("X-Attempt-Id")
				}
				assert.Equal(t, got.body, want)
			}
		})
	}
}

// Guards against the same where the other routers, which would confirm that the endpoint refuses connections, do not reply.
func TestRelayShowsUndelimitedResponseOfDeadEndpointWhileOthersAreSilent(t *testing.T) {
	for _, path := range []string{"/stream/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s, l := newProxiedCluster(t, 3, "v1")
			exits := s.addReplica(replica.Options{ID: "bare", Service: "model", Zone: "a", Version: "v1", Undelimited: true, Delay: eventDelay, Events: 12})
			for n := range l.peers {
				s.awaitEndpoints(n, 3)
			}
			exits.SetFaults(replica.Faults{CutAfter: 2, CutBytes: -1, CutInOrder: true, CutExits: true})
			for _, p := range l.peers {
				p.SetMode(proxy.Mode{Silent: true})
			}
			deadline := time.Now().Add(10 * time.Second)
			for before := len(exits.Arrivals()); len(exits.Arrivals()) == before; {
				assert.Assert(t, time.Now().Before(deadline), "no request reaches the endpoint")
				got := s.send(0, path, "X-Prefix-Hash", freshID()+":50,cc:10")
				whole := got.err == nil && got.status == http.StatusOK
				assert.Assert(t, !whole || strings.Count(got.body, "\n\n") == 12, "%q", got.body)
			}
		})
	}
}
