package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against requests that a stopping router reads and then drops with their
// connection.
func TestRelayAnswersRequestsThatEndDuringItsStop(t *testing.T) {
	for _, tc := range []struct {
		name string
		kept bool    // the connection has had an answer before
		part float64 // of the request that is written before the stop
	}{
		{name: "new connection"},
		{name: "part of a head on a new connection", part: 0.5},
		{name: "part of a head on a kept connection", kept: true, part: 0.5},
		{name: "head on a kept connection", kept: true, part: 0.95},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, 1, 1, 0)
			c := s.connect(0)
			if tc.kept {
				c.write(c.text("/unsafe/before"))
				assert.Equal(t, c.answer().StatusCode, http.StatusOK)
			}
			text := c.text("/unsafe/last")
			before := int(tc.part * float64(len(text)))
			c.write(text[:before])
			time.Sleep(20 * time.Millisecond) // the router has read it
			left := make(chan int, 1)
			go stopper{s.stops[0], left}.run()
			s.awaitNoListener(0)
			c.write(text[before:])
			got := c.answer()
			assert.Equal(t, got.StatusCode, http.StatusOK)
			assert.Assert(t, got.Close, "the answer keeps the connection")
			assert.Equal(t, <-left, 0)
		})
	}
}

// connection is a caller's connection to a router, written by hand.
type connection struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (s *site) connect(router int) *connection {
	c, err := net.Dial("tcp", s.routers[router].CallersAddress())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &connection{Conn: c, t: s.t, r: bufio.NewReader(c)}
}

// text returns a request as it is on the wire.
func (c *connection) text(path string) string {
	body := "body of " + path
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s",
		path, freshID(), len(body), body)
}

func (c *connection) write(text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

func (c *connection) answer() *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err, "the connection ended without an answer")
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	assert.NilError(c.t, resp.Body.Close())
	return resp
}

// awaitNoListener waits until a router takes no new connections.
func (s *site) awaitNoListener(router int) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", s.routers[router].CallersAddress())
		if err != nil {
			return poll.Success()
		}
		_ = c.Close()
		return poll.Continue("the router listens")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}
