package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/wisteriarouter/upstream"
)

// listPlacer places requests at the first of its endpoints that is not excluded, whether
// it is serving or not.
type listPlacer struct {
	fullPlacer
	addresses []string // of the endpoints e0, e1, ...
	mu        sync.Mutex
	left      []coordination.Endpoint
	// firstByteLimit is after how long a response is overdue; zero for never.
	firstByteLimit time.Duration
}

func (p *listPlacer) Place(_ context.Context, r PlacementRequest) (Placement, *outcome.Refusal) {
	for n, address := range p.addresses {
		if id := coordination.Endpoint(fmt.Sprintf("e%d", n)); !slices.Contains(r.Exclude, id) {
			return Placement{Endpoint: id, Address: address, FirstByteLimit: p.firstByteLimit, Release: func() {}}, nil
		}
	}
	return Placement{}, &outcome.Refusal{Message: "none is left"}
}

func (p *listPlacer) Serving(id coordination.Endpoint, _ coordination.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.Contains(p.left, id)
}

func (p *listPlacer) MaySend(id coordination.Endpoint, n coordination.Incarnation, _ coordination.Instance) bool {
	return p.Serving(id, n)
}

func (p *listPlacer) Leaving(id coordination.Endpoint, _ coordination.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = append(p.left, id)
}

// Guards against a request that is sent to an endpoint which left after the request had
// its place there, and against one that is refused although another endpoint is left.
func TestRequestIsHeldBackFromEndpointThatLeft(t *testing.T) {
	for _, test := range []struct {
		endpoints int
		left      []coordination.Endpoint
		status    int
		arrivals  string
	}{
		{2, nil, http.StatusOK, "[1 0]"},
		{2, []coordination.Endpoint{"e0"}, http.StatusOK, "[0 1]"},
		{2, []coordination.Endpoint{"e0", "e1"}, http.StatusServiceUnavailable, "[0 0]"},
		{6, []coordination.Endpoint{"e0", "e1", "e2", "e3", "e4"}, http.StatusServiceUnavailable, "[0 0 0 0 0 0]"},
	} {
		p := &listPlacer{left: test.left}
		counts := make([]atomic.Int32, test.endpoints)
		for n := range counts {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				counts[n].Add(1)
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Server-Signature", "s")
			}))
			defer srv.Close()
			p.addresses = append(p.addresses, strings.TrimPrefix(srv.URL, "http://"))
		}
		w := serveOnce(t, p, nil)
		assert.Equal(t, w.Code, test.status)
		var arrivals []int32
		for n := range counts {
			arrivals = append(arrivals, counts[n].Load())
		}
		assert.Equal(t, fmt.Sprint(arrivals), test.arrivals)
	}
}

// lateConviction is a tracker of suspects that finds the request to crash endpoints while
// it waits for a connection.
type lateConviction struct{ TrackedRequest }

func (lateConviction) Track(context.Context, Suspect, coordination.Pool) (TrackedRequest, *outcome.Refusal) {
	return lateConviction{}, nil
}
func (lateConviction) EndpointDied(coordination.Endpoint, coordination.Incarnation) {}
func (lateConviction) Alone() bool                                                  { return false }
func (lateConviction) End(_, _ bool)                                                {}
func (lateConviction) Convicted() *outcome.Refusal {
	return &outcome.Refusal{Message: "it crashes endpoints", RetryAfter: time.Minute}
}

// Guards against a request that is sent although all routers have come to refuse it since
// its arrival.
func TestRequestConvictedSinceItsArrivalIsHeldBack(t *testing.T) {
	arrivals := new(atomic.Int32)
	w := serveOnce(t, &listPlacer{addresses: []string{countingEndpoint(t, arrivals)}}, lateConviction{})
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "60.000")
	assert.Equal(t, arrivals.Load(), int32(0))
}

// serveOnce serves one request that may be sent to two endpoints.
func serveOnce(t *testing.T, p Placer, suspects SuspectTracker) *httptest.ResponseRecorder {
	return serveWithRetries(t, p, suspects, noRetries{})
}

// serveWithRetries is serveOnce with a retry budget.
func serveWithRetries(t *testing.T, p Placer, suspects SuspectTracker, retries RetryBudget) *httptest.ResponseRecorder {
	sender, cleanup := upstream.NewClient(upstream.Config{})
	defer cleanup()
	return serveWith(t, sender, p, suspects, retries)
}

// serveWith is serveWithRetries with a client that sends requests to endpoints.
func serveWith(t *testing.T, sender Sender, p Placer, suspects SuspectTracker, retries RetryBudget) *httptest.ResponseRecorder {
	return serveRoute(t, route.Route{Kind: route.Safe}, sender, p, suspects, retries)
}

// serveRoute is serveWith for a kind of route.
func serveRoute(t *testing.T, kind route.Route, sender Sender, p Placer, suspects SuspectTracker, retries RetryBudget) *httptest.ResponseRecorder {
	kind.Host, kind.Prefix, kind.Public, kind.Attempts, kind.Shares = "example.com", "/", true, 2, []route.Share{{Pool: "p", Weight: 1}}
	known := make(chan struct{})
	close(known)
	s := &Server{
		Desired: &lateDesired{known: known, table: route.NewTable(route.State{
			Version: 1,
			Routes:  []route.Route{kind},
		})},
		Placer: p, Sender: sender, Retries: retries, Suspects: suspects,
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
	r.Header.Set("X-Attempt-Id", "a")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}
