package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/replica"
)

// newTestSoak returns a soak with one endpoint, to which a test sends requests
// that simulate a faulty router.
func newTestSoak(t *testing.T) (*soak, *replica.Replica) {
	s := &soak{store: hub.New(), inspector: replica.NewInspector()}
	s.load = newLoad(s)
	r, stop, err := replica.Start(s.store, replica.Options{ID: "r", Service: "desk", Zone: "z"})
	assert.NilError(t, err)
	t.Cleanup(stop)
	s.endpoints = append(s.endpoints, &endpoint{Replica: r, id: "r"})
	return s, r
}

// historyStart is the start of the test histories.
var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newArrival returns a correct run, with its start and end in milliseconds after
// historyStart.
func newArrival(id, path string, from, to int) arrival {
	return arrival{
		Arrival: replica.Arrival{
			ID: id, Path: path + id, Body: requestBody, Tenant: clientAccount, Timeout: callerDeadline,
			StartedAt: historyStart.Add(time.Duration(from) * time.Millisecond), EndedAt: historyStart.Add(time.Duration(to) * time.Millisecond),
		},
		endpoint: "e1", service: routeServices[path],
	}
}

// with returns a copy of the arrival, modified by change.
func (a arrival) with(change func(a *arrival)) arrival {
	change(&a)
	return a
}

// Guards against a soak that passes because it cannot detect faults. Each history
// contains one fault as a faulty router would cause it.
func TestHistoryDetectsViolations(t *testing.T) {
	safe, unsafe := outcome{id: "q1", path: "/safe/", status: 200}, outcome{id: "q1", path: "/unsafe/", status: 200}
	once := func(path string) []arrival { return []arrival{newArrival("q1", path, 0, 20)} }
	twice := func(path string) []arrival { return append(once(path), newArrival("q1", path, 30, 50)) }
	changed := func(change func(a *arrival)) []arrival {
		return []arrival{newArrival("q1", "/safe/", 0, 20).with(change)}
	}
	tests := []struct {
		name string
		o    outcome
		runs []arrival
		want string
	}{
		{"an order that ran once", unsafe, once("/unsafe/"), ""},
		{"an order that ran twice", unsafe, twice("/unsafe/"), "ran 2 times"},
		{"a stream that ran twice", outcome{id: "q1", path: "/stream/", status: 200}, twice("/stream/"), "ran 2 times"},
		{"not run, though it ran", outcome{id: "q1", path: "/unsafe/", status: 503}, once("/unsafe/"), "has run"},
		{"not run, and it did not", outcome{id: "q1", path: "/unsafe/", status: 503}, nil, ""},
		{"a safe request that ran twice", safe, twice("/safe/"), ""},
		{"a safe request that ran three times", safe, append(twice("/safe/"), once("/safe/")...), "of two allowed"},
		{"nobody sent it", outcome{id: "q2", path: "/safe/", status: 200}, once("/safe/"), "nobody sent"},
		{"another path", safe, changed(func(a *arrival) { a.Path = "/safe/../q1" }), "changed"},
		{"a body that was cut", safe, changed(func(a *arrival) { a.Body = "bo" }), "changed"},
		{"another client account", safe, changed(func(a *arrival) { a.Tenant = "zeta" }), "changed"},
		{"the service of another route", safe, changed(func(a *arrival) { a.service = "model" }), "service model ran"},
		{"no deadline", safe, changed(func(a *arrival) { a.Timeout = 0 }), "had 0s"},
		{"more time than its caller has", safe, changed(func(a *arrival) { a.Timeout = 5 * time.Second }), "had 5s"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := history{outcomes: []outcome{test.o}, arrivals: test.runs}
			expectViolation(t, h.violations(), test.want)
		})
	}
}

func expectViolation(t *testing.T, broken []string, want string) {
	t.Helper()
	if want == "" {
		assert.Equal(t, len(broken), 0, "%v", broken)
		return
	}
	assert.Equal(t, len(broken), 1, "%v", broken)
	assert.Assert(t, strings.Contains(broken[0], want), broken[0])
}

// series returns n requests of a route, one every few milliseconds, that run for
// the given time and are distributed round-robin over the endpoints.
func series(n, every, lasts, endpoints int) (outcomes []outcome, arrivals []arrival) {
	for i := range n {
		id := fmt.Sprintf("q%d", i)
		outcomes = append(outcomes, outcome{id: id, path: "/safe/", status: 200})
		arrivals = append(arrivals, newArrival(id, "/safe/", i*every, i*every+lasts).with(func(a *arrival) { a.endpoint = fmt.Sprintf("e%d", i%endpoints) }))
	}
	return outcomes, arrivals
}

// Routers retry each request to a failing service, so that it never recovers.
func TestHistoryDetectsRetryStorm(t *testing.T) {
	for _, test := range []struct {
		again int
		want  string
	}{{70, ""}, {100, "second attempts"}} {
		outcomes, arrivals := series(100, 10, 5, 3)
		for i := range test.again {
			arrivals = append(arrivals, arrivals[i].with(func(a *arrival) { a.StartedAt = a.StartedAt.Add(time.Second) }))
		}
		h := history{outcomes: outcomes, arrivals: arrivals}
		expectViolation(t, h.checkRetries(), test.want)
	}
}

// All routers select the same endpoint while the others are idle.
func TestHistoryDetectsUnevenLoad(t *testing.T) {
	outcomes, arrivals := series(200, 10, 200, 4)
	h := history{outcomes: outcomes, arrivals: arrivals}
	for range 4 {
		h.servingPeriods = append(h.servingPeriods, servingPeriod{service: "desk", from: historyStart})
	}
	expectViolation(t, h.checkLoads(), "")
	for i := range arrivals {
		if i%10 != 0 {
			arrivals[i].endpoint = "e0"
		}
	}
	expectViolation(t, h.checkLoads(), "carried over")
	h.faultSpans = []timeSpan{{historyStart.Add(-time.Second), historyStart.Add(time.Second)}}
	expectViolation(t, h.checkLoads(), "")
}

// Callers disconnect, and endpoints keep working on their requests.
func TestHistoryDetectsWorkAfterDisconnect(t *testing.T) {
	for _, test := range []struct {
		name     string
		from, to int // of each run, in ms; the caller disconnects at 100 ms
		want     string
	}{
		{"stopped at once", 0, 120, ""},
		{"went on", 0, 1500, "worked for"},
		{"reached an endpoint late", 700, 710, "had left"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h history
			for i := range 8 {
				id := fmt.Sprintf("q%d", i)
				h.outcomes = append(h.outcomes, outcome{id: id, path: "/long/", disconnectedAt: historyStart.Add(100 * time.Millisecond)})
				h.arrivals = append(h.arrivals, newArrival(id, "/long/", test.from, test.to))
			}
			broken := h.checkDisconnects()
			assert.Equal(t, len(broken) > 0, test.want != "", "%v", broken)
			assert.Assert(t, strings.Contains(strings.Join(broken, "\n"), test.want), "%v", broken)
		})
	}
}

// A router reverts to an older version of the desired state, so that a removed key
// is accepted again.
func TestProberDetectsVersionRollback(t *testing.T) {
	for _, test := range []struct {
		name string
		good string // key that the router accepts after the newest one was seen
		want string
	}{{"goes on", versionKey(5), ""}, {"goes back", versionKey(3), "went back"}} {
		s, _ := newTestSoak(t)
		s.version, s.previous = 5, 3
		good := versionKey(5)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer "+good {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Server-Signature", "e."+r.Header.Get("X-Attempt-Id"))
			_, _ = w.Write([]byte("done " + r.Header.Get("X-Attempt-Id")))
		}))
		t.Cleanup(srv.Close)
		p := &prober{load: s.load, router: &router{callerAddress: strings.TrimPrefix(srv.URL, "http://")}}
		p.probe()
		assert.Equal(t, p.highestSeen, 5)
		good = test.good
		p.seenAt = time.Now().Add(-2 * revertSlack)
		p.probe()
		expectViolation(t, s.violations, test.want)
	}
}

// A caller receives part of a stream that looks complete, a duplicate event, or
// the answer to another request.
func TestCheckAnswerDetectsBadAnswers(t *testing.T) {
	whole := streamBody(fewEvents)
	tests := []struct {
		name, body, id, kind string
		broken               bool
	}{
		{"whole", whole, "q1", "text/event-stream", false},
		{"an event is missing", strings.Replace(whole, "id: 3\ndata: token 3\n\n", "", 1), "q1", "text/event-stream", true},
		{"an event comes twice", "id: 1\ndata: token 1\n\n" + whole, "q1", "text/event-stream", true},
		{"cut and looks whole", whole[:30], "q1", "text/event-stream", true},
		{"the answer to another request", "done q2", "q1", "text/plain", true},
		{"the id of another request", "done q1", "q2", "text/plain", true},
		{"an answer", "done q1", "q1", "text/plain", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, _ := newTestSoak(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", test.kind)
				w.Header().Set("X-Attempt-Id", test.id)
				w.Header().Set("X-Server-Signature", "e.q1")
				_, _ = w.Write([]byte(test.body))
			}))
			t.Cleanup(srv.Close)
			o := s.load.send(srv.Client(), &router{callerAddress: strings.TrimPrefix(srv.URL, "http://")}, "/safe/", "k")
			assert.Equal(t, o.id, "q1")
			assert.Equal(t, len(s.violations) > 0, test.broken, "%v", s.violations)
			assert.Equal(t, o.served, !test.broken || test.id == "q2")
		})
	}
}

func TestDroppedLinesFindsDroppedRequests(t *testing.T) {
	log := strings.Join([]string{
		`{"event":108,"gone":true,"time":"a","msg":"request-dropped"}`,
		`{"event":108,"gone":false,"time":"b","msg":"request-dropped"}`,
		`{"event":108,"gone":false,"waited-ms":5000,"time":"c","msg":"request-dropped"}`,
		`{"event":108,"gone":false,"waited-ms":5001,"time":"d","msg":"request-dropped"}`,
		`not a line of a router`,
		`{"event":103,"in-flight":0,"time":"c"}`,
	}, "\n")
	found, err := logViolations(strings.NewReader(log))
	assert.NilError(t, err)
	assert.DeepEqual(t, found, []string{"read a request and dropped it at b", "read a request and dropped it at c"})
	_, err = logViolations(strings.NewReader(log + strings.Repeat("x", maxLogLine+1)))
	assert.ErrorContains(t, err, "too long")
}

// Guards against calls that are refused for the whole soak, and that no check looks at.
func TestLogViolationsFindsCallsInVain(t *testing.T) {
	log := strings.Join([]string{
		`{"event":523,"status":"rejected","time":"a","msg":"mixed-versions"}`,
		`{"event":306,"call":"store create","status":"rejected","time":"b","msg":"call-rejected"}`,
		`{"event":300,"time":"c","msg":"platform-lost"}`,
		`{"event":307,"call":"store list","status":"unavailable","time":"d","msg":"calls-failing"}`,
	}, "\n")
	found, err := logViolations(strings.NewReader(log))
	assert.NilError(t, err)
	assert.DeepEqual(t, found, []string{
		"made a call that was rejected at b: store create",
		"made calls that did not succeed until d: store list, unavailable",
	})
}
