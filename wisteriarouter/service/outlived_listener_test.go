package service_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/standin/loopback"
	"wisteriaspool/wisteriarouter/service"
)

// Guards against a complete undelimited response that counts as truncated since the service, which shuts down, has closed its listener before.
func TestUndelimitedResponseThatOutlivesListenerOfService(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		exits bool // right after the response
		cut   bool // by the end of the process
		calls int
		want  outcome.Outcome
	}{
		{"serves on", false, false, 1, outcome.Ran},
		{"exits", true, false, 1, outcome.Ran},
		{"is killed", true, true, 3, outcome.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			stop := make(chan struct{}) // closed when the service begins to shut down
			leaves := new(atomic.Bool)  // the router knows that it does
			arrived := make(chan struct{}, test.calls)
			var srv *httptest.Server
			srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body) // unread bytes would reset the connection
				assert.Check(t, err)
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				defer func() { _ = conn.Close() }()
				const head = "HTTP/1.1 200 OK\r\n\r\n"
				if string(body) == "first" {
					_, _ = io.WriteString(conn, head+"boo")
					return
				}
				_, _ = io.WriteString(conn, head+"b")
				arrived <- struct{}{}
				<-stop
				time.Sleep(1200 * time.Millisecond)
				if !test.cut {
					_, _ = io.WriteString(conn, "oo")
					_ = conn.Close()
				}
				if test.exits {
					srv.CloseClientConnections()
				}
			}))
			// No other test gets the address once the listener is closed.
			_ = srv.Listener.Close()
			var err error
			srv.Listener, err = net.Listen("tcp", loopback.Address())
			assert.NilError(t, err)
			srv.Start()
			defer srv.Close()
			c, cleanup := service.NewClient(service.Options{})
			defer cleanup()
			call := func(id string) (service.Reply, outcome.Outcome) {
				var e outcome.Evidence
				reply, _ := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: address(srv.URL), Action: "book", NonIdempotent: true, Body: []byte(id), Leaving: leaves.Load})
				return reply, e.Outcome()
			}
			_, first := call("first")
			assert.Equal(t, first, outcome.Ran)
			outcomes := make(chan outcome.Outcome, test.calls)
			for n := range test.calls {
				time.Sleep(time.Duration(n) * 150 * time.Millisecond)
				go func() {
					reply, got := call("next")
					if got == outcome.Ran {
						assert.Check(t, string(reply.Answer.Body) == "boo")
					}
					outcomes <- got
				}()
			}
			for range test.calls {
				<-arrived
			}
			leaves.Store(true)
			time.Sleep(600 * time.Millisecond)
			_ = srv.Listener.Close()
			close(stop)
			for range test.calls {
				assert.Check(t, <-outcomes == test.want, test.name)
			}
		})
	}
}
