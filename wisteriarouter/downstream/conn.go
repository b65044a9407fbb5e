package downstream

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// conn is a connection that knows whether a request has been read on it that
// nobody has taken.
type conn struct {
	net.Conn
	server *Server

	mu      sync.Mutex
	first   bool      // no request has been answered yet
	waiting bool      // for the first byte of a request
	began   time.Time // when the first byte came
	read    int       // bytes of a request that no handler has taken
	gone    bool      // the other side has closed or broken off
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.note(n, err)
	return n, err
}

func (c *conn) note(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.waiting {
		c.waiting, c.began, c.read = false, time.Now(), 0
	}
	c.read += n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.gone = true
	}
}

// Write implements net.Conn. The HTTP server answers malformed requests itself.
func (c *conn) Write(b []byte) (int, error) {
	c.taken()
	return c.Conn.Write(b)
}

// taken notes that what has been read is answered.
func (c *conn) taken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.began = 0, time.Time{}
}

// await begins the wait for the next request.
func (c *conn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first, c.waiting, c.read, c.began = false, true, 0, time.Time{}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if d, ok := c.dropped(); ok && c.server.observer != nil {
		c.server.observer.Dropped(d)
	}
	return c.Conn.Close()
}

// dropped reports whether the connection ends with a request that nobody has
// taken, and describes it.
func (c *conn) dropped() (Drop, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.began.IsZero() || c.read == 0 {
		return Drop{}, false
	}
	c.closed = true
	return Drop{
		Read:     c.read,
		Waited:   time.Since(c.began),
		First:    c.first,
		Gone:     c.gone,
		Stopping: c.server.stopping.Load(),
	}, true
}

// changed takes in that a connection has another state.
func changed(c net.Conn, state http.ConnState) {
	if each, ok := c.(*conn); ok && state == http.StateIdle {
		each.await()
	}
}
