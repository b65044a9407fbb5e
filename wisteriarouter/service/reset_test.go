package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/service"
)

// earlyService answers each call before it reads its body, and resets the connection.
type earlyService struct{ listener net.Listener }

func (s earlyService) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			// A failed write is a shorter response.
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-State: leaving\r\n\r\na part")
		}
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		_ = c.Close()
	}
}

// Guards against a response without a length that is reset while the call is still being
// written, and counts as the answer of its action.
func TestResponseResetDuringCallIsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go earlyService{l}.run()
	c, cleanup := service.NewClient(service.Options{})
	defer cleanup()
	for range 40 {
		for _, once := range []bool{false, true} {
			var e outcome.Evidence
			reply, err := c.Do(t.Context(), &e, service.Call{Attempt: "a", Address: l.Addr().String(), Action: "book", Body: make([]byte, 8<<20), NonIdempotent: once})
			assert.Assert(t, err != nil, "%q", reply.Answer.Body)
			assert.Equal(t, e.Outcome(), outcome.Unknown)
		}
	}
}
