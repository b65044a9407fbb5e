package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/replica"
)

func TestRelayServesEachRouteType(t *testing.T) {
	s := newRelayCluster(t, 2, 2, 2)
	for router := range s.routers {
		whole := s.send(router, "/safe/1")
		assert.NilError(t, whole.err)
		assert.Equal(t, whole.status, 200)
		assert.Equal(t, whole.body, "done "+whole.header.Get("X-Attempt-Id"))
		assert.Assert(t, whole.header.Get("X-Server-Signature") != "")
		stream := s.send(router, "/stream/1")
		assert.NilError(t, stream.err)
		assert.Equal(t, stream.body, events(1, 5))
		assert.Equal(t, s.send(router, "/nowhere/").status, 404)
		assert.Equal(t, s.send(router, "/safe/1", "Authorization", "Bearer nobody").status, 401)
		assert.Equal(t, s.send(router, "/public/1", "Authorization", "").status, 200)
	}
}

// A caller names a client account, and headers that only the fleet sets. The
// endpoint must see the account that holds the caller's key.
func TestRelayReplacesInternalHeaders(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	assert.Equal(t, s.send(0, "/safe/1", "X-Tenant", "zeta", "Kv-Fetch", "10.0.0.1:1").status, 200)
	a := s.replicas[0].Arrivals()[0]
	assert.Equal(t, a.Tenant, "acme")
	assert.Equal(t, a.Fetch, "")
}

// An endpoint dies in the middle of an event of a stream that may go on
// elsewhere. The caller gets every event once, and none in part.
func TestRelayResumesStreamAtAnotherEndpoint(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 2)
	for _, r := range s.replicas {
		r.Fail(replica.Faults{CutAfter: 2})
	}
	// The endpoint that goes on gets the id of the last whole event, and cuts
	// nothing, since it sends the third event on.
	first := s.send(0, "/resumable/1")
	assert.Assert(t, first.err != nil, "both endpoints cut: the stream must not look complete")
	assert.Assert(t, strings.HasPrefix(events(1, 5), first.body), "%q", first.body)
	s.replicas[1].Fail(replica.Faults{})
	s.replicas[0].Fail(replica.Faults{CutAfter: 2})
	for range 8 {
		got := s.send(0, "/resumable/2", "X-Prefix-Hash", freshID()+":50,cc:10")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(1, 5))
	}
}

// A stream that must not run twice breaks off. The caller sees that it is not
// complete, and no other endpoint runs it.
func TestRelayDoesNotRetryNonResumableStream(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 2)
	for _, r := range s.replicas {
		r.Fail(replica.Faults{CutAfter: 2})
	}
	got := s.send(0, "/stream/1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 2))
	assert.Equal(t, s.runs("/stream/1"), 1)
}

// An endpoint runs an order and its answer is lost. Nobody can tell whether it
// ran, so the caller must not be told that it did not, and it must not run
// again.
func TestRelayNeverRetriesUnsafeRequest(t *testing.T) {
	s := newRelayCluster(t, 1, 2, 0)
	for _, r := range s.replicas {
		r.Fail(replica.Faults{CutLate: true})
	}
	assert.Equal(t, s.send(0, "/unsafe/1").status, 502)
	assert.Equal(t, s.runs("/unsafe/1"), 1)
	assert.Equal(t, s.send(0, "/safe/1").status, 502)
	assert.Equal(t, s.runs("/safe/1"), 2)
}

func TestRelayRetriesSafeRequest(t *testing.T) {
	s := newRelayCluster(t, 1, 2, 0)
	s.replicas[0].Fail(replica.Faults{Status: 500})
	for range 8 {
		assert.Equal(t, s.send(0, "/safe/1").status, 200)
	}
}

// The only endpoint of a pool fails requests now and then. A safe request is
// tried there again, as it may be; if it fails for good, the caller gets the
// endpoint's own answer and not one that the router makes up.
func TestRelayRetriesAtOnlyEndpoint(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	s.replicas[0].Fail(replica.Faults{Status: 500})
	got := s.send(0, "/safe/1")
	assert.Equal(t, got.status, 500)
	assert.Assert(t, got.header.Get("X-Server-Signature") != "")
	assert.Equal(t, s.runs("/safe/1"), 2)
	s.replicas[0].Fail(replica.Faults{Status: 500, Times: 1})
	assert.Equal(t, s.send(0, "/safe/2").status, 200)
	assert.Equal(t, s.send(0, "/unsafe/3").status, 200)
}

// The router that owns all endpoints of a pool is killed without a word. Until
// the others do without it, they place by what they know themselves.
func TestRelayServesWhileAnOwnerIsDead(t *testing.T) {
	s := newRelayCluster(t, 2, 3, 0)
	go stopper{s.stops[1], make(chan int, 1)}.run()
	for range 20 {
		assert.Equal(t, s.send(0, "/unsafe/1").status, 200)
		time.Sleep(10 * time.Millisecond)
	}
}

// All endpoints are full. The caller is told at once that its order was not
// run, and when to come back.
func TestRelayRefusesAtOnceIfAllEndpointsAreFull(t *testing.T) {
	s := newRelayCluster(t, 1, 2, 0)
	for _, r := range s.replicas {
		r.Fail(replica.Faults{Full: true})
	}
	start := time.Now()
	got := s.send(0, "/unsafe/1")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, got.header.Get("X-Server-Signature"), "")
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Equal(t, s.runs("/unsafe/1"), 0)
}

// An endpoint is killed. Until its entry is gone, requests meet nobody at its
// address; they have not run there and go elsewhere.
func TestRelayAvoidsDeadEndpoint(t *testing.T) {
	s := newRelayCluster(t, 2, 3, 0)
	s.kill[1]()
	for n := range 12 {
		assert.Equal(t, s.send(n%2, "/unsafe/1").status, 200)
	}
	assert.Equal(t, s.runs("/unsafe/1"), 12)
}

// The caller goes away in the middle of a stream. The endpoint must stop
// within half a second: nobody reads what it makes, and somebody pays.
func TestRelayCancelsAttemptIfCallerDisconnects(t *testing.T) {
	s := newRelayCluster(t, 1, 0, 1)
	slow := s.addReplica(replica.Options{ID: "slow", Service: "model", Zone: "a", Events: 1000, Pause: 20 * time.Millisecond})
	s.kill[0]()
	s.store.Delete(s.replicas[0].Key())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		resp, err := s.client.Do(s.request(ctx, 0, "/stream/1"))
		if err != nil || resp.StatusCode != 200 {
			return poll.Continue("not served yet")
		}
		_, _ = bufio.NewReader(resp.Body).ReadString('\n')
		return poll.Success()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, a := range slow.Arrivals() {
			if a.Left {
				return poll.Success()
			}
		}
		return poll.Continue("the endpoint is still at work")
	}, poll.WithTimeout(500*time.Millisecond), poll.WithDelay(10*time.Millisecond))
}

// An operator takes a key away while the store turns one router away. A caller
// that comes through that router must be refused like through all others.
func TestRelayLearnsOfRevokedKeyFromPeers(t *testing.T) {
	s := newRelayCluster(t, 3, 1, 0)
	for n := range s.routers {
		assert.Equal(t, s.send(n, "/safe/1", "Authorization", "Bearer k2").status, 200)
	}
	s.store.Fail(hub.Faults{Mute: true}) // no watch hears of the change
	next := plainState()
	next.tenants = next.tenants[:1]
	s.put(next)
	s.store.Fail(hub.Faults{})
	s.store.Forget()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for n := range s.routers {
			if s.send(n, "/safe/1", "Authorization", "Bearer k2").status != 401 {
				return poll.Continue("router %d takes the key", n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(4*time.Second))
}

// Something unreadable is written over the desired state, and foreign entries
// beside those of the endpoints. The last good state stays in force.
func TestRelayKeepsLastValidState(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	s.store.Put("op/config", []byte("{not json"))
	s.store.Put("servers/foreign", []byte(`{"backend":7}`))
	s.store.Put("servers/\xff", []byte{0xff})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.logs.lines("settings-invalid")) > 0 && len(s.logs.lines("endpoint-malformed")) > 0 {
			return poll.Success()
		}
		return poll.Continue("no word of it in the log")
	})
	assert.Equal(t, s.send(0, "/safe/1").status, 200)
}

// The store goes away and the leases of all entries run out. The routers serve
// on with what they know.
func TestRelayServesWithoutTheStore(t *testing.T) {
	s := newRelayCluster(t, 2, 2, 1)
	s.store.Fail(hub.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	for _, r := range s.replicas {
		s.store.Delete(r.Key())
	}
	assert.Equal(t, s.send(0, "/safe/1").status, 200)
	s.store.Fail(hub.Faults{})
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, s.send(1, "/safe/1").status, 200)
	for _, r := range s.replicas {
		r.List()
	}
	time.Sleep(2500 * time.Millisecond)
	assert.Equal(t, s.send(1, "/safe/1").status, 200)
	assert.NilError(t, s.send(0, "/stream/1").err)
}

// A router is stopped while it serves. What it has begun it finishes, and it
// says at once that it takes no new callers.
func TestRelayStopsGracefully(t *testing.T) {
	s := newRelayCluster(t, 2, 1, 1)
	done := make(chan relayResponse, 1)
	go streamer{s, done}.run()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.runs("/stream/long") > 0 {
			return poll.Success()
		}
		return poll.Continue("not begun")
	}, poll.WithDelay(2*time.Millisecond))
	left := make(chan int, 1)
	go stopper{s.stops[0], left}.run()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !s.ready(0) {
			return poll.Success()
		}
		return poll.Continue("still ready")
	}, poll.WithDelay(2*time.Millisecond))
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, <-left, 0)
}

type streamer struct {
	cluster *relayCluster
	done    chan<- relayResponse
}

func (s streamer) run() { s.done <- s.cluster.send(0, "/stream/long") }

type stopper struct {
	stop func() int
	left chan<- int
}

func (s stopper) run() { s.left <- s.stop() }

// An endpoint announces that it stops. Requests that it has begun end there;
// none begins.
func TestRelayAvoidsDrainingEndpoint(t *testing.T) {
	s := newRelayCluster(t, 2, 2, 0)
	s.replicas[0].Drain()
	time.Sleep(300 * time.Millisecond)
	before := len(s.replicas[0].Arrivals())
	for n := range 10 {
		assert.Equal(t, s.send(n%2, "/safe/1").status, 200)
	}
	assert.Equal(t, len(s.replicas[0].Arrivals()), before)
}

// A route gives its answers half a second, and an endpoint takes longer. The
// caller has a final answer in time, and the endpoint is let off.
func TestRelayEnforcesRouteTimeout(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	next := plainState()
	next.routes[0]["timeoutMs"] = 300
	s.put(next)
	slow := s.addReplica(replica.Options{ID: "slow", Service: "desk", Zone: "a", Pause: 5 * time.Second})
	s.replicas[0].Drain()
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	got := s.send(0, "/safe/1")
	assert.Equal(t, got.status, 504)
	assert.Assert(t, time.Since(start) < 800*time.Millisecond, "%v", time.Since(start))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := slow.Arrivals(); len(a) == 1 && a[0].Left {
			return poll.Success()
		}
		return poll.Continue("still at work")
	})
}

// What a caller smuggles behind a request, or with two lengths, must not run
// as somebody's request.
func TestRelayRefusesSmuggling(t *testing.T) {
	s := newRelayCluster(t, 1, 1, 0)
	head := "POST /safe/smuggled HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nAuthorization: Bearer k1\r\n"
	evil := "GET /safe/evil HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: b\r\n\r\n"
	for name, text := range map[string]string{
		"two lengths":       head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + evil,
		"both framings":     head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + evil,
		"odd encoding":      head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + evil,
		"bad chunk":         head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + evil,
		"space before name": head + "Content-Length : 5\r\n\r\n" + evil,
		"line end in path":  "GET /safe/\x0b HTTP/1.1\r\nHost: desk.example\r\n\r\n" + evil,
	} {
		c, err := net.Dial("tcp", s.routers[0].CallersAddress())
		assert.NilError(t, err)
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		_, _ = io.ReadAll(c)
		_ = c.Close()
		for _, a := range s.replicas[0].Arrivals() {
			assert.Assert(t, a.Path != "/safe/evil" || a.Tenant == "", "%s: ran with somebody's account", name)
		}
	}
	assert.Equal(t, s.runs("/safe/evil"), 0)
}

// A request crashes each endpoint that runs it, and its caller sends it again
// and again, as soon as the routers can have heard of each other. It may take
// two endpoints, not the whole pool.
func TestRelayRefusesRequestThatCrashesEndpoints(t *testing.T) {
	s := newRelayCluster(t, 2, 0, 5)
	for _, r := range s.replicas {
		r.Fail(replica.Faults{Crash: "/resumable/poison"})
	}
	for n := range 6 {
		s.send(n%2, "/resumable/poison")
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, s.runs("/resumable/poison"), 2)
	for n := range 6 {
		assert.NilError(t, s.send(n%2, "/resumable/innocent").err)
	}
}

// A router gets a few requests a second for a pool of ten endpoints. Sent to all of
// them, each would need a new connection.
func TestRelayUsesFewEndpointsAtLowRate(t *testing.T) {
	s := newRelayCluster(t, 1, 10, 0)
	for n := range 24 {
		assert.Equal(t, s.send(0, fmt.Sprintf("/safe/%d", n)).status, 200)
		time.Sleep(100 * time.Millisecond)
	}
	met := 0
	for _, r := range s.replicas {
		if len(r.Arrivals()) > 0 {
			met++
		}
	}
	assert.Assert(t, met >= 2 && met <= 6, "%d endpoints were met", met)
}
