package downstream

import (
	"context"
	"time"
)

// drainIdleTimeout is how long a connection must have been without a request before
// a draining server closes it. A packet that was lost twice in a row arrives within
// this time.
const drainIdleTimeout = time.Second

// drainCloseMargin is how long before the end of a drain connections without a
// request are closed at the latest.
const drainCloseMargin = 500 * time.Millisecond

// drainState is the state of a server that is being drained.
type drainState struct {
	closeIdleBy time.Time     // deadline for closing connections without a request; zero for none
	empty       chan struct{} // closed when no connection is left
	noMoreConns bool          // no more connections are accepted; guarded by Server.mu
}

// closeIfEmpty closes d.empty once no connection is left. The caller holds
// Server.mu.
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

// Drain accepts the pending connections, closes the listener and waits until all
// connections have ended, each after a response or after it has been without a
// request for some time. When ctx ends, it closes the remaining connections and
// returns the number of requests that were in flight.
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

// beginDrain limits how long each connection waits for a request.
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

// awaitEmpty waits until no connection is left or ctx ends. The listener must have
// been closed.
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
