package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a response without end that a router keeps, or goes on reading after its caller
// has left.
func TestBodyWithoutEndIsNotKept(t *testing.T) {
	for _, test := range []struct {
		name, head string
		another    bool // the response of another endpoint follows where the request may be repeated
	}{
		{name: "body", head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\n\r\n"},
		{name: "long body", head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\nContent-Length: 9000000000000000000\r\n\r\n"},
		{name: "chunk", head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n"},
		{name: "failure", head: "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\n\r\n"},
		{name: "rejection", head: "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\n\r\n", another: true},
		{name: "other request", head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Server-Signature: s\r\n\r\n", another: true},
	} {
		for _, kind := range []string{"safe", "resumable"} {
			t.Run(test.name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				first := startRawEndpoint(t, func(*http.Request, int) (string, connEnd) { return test.head, endNever })
				second := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
					return signedHead(r, "200 OK") + "Content-Length: 5\r\n\r\nsound", keepOpen
				})
				url := startRouter(t, kinds[kind], first, second)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", nil)
				assert.NilError(t, err)
				r.Host = "example.com"
				r.Header.Set("X-Attempt-Id", "a")
				r.Header.Set("X-Deadline-Ms", "8000")
				resp, err := testClient.Do(r)
				assert.NilError(t, err)
				got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
				assert.NilError(t, err)
				if test.another {
					assert.Equal(t, string(got), "sound")
				}
				_ = resp.Body.Close() // the caller leaves
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					before := first.endless.Load()
					time.Sleep(50 * time.Millisecond)
					if first.endless.Load() != before {
						return poll.Continue("the endpoint is still sending")
					}
					return poll.Success()
				}, poll.WithTimeout(5*time.Second))
				assert.Assert(t, first.endless.Load() < 16<<20, "%d bytes", first.endless.Load())
			})
		}
	}
}
