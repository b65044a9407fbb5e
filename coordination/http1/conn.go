package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reader learns of a failure also if a concurrent Write has been
// told of it. The kernel reports a reset once. If the writer gets it, the reader sees an
// orderly end, and a response that ends with its connection looks complete.
type Conn struct {
	net.Conn

	mu     sync.Mutex // held while writing
	failed error      // by which a Write has learned that the connection did not end in order

	recordMu sync.Mutex // guards the record and its bytes
	record   *record    // nil while nothing is to be kept
}

// NewConn returns a connection that uses nc, which must support write deadlines.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that makes connections with dial and returns them as a *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failed == nil && isFailure(err) {
		c.failed = err
	}
	return n, err
}

// isFailure reports whether the error of a Write says that the connection did not end in
// order. EPIPE does not: it is returned after an orderly end, or after a failure that has
// been reported already.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn. It returns io.EOF only after an orderly end. Nothing can be
// written after that.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.keep(p[:n])
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns the failure of a Write, also of one that is in progress, or else io.EOF.
func (c *Conn) end() error {
	// Interrupts a Write that waits for the peer. It fails only if the connection is closed,
	// which interrupts it as well.
	_ = c.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// SyscallConn implements syscall.Conn. The error is errors.ErrUnsupported if the underlying
// connection has no descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
