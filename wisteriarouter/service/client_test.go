package service_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/service"
)

// abortingServer reads each call completely, and aborts the connection of all
// calls but the first, so that the aborted call uses a reused connection.
type abortingServer struct{ arrivals atomic.Int32 }

func (c *abortingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if c.arrivals.Add(1) > 1 {
		panic(http.ErrAbortHandler)
	}
}

func address(url string) string { return strings.TrimPrefix(url, "http://") }

// The connection to a service breaks before its answer to an order. Go's
// transport sends a request with an idempotency key again on its own, and a
// service that ignores the key runs it twice. The first half shows that the
// transport does so, the second that Client prevents it.
func TestTransportNeverRepeatsAction(t *testing.T) {
	naive := &abortingServer{}
	srv := httptest.NewServer(naive)
	defer srv.Close()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, srv.URL, bytes.NewReader([]byte("book")))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
	}
	assert.Assert(t, naive.arrivals.Load() > 2, "the naive client was expected to repeat")

	ours := &abortingServer{}
	srv = httptest.NewServer(ours)
	defer srv.Close()
	c, cleanup := service.NewClient(service.Options{})
	defer cleanup()
	for i, want := range []outcome.Outcome{outcome.Ran, outcome.Unknown} {
		var e outcome.Evidence
		_, err := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: address(srv.URL), Action: "book", Body: []byte("book"), NonIdempotent: true})
		assert.Equal(t, e.Outcome(), want, "%v", err)
		assert.Equal(t, ours.arrivals.Load(), int32(i+1))
	}
}

func TestOutcomeOfCall(t *testing.T) {
	answer := func(status int, word, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if word != "" {
				w.Header().Set(outcome.Header, word)
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    outcome.Outcome
	}{
		{"answer", answer(200, "", "booked"), outcome.Ran},
		{"judged by the service", answer(422, "", "no such slot"), outcome.Ran},
		{"its word", answer(503, "not-run", ""), outcome.NotRun},
		{"its word of a run that failed", answer(500, "ran", ""), outcome.Ran},
		{"its word that it cannot tell", answer(200, "unknown", ""), outcome.Unknown},
		{"a word we do not know", answer(200, "maybe", ""), outcome.Unknown},
		{"too many requests", answer(429, "", ""), outcome.Unknown},
		{"bare error", answer(500, "", ""), outcome.Unknown},
		{"error of a proxy", answer(502, "", ""), outcome.Unknown},
		{"answer too large", answer(200, "", strings.Repeat("x", 100)), outcome.Unknown},
		{"redirect", answer(307, "", ""), outcome.Unknown},
		{"cut before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcome.Unknown},
		{"cut within the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "boo")
		}, outcome.Unknown},
	}
	c, cleanup := service.NewClient(service.Options{MaxResponseBytes: 50})
	defer cleanup()
	for _, tt := range tests {
		for _, once := range []bool{true, false} {
			srv := httptest.NewServer(tt.handler)
			var e outcome.Evidence
			_, _ = c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: address(srv.URL), Action: "book", NonIdempotent: once})
			assert.Equal(t, e.Outcome(), tt.want, "%s, once %v", tt.name, once)
			srv.Close()
		}
	}
}

// No process listens at the address of the endpoint. Nothing was sent, so the
// action may be sent to another endpoint and its caller may be told not-run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	c, cleanup := service.NewClient(service.Options{})
	defer cleanup()
	var e outcome.Evidence
	_, err := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: closedAddress(t), Action: "book", NonIdempotent: true})
	assert.ErrorContains(t, err, "service: ")
	assert.Equal(t, e.Outcome(), outcome.NotRun)
}

// closedAddress returns an address at which no process listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// Guards against the response of a service whose process ends inside it, closes its
// connection in order, and is taken for complete.
func TestUndelimitedResponseOfDeadServiceIsTruncated(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
		exits  bool
		lag    time.Duration // by which the kernel closes the listener after the connection
		want   outcome.Outcome
	}{
		{"lives on", "", false, 0, outcome.Ran},
		{"has ended", "", true, 0, outcome.Unknown},
		{"has ended, its listener is closed later", "", true, 10 * time.Millisecond, outcome.Unknown},
		{"shuts down", "X-State: leaving\r\n", true, 0, outcome.Ran},
	} {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			switch {
			case test.lag > 0:
				time.AfterFunc(test.lag, func() { _ = srv.Listener.Close() })
			case test.exits:
				assert.Check(t, srv.Listener.Close())
			}
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.header+"\r\nboo")
			assert.Check(t, err)
			assert.Check(t, conn.Close())
		}))
		c, cleanup := service.NewClient(service.Options{})
		var e outcome.Evidence
		_, err := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: address(srv.URL), Action: "book", NonIdempotent: true})
		assert.Equal(t, e.Outcome(), test.want, "%s: %v", test.name, err)
		assert.Equal(t, err == nil, test.want == outcome.Ran, test.name)
		cleanup()
		srv.Close()
	}
}
