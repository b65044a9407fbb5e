package downstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// acceptWait is how long a server that is being drained still takes in connections:
// some were made before callers could know of the drain, and wait to be accepted.
const acceptWait = 20 * time.Millisecond

// listener hands out connections that its server knows.
type listener struct {
	net.Listener
	server   *Server
	stopping atomic.Bool
	once     sync.Once
	ended    chan struct{} // closed when no further connection comes
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
	if err != nil && l.lookAgain() {
		c, err = l.Listener.Accept()
	}
	switch {
	case err == nil:
		return l.server.add(c), nil
	case l.stopping.Load():
		_ = l.Close() // it is not needed any more
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
}

// lookAgain reports whether a wait for connections that has met its deadline is to
// be tried once more, and prepares it: on a machine that was busy until then, some
// may have been there for a while.
func (l *listener) lookAgain() bool {
	d, ok := l.Listener.(deadliner)
	return ok && l.stopping.Load() && d.SetDeadline(time.Now().Add(lastLook)) == nil
}

// stop has the listener take in what waits, and then closed.
func (l *listener) stop() {
	l.stopping.Store(true)
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
