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

	mu        sync.Mutex
	drain     *drainState // nil before the server is drained
	waiting   bool        // for the first byte of a request
	waitStart time.Time   // when the wait began
	deadline  time.Time   // for reads, as the HTTP server has set it

	ahead        bool      // a byte of the next request was read while this one is handled
	firstRequest bool      // no request has been answered yet
	requestStart time.Time // when the first byte of a request came that is not answered
	bytesRead    int       // bytes of that request
	peerClosed   bool      // the other side has closed or broken off
}

// retryWindow is how long a read or an accept is tried once more whose deadline has
// passed.
const retryWindow = time.Millisecond

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	ahead := c.isReadAhead(len(b))
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prepareRetry() {
		n, err = c.Conn.Read(b)
	}
	c.recordRead(n, err, ahead)
	return n, err
}

// prepareRetry reports whether a read that has met its deadline is to be tried once
// more, and prepares it: on a machine that was busy until then, bytes may have been
// there for a while.
func (c *conn) prepareRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting && c.Conn.SetReadDeadline(time.Now().Add(retryWindow)) == nil
}

// readAhead is the size of the reads by which the HTTP server looks whether the other
// side is still there while a request is handled. They have no deadline.
const readAhead = 1

// isReadAhead reports whether a read into size bytes is one of these.
func (c *conn) isReadAhead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return size == readAhead && c.deadline.IsZero()
}

// recordRead records what a read has returned.
func (c *conn) recordRead(n int, err error, ahead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n == 0:
	case c.waiting:
		c.startRequest()
	case ahead:
		c.ahead = true
	}
	c.bytesRead += n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.peerClosed = true
	}
}

// startRequest records the first byte of a request.
func (c *conn) startRequest() {
	c.waiting, c.requestStart, c.bytesRead = false, time.Now(), 0
	c.setDeadline()
}

// setDeadline sets the read deadline anew while the server is drained. If that fails
// the next read shows it.
func (c *conn) setDeadline() {
	if c.drain != nil {
		_ = c.Conn.SetReadDeadline(c.readDeadline())
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// startDrain bounds the wait for a request, now and later, while the server is drained.
func (c *conn) startDrain(d *drainState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain = d
	c.setDeadline()
}

// readDeadline returns when a read ends: as the HTTP server has asked, or with the
// wait for a request or for its head if that comes first.
func (c *conn) readDeadline() time.Time {
	end := c.deadline
	switch {
	case c.drain == nil:
	case c.waiting:
		end = earlier(end, c.waitStart.Add(drainIdleTimeout))
		end = earlier(end, c.drain.closeIdleBy)
	case !c.requestStart.IsZero() && c.server.headerTimeout > 0:
		end = earlier(end, c.requestStart.Add(c.server.headerTimeout))
	}
	return end
}

// earlier returns the earlier of two times; zero is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// awaitRequest begins the wait for a further request, unless it has begun to come.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRequest = false
	c.waiting, c.waitStart = true, time.Now()
	c.bytesRead, c.requestStart = 0, time.Time{}
	if c.ahead {
		c.ahead = false
		c.startRequest()
		c.bytesRead = readAhead
	}
}

// markAnswered records that what has been read is markAnswered, or will be by a handler.
func (c *conn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting || !c.requestStart.IsZero() {
		c.waiting, c.bytesRead, c.requestStart = false, 0, time.Time{}
		c.setDeadline()
	}
}

// Write implements net.Conn. The HTTP server answers malformed requests itself.
func (c *conn) Write(b []byte) (int, error) {
	c.markAnswered()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if d, ok := c.takeDrop(); ok && c.server.observer != nil {
		c.server.observer.Dropped(d)
	}
	return c.Conn.Close()
}

// takeDrop reports whether the connection ends with a request that is not answered,
// and describes it, once.
func (c *conn) takeDrop() (Drop, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStart.IsZero() || c.bytesRead == 0 {
		return Drop{}, false
	}
	d := Drop{
		BytesRead:    c.bytesRead,
		Elapsed:      time.Since(c.requestStart),
		FirstRequest: c.firstRequest,
		PeerClosed:   c.peerClosed,
		Draining:     c.drain != nil,
	}
	c.bytesRead, c.requestStart = 0, time.Time{}
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
