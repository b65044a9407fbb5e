package downstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// How long a draining server still accepts connections, since some were made before
// callers could know of the drain and are pending. Accepting goes on for
// acceptWait, and after that while further connections are pending, up to
// acceptLimit.
const (
	acceptWait  = 20 * time.Millisecond
	acceptLimit = 200 * time.Millisecond
)

// listener wraps accepted connections and registers them with its server.
type listener struct {
	net.Listener
	server *Server
	limit  atomic.Pointer[time.Time] // when accepting ends; nil until stop
	once   sync.Once
	ended  chan struct{} // closed when no more connections are accepted
}

func newListener(inner net.Listener, s *Server) *listener {
	return &listener{Listener: inner, server: s, ended: make(chan struct{})}
}

// deadliner is a listener whose Accept supports a deadline.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.prepareRetry() {
		c, err = l.Listener.Accept()
	}
	switch {
	case err == nil:
		return l.server.add(c), nil
	case l.limit.Load() != nil:
		_ = l.Close() // no longer needed
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
}

// prepareRetry reports whether an Accept that exceeded its deadline is to be
// retried, and extends the deadline for it. On an overloaded machine, connections
// may have been pending before the deadline without having been accepted.
func (l *listener) prepareRetry() bool {
	d, ok := l.Listener.(deadliner)
	limit := l.limit.Load()
	return ok && limit != nil && time.Now().Before(*limit) && d.SetDeadline(time.Now().Add(retryWindow)) == nil
}

// stop lets the listener accept the pending connections and then closes it.
func (l *listener) stop() {
	limit := time.Now().Add(acceptLimit)
	l.limit.Store(&limit)
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(time.Now().Add(acceptWait)) == nil {
		return
	}
	_ = l.Close() // no longer needed
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.ended) })
	return err
}
