package downstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// How long a server that is being drained still accepts connections: some were made
// before callers could know of the drain, and wait. While more wait it goes on, but
// no longer than acceptLimit.
const (
	acceptWait  = 20 * time.Millisecond
	acceptLimit = 200 * time.Millisecond
)

// listener hands out connections that its server knows.
type listener struct {
	net.Listener
	server *Server
	limit  atomic.Pointer[time.Time] // by when it is closed; nil unless it stops
	once   sync.Once
	ended  chan struct{} // closed when no further connection comes
}

func newListener(inner net.Listener, s *Server) *listener {
	return &listener{Listener: inner, server: s, ended: make(chan struct{})}
}

// deadliner is a listener whose wait can be limited.
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
		_ = l.Close() // it is not needed any more
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
}

// prepareRetry reports whether a wait for connections that has met its deadline is to
// be tried once more, and prepares it: on a machine that was busy until then, some
// may have been there for a while.
func (l *listener) prepareRetry() bool {
	d, ok := l.Listener.(deadliner)
	limit := l.limit.Load()
	return ok && limit != nil && time.Now().Before(*limit) && d.SetDeadline(time.Now().Add(retryWindow)) == nil
}

// stop has the listener accept what waits, and then closed.
func (l *listener) stop() {
	limit := time.Now().Add(acceptLimit)
	l.limit.Store(&limit)
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(time.Now().Add(acceptWait)) == nil {
		return
	}
	_ = l.Close() // it is not needed any more
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.ended) })
	return err
}
