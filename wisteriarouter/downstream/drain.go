package downstream

import (
	"context"
	"time"
)

// drainIdleTimeout is how long a connection must have been without a request before a
// server that is being drained closes it. A packet that was lost twice in a row
// arrives within this time.
const drainIdleTimeout = time.Second

// drainCloseMargin is how long before the end of a drain connections without a request
// are closed at the latest.
const drainCloseMargin = 500 * time.Millisecond

// drainState is the end of a server.
type drainState struct {
	closeIdleBy time.Time     // by when connections without a request are closed; zero for no limit
	empty       chan struct{} // closed when no connection is left
	noMoreConns bool          // no further connection comes; guarded by the server's mutex
}

// closeIfEmpty closes empty once no connection is left. The caller holds the server's mutex.
func (d *drainState) closeIfEmpty(conns int) {
	if !d.noMoreConns || conns > 0 {
		return
	}
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}

// Drain accepts the connections that wait for it, closes the listener, and waits
// until all connections have ended: each behind an answer, or once it has been
// without a request for a while. It returns how many requests were left when ctx
// ended, and cuts them off.
func (s *Server) Drain(ctx context.Context) (left int) {
	s.DisableKeepAlives()
	d := s.beginDrain(ctx)
	s.listener.stop()
	select {
	case <-s.listener.ended:
		s.awaitEmpty(ctx, d)
	case <-ctx.Done():
	}
	left = s.Active()
	s.close()
	return left
}

// beginDrain limits the wait of all connections for a request.
func (s *Server) beginDrain(ctx context.Context) *drainState {
	d := &drainState{empty: make(chan struct{})}
	if end, ok := ctx.Deadline(); ok {
		d.closeIdleBy = end.Add(-drainCloseMargin)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain = d
	for c := range s.conns {
		c.startDrain(d)
	}
	return d
}

// awaitEmpty waits until no connection is left, once no further one comes.
func (s *Server) awaitEmpty(ctx context.Context, d *drainState) {
	s.mu.Lock()
	d.noMoreConns = true
	d.closeIfEmpty(len(s.conns))
	s.mu.Unlock()
	select {
	case <-d.empty:
	case <-ctx.Done():
	}
}
