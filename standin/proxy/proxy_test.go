package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/proxy"
)

// echoServer sends back what its connections receive.
type echoServer struct{ net.Listener }

func (s echoServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go echoConn{c}.run()
	}
}

type echoConn struct{ net.Conn }

func (c echoConn) run() { _, _ = io.Copy(c, c) } // an error means that the client disconnected

// echoes reports whether a connection through a proxy returns what is sent within a time.
func echoes(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := io.WriteString(c, "a")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Guards against a router that reaches others although it is cut off from them, as its own
// connections go through their proxies.
func TestCutHoldsBackConnectionsOfOneSource(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go echoServer{l}.run()
	p, stop, err := proxy.New(l.Addr().String())
	assert.NilError(t, err)
	defer stop()
	sources := []string{"r0", "r1", "r0"}
	asked := 0
	p.IdentifySources(func(net.Addr) string { asked++; return sources[asked-1] })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first, second := dial(), net.Conn(nil)
	assert.Assert(t, echoes(t, first, time.Second))
	second = dial()
	assert.Assert(t, echoes(t, second, time.Second))
	p.Cut("r0", true)
	assert.Assert(t, !echoes(t, first, 50*time.Millisecond))
	assert.Assert(t, !echoes(t, dial(), 50*time.Millisecond))
	assert.Assert(t, echoes(t, second, time.Second))
	p.SetMode(proxy.Mode{}) // leaves the cut as it is
	assert.Assert(t, !echoes(t, first, 50*time.Millisecond))
	p.Cut("r0", false)
	assert.Assert(t, echoes(t, first, time.Second)) // what was held back arrives
	p.Cut("", true)
	assert.Assert(t, !echoes(t, second, 50*time.Millisecond))
}
