package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/hub"
	"wisteriaspool/standin/replica"
)

// planted is a soak with one endpoint, to which a test sends requests as a
// router with a fault would.
func planted(t *testing.T) (*soak, *replica.Replica) {
	s := &soak{store: hub.New()}
	s.load = newLoad(s)
	r, stop, err := replica.Start(s.store, replica.Options{ID: "r", Service: "desk", Zone: "z"})
	assert.NilError(t, err)
	t.Cleanup(stop)
	s.backs = append(s.backs, &back{Replica: r, id: "r"})
	return s, r
}

func run(t *testing.T, r *replica.Replica, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Address()+"/", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Header.Set("X-Attempt-Id", id)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
}

// A soak that finds nothing says nothing unless it would have found something.
// Each fault is planted as a router would commit it.
func TestCheckFindsWhatIsPlanted(t *testing.T) {
	tests := []struct {
		name string
		o    outcome
		runs int
		want string
	}{
		{"an order that ran twice", outcome{path: "/unsafe/", status: 200}, 2, "ran 2 times"},
		{"a stream that ran twice", outcome{path: "/stream/", status: 200}, 2, "ran 2 times"},
		{"not run, though it ran", outcome{path: "/unsafe/", status: 503}, 1, "has run"},
		{"a safe request that ran three times", outcome{path: "/safe/", status: 200}, 3, "of two allowed"},
		{"an order that ran once", outcome{path: "/unsafe/", status: 200}, 1, ""},
		{"a safe request that ran twice", outcome{path: "/safe/", status: 200}, 2, ""},
		{"not run, and it did not", outcome{path: "/unsafe/", status: 503}, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, r := planted(t)
			test.o.id = "q1"
			for range test.runs {
				run(t, r, "q1")
			}
			s.load.note(test.o)
			s.check()
			if test.want == "" {
				assert.Equal(t, len(s.broken), 0, "%v", s.broken)
				return
			}
			assert.Equal(t, len(s.broken), 1)
			assert.Assert(t, strings.Contains(s.broken[0], test.want), s.broken[0])
		})
	}
}

// A caller gets a part of a stream that looks whole, an event twice, or the
// answer to another request.
func TestJudgeFindsWhatIsPlanted(t *testing.T) {
	tests := []struct {
		name, body, id, kind string
		broken               bool
	}{
		{"whole", stream, "q1", "text/event-stream", false},
		{"an event is missing", strings.Replace(stream, "id: 3\ndata: token 3\n\n", "", 1), "q1", "text/event-stream", true},
		{"an event comes twice", "id: 1\ndata: token 1\n\n" + stream, "q1", "text/event-stream", true},
		{"cut and looks whole", stream[:30], "q1", "text/event-stream", true},
		{"the answer to another request", "done q2", "q1", "text/plain", true},
		{"the id of another request", "done q1", "q2", "text/plain", true},
		{"an answer", "done q1", "q1", "text/plain", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, _ := planted(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", test.kind)
				w.Header().Set("X-Attempt-Id", test.id)
				_, _ = w.Write([]byte(test.body))
			}))
			t.Cleanup(srv.Close)
			o := s.load.send(srv.Client(), &router{callers: strings.TrimPrefix(srv.URL, "http://")}, "/safe/", "k")
			assert.Equal(t, o.id, "q1")
			assert.Equal(t, len(s.broken) > 0, test.broken, "%v", s.broken)
			assert.Equal(t, o.served, !test.broken || test.id == "q2")
		})
	}
}
