package http1_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/http1"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (*http1.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	nc, err := http1.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = nc.Close()
		_ = peer.Close()
	})
	return nc.(*http1.Conn), peer.(*net.TCPConn)
}

// writer writes to a connection until that fails.
type writer struct {
	w      io.Writer
	failed chan<- error
}

func (w writer) run() {
	chunk := make([]byte, 64<<10)
	for {
		if _, err := w.w.Write(chunk); err != nil {
			w.failed <- err
			return
		}
	}
}

// Guards against a reset that only the writer learns of, so that the reader sees an orderly end.
func TestReadReportsResetThatWriteWasToldOf(t *testing.T) {
	c, peer := connect(t)
	failed := make(chan error, 1)
	go writer{c, failed}.run()
	_, err := io.WriteString(peer, "a part")
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0)) // makes Close reset the connection
	assert.NilError(t, peer.Close())
	told := <-failed
	got, err := io.ReadAll(c)
	assert.Equal(t, err, told)
	assert.Equal(t, string(got), "a part")
}

// Guards against a reset after an orderly end that makes a complete response look cut.
func TestReadReportsOrderlyEndBeforeReset(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, "all of it")
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	time.Sleep(20 * time.Millisecond) // until the end has arrived
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	failed := make(chan error, 1)
	writer{c, failed}.run()
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "all of it")
}

// Guards against a reader that waits for a Write to a peer that has ended its side and reads nothing.
func TestReadInterruptsWriteAtOrderlyEnd(t *testing.T) {
	c, peer := connect(t)
	failed := make(chan error, 1)
	go writer{c, failed}.run()
	time.Sleep(20 * time.Millisecond) // until the buffers are full
	assert.NilError(t, peer.CloseWrite())
	_, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, <-failed != nil)
}
