package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/wisteriarouter/upstream"
)

// A response must become overdue while there is still time for another attempt.
func TestOverdueDelay(t *testing.T) {
	tests := []struct {
		name             string
		patience, target time.Duration
		want             time.Duration
	}{
		{"nothing is known", 0, 0, 0},
		{"others answer soon", 200 * time.Millisecond, time.Second, 200 * time.Millisecond},
		{"others take long", 3 * time.Second, time.Second, 500 * time.Millisecond},
		{"no target", 3 * time.Second, 0, 3 * time.Second},
		{"others are not known", 0, time.Second, 500 * time.Millisecond},
	}
	for _, test := range tests {
		assert.Equal(t, overdueDelay(test.patience, test.target), test.want, test.name)
	}
}

// suspect is a tracker of suspects to which each request is one, or none.
type suspect bool

func (s suspect) Track(context.Context, Suspect, coordination.Pool) (TrackedRequest, *outcome.Refusal) {
	return trackedSuspect{suspect: s}, nil
}
func (suspect) EndpointDied(coordination.Endpoint, coordination.Incarnation) {}

// trackedSuspect is a request that suspect tracks.
type trackedSuspect struct {
	TrackedRequest
	suspect
}

func (s trackedSuspect) Alone() bool               { return bool(s.suspect) }
func (trackedSuspect) Convicted() *outcome.Refusal { return nil }
func (trackedSuspect) LatelyCompleted() bool       { return false }
func (trackedSuspect) Crashed(context.Context, Placement, bool) *outcome.Refusal {
	return &outcome.Refusal{Message: "it crashes endpoints"}
}
func (trackedSuspect) Unsettled(Placement, bool) {}
func (trackedSuspect) End(_, _ bool)             {}

// manyRetries is a retry budget that is never spent.
type manyRetries struct{ noRetries }

func (manyRetries) Take(coordination.Pool) bool { return true }

// Guards against a suspect that moves on from an endpoint that answers nothing before it
// crashes, to the next one.
func TestOverdueSuspectDoesNotMove(t *testing.T) {
	for _, test := range []struct {
		suspect suspect
		second  int32 // requests that reach the second endpoint
	}{{false, 1}, {true, 0}} {
		var second atomic.Int32
		answer := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Server-Signature", "s")
		}
		slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			answer(w, r)
		}))
		defer slow.Close()
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			second.Add(1)
			answer(w, r)
		}))
		defer other.Close()
		p := &listPlacer{firstByteLimit: 20 * time.Millisecond}
		for _, srv := range []*httptest.Server{slow, other} {
			p.addresses = append(p.addresses, strings.TrimPrefix(srv.URL, "http://"))
		}
		w := serveWithRetries(t, p, test.suspect, manyRetries{})
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, second.Load(), test.second)
	}
}

// countingEndpoint starts an endpoint that answers and counts requests, and returns its
// address.
func countingEndpoint(t *testing.T, n *atomic.Int32) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Signature", "s")
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// breakingEndpoint starts an endpoint that breaks its first connection off after it has
// received a part of a request, and refuses further ones after delay. It returns its
// address.
func breakingEndpoint(t *testing.T, delay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go breaker{l, delay}.run()
	return l.Addr().String()
}

// breaker is the process of a breakingEndpoint.
type breaker struct {
	listener net.Listener
	delay    time.Duration
}

func (b breaker) run() {
	c, err := b.listener.Accept()
	if err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
	time.Sleep(b.delay)
	_ = b.listener.Close()
}

// Guards against a suspect that runs at another endpoint while the one that it has crashed
// still accepts connections.
func TestSuspectWaitsUntilEndpointIsKnownToBeDead(t *testing.T) {
	for _, test := range []struct {
		suspect suspect
		second  int32 // requests that reach the second endpoint
	}{{false, 1}, {true, 0}} {
		var second atomic.Int32
		p := &listPlacer{addresses: []string{breakingEndpoint(t, 200*time.Millisecond), countingEndpoint(t, &second)}}
		w := serveWithRetries(t, p, test.suspect, manyRetries{})
		assert.Equal(t, w.Code == http.StatusOK, test.second == 1)
		assert.Equal(t, second.Load(), test.second)
	}
}

// lateSender returns the response of an address only once its attempt has been given up.
type lateSender struct {
	Sender
	address string
}

func (s lateSender) Send(ctx context.Context, address string, r *upstream.Request) (*upstream.Response, error) {
	resp, err := s.Sender.Send(ctx, address, r)
	if address == s.address {
		<-ctx.Done()
	}
	return resp, err
}

// streamEndpoint starts an endpoint that writes events up to an id, which name it. It ends the
// stream after the second one, or else when its caller leaves. It returns its address.
func streamEndpoint(t *testing.T, name string, last int) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= last; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, name)
		}
		_ = http.NewResponseController(w).Flush()
		if last < 2 {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a stream of two endpoints' events, as the first event arrives just when the
// request moves on because it is overdue.
func TestEventsOfOverdueAttemptAreNotForwarded(t *testing.T) {
	client, cleanup := upstream.NewClient(upstream.Config{})
	defer cleanup()
	p := &listPlacer{firstByteLimit: 20 * time.Millisecond, addresses: []string{streamEndpoint(t, "first", 1), streamEndpoint(t, "second", 2)}}
	w := serveRoute(t, route.Route{Kind: route.Stream, Resumable: true}, lateSender{client, p.addresses[0]}, p, nil, manyRetries{})
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "id: 1\ndata: second\n\nid: 2\ndata: second\n\n")
}
