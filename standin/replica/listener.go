package replica

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// inspectedListener reports requests that net/http refuses to parse, of which no handler
// learns.
type inspectedListener struct {
	*net.TCPListener
	replica *Replica
}

// Accept implements net.Listener.
func (l inspectedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		conn := &inspectedConn{TCPConn: c, replica: l.replica}
		if l.replica.track(conn) {
			return conn, nil
		}
	}
}

// track records a connection and reports whether it is to be served.
func (r *Replica) track(c *inspectedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.ending
}

// takeConns returns the open connections, and whether the process ends already.
func (r *Replica) takeConns() (conns []*inspectedConn, ending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns, ending = slices.Collect(maps.Keys(r.conns)), r.ending
	r.ending = true
	return conns, ending
}

// EndProcess simulates the end of the process as the kernel carries it out: connections are
// closed in order, the listener lag later. Connections that it accepts meanwhile are reset. It
// returns the time that it took until the listener was closed.
func (r *Replica) EndProcess(lag time.Duration) time.Duration {
	conns, ending := r.takeConns()
	if ending {
		return 0
	}
	began := time.Now()
	for _, c := range conns {
		_ = c.Close()
	}
	time.Sleep(lag)
	_ = r.listener.Close()
	took := time.Since(began)
	conns, _ = r.takeConns()
	for _, c := range conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	_ = r.server.Close()
	return took
}

// StopListening closes the listener, as a process does that shuts down. Open connections are
// served on.
func (r *Replica) StopListening() { _ = r.listener.Close() }

type inspectedConn struct {
	*net.TCPConn
	replica *Replica
	ended   atomic.Bool // nothing more is read
}

// Close implements net.Conn.
func (c *inspectedConn) Close() error {
	c.replica.mu.Lock()
	delete(c.replica.conns, c)
	c.replica.mu.Unlock()
	return c.TCPConn.Close()
}

// Read implements net.Conn.
func (c *inspectedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// Write implements net.Conn. Each response of the handler has an X-Instance-Id. A head that
// was cut off is no violation.
func (c *inspectedConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("HTTP/1.1 4")) && !bytes.Contains(p, []byte("X-Instance-Id")) && !c.ended.Load() {
		line, _, _ := bytes.Cut(p, []byte("\r\n"))
		c.replica.opts.Inspector.report("endpoint %s: a request cannot be parsed: %s", c.replica.opts.ID, line)
	}
	return c.TCPConn.Write(p)
}
