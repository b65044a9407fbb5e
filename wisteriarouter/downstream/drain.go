package downstream

import (
	"context"
	"time"
)

// quietWait is how long a connection must have been without a request before a
// server that is being drained closes it. A packet that was lost twice in a row
// arrives within this time.
const quietWait = time.Second

// closeReserve is how long before the end of a drain connections without a request
// are closed at the latest.
const closeReserve = 500 * time.Millisecond

// drain is the end of a server.
type drain struct {
	latest   time.Time     // by when connections without a request are closed; zero for no limit
	empty    chan struct{} // closed when no connection is left
	complete bool          // no further connection comes; guarded by the server's mutex
}

// note closes empty once no connection is left. The caller holds the server's mutex.
func (d *drain) note(conns int) {
	if !d.complete || conns > 0 {
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
	s.Leave()
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
func (s *Server) beginDrain(ctx context.Context) *drain {
	d := &drain{empty: make(chan struct{})}
	if end, ok := ctx.Deadline(); ok {
		d.latest = end.Add(-closeReserve)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain = d
	for c := range s.conns {
		c.limit(d)
	}
	return d
}

// awaitEmpty waits until no connection is left, once no further one comes.
func (s *Server) awaitEmpty(ctx context.Context, d *drain) {
	s.mu.Lock()
	d.complete = true
	d.note(len(s.conns))
	s.mu.Unlock()
	select {
	case <-d.empty:
	case <-ctx.Done():
	}
}
