package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"wisteriaspool/wisteriarouter/upstream"
)

// maxEndless is what an endpoint may write of bytes that are no response, in bytes: what the
// client reads, and what the buffers of the connection hold.
const maxEndless = 12 << 20

// Guards against an endpoint whose response head never ends and fills the memory of a router.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	tests := []struct {
		name          string
		start, repeat string
		pause         time.Duration
	}{
		{name: "status line", repeat: "HTTP/1.1 200 aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
		{name: "header line", start: "HTTP/1.1 200 OK\r\nName: ", repeat: "aaaaaaaaaaaaaaaaaaaaaaaaaa"},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeat: "Name: value\r\n"},
		{name: "no protocol", repeat: "\x00\x01\x02\x03"},
		{name: "blank", repeat: "                         "},
		{name: "interim responses", repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{name: "a byte at a time", start: "HTTP/1.1 200 OK\r\nName: ", repeat: "a", pause: 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			var e *endpoint
			e = newEndpoint(t, func(c net.Conn, r *bufio.Reader, _ int) {
				if _, err := e.read(r); err != nil {
					return
				}
				chunk := test.repeat
				if test.pause == 0 {
					chunk = strings.Repeat(test.repeat, 1000)
				}
				for text := test.start + chunk; ; text = chunk {
					n, err := c.Write([]byte(text))
					if written.Add(int64(n)); err != nil {
						return
					}
					time.Sleep(test.pause)
				}
			})
			client, cleanup := upstream.NewClient(upstream.Config{})
			t.Cleanup(cleanup)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			start := time.Now()
			_, err := client.Send(ctx, e.address(), &upstream.Request{Method: "GET", Target: "/", Host: "h"})
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
			assert.Check(t, time.Since(start) < 4*time.Second, "%v", time.Since(start))
			assert.Check(t, written.Load() < maxEndless, "%d bytes", written.Load())
		})
	}
}

// Guards against a limit of the head that counts the body, or the heads of earlier responses
// on the same connection.
func TestLimitOfHeadLeavesBodies(t *testing.T) {
	const length = 3 << 20
	body := strings.Repeat("x", length)
	e := newEndpoint(t, nil)
	e.serve = e.each(func(string) string {
		return "HTTP/1.1 200 OK\r\nName: " + strings.Repeat("v", 30<<10) + "\r\nContent-Length: 3145728\r\n\r\n" + body
	})
	client, cleanup := upstream.NewClient(upstream.Config{})
	t.Cleanup(cleanup)
	for range 4 {
		resp, err := client.Send(t.Context(), e.address(), &upstream.Request{Method: "GET", Target: "/", Host: "h"})
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(length))
	}
	assert.Equal(t, e.conns.Load(), int32(1))
}
