package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection whose wait for a request ends by a read that returns
// nothing, never by a close from outside: what a read has returned is served.
type conn struct {
	net.Conn
	server *Server

	mu      sync.Mutex
	drain   *drain    // nil before the server is drained
	waiting bool      // for the first byte of a request
	since   time.Time // when the wait began
	asked   time.Time // the read deadline that the HTTP server has set

	ahead bool      // a byte of the next request was read while this one is handled
	first bool      // no request has been answered yet
	began time.Time // when the first byte of a request came that no handler has taken
	read  int       // bytes of that request
	gone  bool      // the other side has closed or broken off
}

// lastLook is how long a read or an accept is tried once more whose deadline has
// passed.
const lastLook = time.Millisecond

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.lookAgain() {
		n, err = c.Conn.Read(b)
	}
	c.note(len(b), n, err)
	return n, err
}

// lookAgain reports whether a read that has met its deadline is to be tried once
// more, and prepares it: on a machine that was busy until then, bytes may have been
// there for a while.
func (c *conn) lookAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting && c.drain != nil && c.Conn.SetReadDeadline(time.Now().Add(lastLook)) == nil
}

// readAhead is the size of the reads by which the HTTP server looks whether the other
// side is still there while a request is handled. No other read is as short.
const readAhead = 1

// note takes in what a read into size bytes has returned.
func (c *conn) note(size, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n == 0:
	case c.waiting:
		c.begin()
	case size == readAhead:
		c.ahead = true
	}
	c.read += n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.gone = true
	}
}

// begin takes in the first byte of a request.
func (c *conn) begin() {
	c.waiting, c.began, c.read = false, time.Now(), 0
	if c.drain != nil {
		_ = c.Conn.SetReadDeadline(c.asked) // the next read shows if it failed
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	return c.Conn.SetReadDeadline(c.deadline())
}

// limit bounds the wait for a request, now and later, while the server is drained.
func (c *conn) limit(d *drain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain = d
	if c.waiting {
		_ = c.Conn.SetReadDeadline(c.deadline()) // the next read shows if it failed
	}
}

// deadline returns when a read ends: as the HTTP server has asked, or with the wait
// for a request if that comes first.
func (c *conn) deadline() time.Time {
	if !c.waiting || c.drain == nil {
		return c.asked
	}
	end := c.since.Add(quietWait)
	if latest := c.drain.latest; !latest.IsZero() && latest.Before(end) {
		end = latest
	}
	if !c.asked.IsZero() && c.asked.Before(end) {
		return c.asked
	}
	return end
}

// next begins the wait for a further request, unless it has begun to come.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = false
	c.waiting, c.since = true, time.Now()
	c.read, c.began = 0, time.Time{}
	if c.ahead {
		c.ahead = false
		c.begin()
		c.read = readAhead
	}
}

// take notes that what has been read is answered.
func (c *conn) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.began = 0, time.Time{}
}

// Write implements net.Conn. The HTTP server answers malformed requests itself.
func (c *conn) Write(b []byte) (int, error) {
	c.take()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if d, ok := c.dropped(); ok && c.server.observer != nil {
		c.server.observer.Dropped(d)
	}
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

// dropped reports whether the connection ends with a request that nobody has
// taken, and describes it, once.
func (c *conn) dropped() (Drop, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began.IsZero() || c.read == 0 {
		return Drop{}, false
	}
	d := Drop{
		Read:     c.read,
		Waited:   time.Since(c.began),
		First:    c.first,
		Gone:     c.gone,
		Draining: c.drain != nil,
	}
	c.read, c.began = 0, time.Time{}
	return d, true
}

// CloseWrite tells the other side that no more comes, if the connection can. The
// HTTP server calls it before it closes a connection behind an error, so that the
// answer arrives.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
