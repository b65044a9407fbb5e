package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longUpload is more than the sockets between a router and an endpoint hold, in bytes, so
// that it is still being written when the response arrives.
const longUpload = 4 << 20

// upload sends a request with a long body and returns the status, the body and whether the
// response was complete. The status is 0 if there was no response.
func upload(t *testing.T, url string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", bytes.NewReader(make([]byte, longUpload)))
	assert.NilError(t, err)
	r.Host = "example.com"
	r.Header.Set("X-Attempt-Id", "a")
	r.Header.Set("X-Deadline-Ms", "8000")
	resp, err := testClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a response without a length that is reset while the request is still being
// written, and reaches its caller as complete.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for _, test := range []struct {
		kind       string
		stream     bool
		parts      [2]string // what the endpoints send
		body       string    // what the caller gets; of a response that is not complete, the most it may get
		complete   bool
		secondRuns int32
	}{
		{kind: "safe", parts: [2]string{"hello", "hello, world"}, body: "hello, world", complete: true, secondRuns: 1},
		{kind: "unsafe", parts: [2]string{"hello", "hello, world"}},
		{kind: "stream", stream: true, parts: [2]string{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n"}, body: "id: 1\ndata: a\n\n"},
		{kind: "resumable", stream: true, parts: [2]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", complete: true, secondRuns: 1},
	} {
		for _, extra := range []string{"", "Connection: close\r\n"} {
			t.Run(test.kind+"/"+extra, func(t *testing.T) {
				t.Parallel()
				head := extra
				if test.stream {
					head += "Content-Type: text/event-stream\r\n"
				}
				for range 5 {
					first := startEarlyEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
						return signedHead(r, "200 OK") + head + "\r\n" + test.parts[0], endByReset
					})
					second := startRawEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
						return signedHead(r, "200 OK") + head + "\r\n" + test.parts[1], endInOrder
					})
					status, body, err := upload(t, startRouter(t, kinds[test.kind], first, second))
					if test.complete {
						assert.NilError(t, err)
						assert.Equal(t, status, http.StatusOK)
						assert.Equal(t, body, test.body)
					} else if err == nil {
						assert.Equal(t, status, http.StatusBadGateway, "%q", body)
					} else {
						assert.Assert(t, body == "" || body == test.body, "%q", body)
					}
					// A stream may be reset before the caller has an event, and begin again.
					if !test.complete {
						assert.Equal(t, second.runs.Load(), test.secondRuns)
					}
				}
			})
		}
	}
}

// Guards against a response without a length that ends in order before the request is
// written, and is lost.
func TestResponseThatEndsDuringUploadIsComplete(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		t.Run(kind, func(t *testing.T) {
			e := startEarlyEndpoint(t, func(r *http.Request, _ int) (string, connEnd) {
				return signedHead(r, "200 OK") + "\r\nhello", endOfResponse
			})
			status, body, err := upload(t, startRouter(t, kinds[kind], e))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "hello")
		})
	}
}
