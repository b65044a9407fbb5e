package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection whose wait for a request ends by a read that returns no
// data, and never by a Close from another goroutine, so that everything that was
// read is served.
type conn struct {
	net.Conn
	server *Server

	mu        sync.Mutex
	drain     *drainState // nil until the server is drained
	waiting   bool        // for the first byte of a request
	waitStart time.Time   // when the wait began
	deadline  time.Time   // for reads, as set by the HTTP server

	ahead        bool      // a byte of the next request was read while the current one is handled
	firstRequest bool      // no request has been answered yet
	requestStart time.Time // when the first byte of the unanswered request was read; zero if there is none
	bytesRead    int       // bytes of the unanswered request
	clientClosed bool      // the client has closed or reset the connection
}

// retryWindow is the time allowed for one retry of a read or an accept whose
// deadline has passed.
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

// prepareRetry reports whether a read that exceeded its deadline is to be retried,
// and extends the deadline for it. On an overloaded machine, data may have arrived
// before the deadline without having been read.
func (c *conn) prepareRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting && c.Conn.SetReadDeadline(time.Now().Add(retryWindow)) == nil
}

// readAhead is the size of the reads with which the HTTP server detects a closed
// connection while a request is handled. These reads have no deadline.
const readAhead = 1

// isReadAhead reports whether a read of size bytes is such a read.
func (c *conn) isReadAhead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return size == readAhead && c.deadline.IsZero()
}

// recordRead records the result of a read.
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
		c.clientClosed = true
	}
}

// startRequest records the first byte of a request.
func (c *conn) startRequest() {
	c.waiting, c.requestStart, c.bytesRead = false, time.Now(), 0
	c.setDeadline()
}

// setDeadline updates the read deadline while the server is being drained. An error
// is ignored, since the next read returns it.
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

// startDrain limits the current and all later waits for a request.
func (c *conn) startDrain(d *drainState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain = d
	c.setDeadline()
}

// readDeadline returns the deadline for reads: the one set by the HTTP server or,
// during a drain, the end of the wait for a request or its header if that is
// earlier.
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

// earlier returns the earlier of two times, where zero means no limit.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// awaitRequest begins the wait for the next request, unless its first byte was read
// already.
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

// markAnswered records that the bytes read so far are answered or passed to a
// handler.
func (c *conn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting || !c.requestStart.IsZero() {
		c.waiting, c.bytesRead, c.requestStart = false, 0, time.Time{}
		c.setDeadline()
	}
}

// Write implements net.Conn. It marks the request as answered, since the HTTP
// server answers malformed requests without calling a handler.
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

// resetOnClose makes Close reset the connection.
func (c *conn) resetOnClose() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // it fails only if the connection has ended
	}
}

// takeDrop describes the unanswered request with which the connection ends, if
// there is one. It reports each drop only once.
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
		ClientClosed: c.clientClosed,
		Draining:     c.drain != nil,
	}
	c.bytesRead, c.requestStart = 0, time.Time{}
	return d, true
}

// CloseWrite closes the write side if the connection supports it. The HTTP server
// calls it before it closes a connection after an error response, so that the
// response reaches the client.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
