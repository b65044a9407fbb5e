package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Ending is what a client saw of a server at the end of its undelimited response: one with
// neither a length nor chunks, that ends where the server closes the connection. The kernel
// closes the connections of a process that is killed in the same way.
type Ending int

const (
	// Accepting means that the server accepts connections, or that nothing is known of it.
	Accepting Ending = iota + 1
	// AnotherOpen means that it refuses connections, but that another one which it has accepted
	// stays open, so that its process still runs.
	AnotherOpen
	// StoppedBefore means that it refuses connections, and did so before while the response
	// went on.
	StoppedBefore
	// EndedTogether means the same, but other responses of the server ended at that moment that
	// had not begun together with this one.
	EndedTogether
	// Refusing means that it refuses connections, and that nothing else is known of it.
	Refusing
)

// Complete reports whether the response is complete as far as is known: its server has ended it,
// and not the end of the server's process.
func (e Ending) Complete() bool { return e < EndedTogether }

// String returns the name of e for logs and metrics.
func (e Ending) String() string {
	switch e {
	case Accepting:
		return "accepting"
	case AnotherOpen:
		return "another-open"
	case StoppedBefore:
		return "stopped-before"
	case EndedTogether:
		return "ended-together"
	case Refusing:
		return "refusing"
	default:
		return ""
	}
}

const (
	// ExitTime is within which time the kernel closes all sockets of a process that ends.
	ExitTime = 50 * time.Millisecond
	// settleTime is within which time the end of a connection arrives here, also if its packet
	// was lost and is sent again after 0.2 s.
	settleTime = 300 * time.Millisecond
	// lookInterval is the time between two connections to a server whose listener may be closed
	// while its responses go on.
	lookInterval = 150 * time.Millisecond
	// endingPoll is the time between two looks at connections that are open.
	endingPoll = 10 * time.Millisecond
	// endsKept is for how long the ends of other responses are remembered.
	endsKept = time.Second
)

// Watcher watches servers while requests run there whose responses may be undelimited. A server
// that shuts down closes its listener first and completes its responses. Only while these go on
// can that be told from the end of its process. The watcher holds one connection to such a
// server, without sending anything on it.
//
// Its fields must be set before it is used. It is safe for concurrent use.
type Watcher struct {
	// Dial connects to a server.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Refused reports whether the error of Dial says that the server refuses connections.
	Refused func(err error) bool
	// OutOfReach reports whether it says nothing of the server, as packets may be lost.
	OutOfReach func(err error) bool

	mu      sync.Mutex
	servers map[string]*watchedServer // with requests that were not released
	seenAt  map[string]time.Time      // when a server of each group last sent an undelimited response
}

// groupTTL is for how long a group is known to send undelimited responses after the last one.
const groupTTL = time.Minute

// Watch begins to watch the server of a request that is about to be sent. group names servers
// that are alike; nil is returned unless one of them has sent an undelimited response lately.
// leaves reports whether the server may be shutting down; connections are made to it only then,
// and only then its response may outlive its listener. The request must be released.
func (w *Watcher) Watch(group, address string, leaves func() bool) *WatchedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.seenAt[group]
	switch {
	case !ok:
		return nil
	case time.Since(at) > groupTTL:
		delete(w.seenAt, group)
		return nil
	default:
		return w.watch(address, leaves)
	}
}

// WatchUndelimited begins to watch the server of a request whose response is undelimited, unless
// it is watched already. The request must be released.
func (w *Watcher) WatchUndelimited(r *WatchedRequest, group, address string, leaves func() bool) *WatchedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seenAt == nil {
		w.seenAt = make(map[string]time.Time)
	}
	w.seenAt[group] = time.Now()
	if r != nil {
		return r
	}
	return w.watch(address, leaves)
}

// watch begins to watch a server. The caller holds w.mu.
func (w *Watcher) watch(address string, leaves func() bool) *WatchedRequest {
	if w.servers == nil {
		w.servers = make(map[string]*watchedServer)
	}
	s := w.servers[address]
	if s == nil {
		ctx, cancel := context.WithCancel(context.Background())
		s = &watchedServer{watcher: w, address: address, cancel: cancel, running: make(map[*WatchedRequest]bool)}
		w.servers[address] = s
		go s.run(ctx)
	}
	s.held++
	r := &WatchedRequest{server: s, leaves: leaves, beganAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = true
	return r
}

// release forgets a server for which no request is held.
func (w *Watcher) release(s *watchedServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.held--
	if s.held > 0 {
		return
	}
	delete(w.servers, s.address)
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witness.close()
	s.witness, s.closed = nil, true
}

// WatchedRequest is a request of which a Watcher knows. Its methods may be called on nil, which
// is a request that is not watched.
type WatchedRequest struct {
	server *watchedServer
	leaves func() bool

	beganAt time.Time

	// guarded by server.mu
	reading  bool // its reader waits for bytes
	outlived bool // the server refused connections while it went on
	endedAt  time.Time
	released bool
}

// requestEnd is the end of the connection of a request.
type requestEnd struct{ beganAt, endedAt time.Time }

// watchedServer is a server with requests that are watched.
type watchedServer struct {
	watcher *Watcher
	address string
	cancel  context.CancelFunc
	held    int // requests that were not released; guarded by watcher.mu

	mu        sync.Mutex
	running   map[*WatchedRequest]bool // requests that have not ended
	ends      []requestEnd             // of connections that the server has closed
	refusedAt time.Time                // since when the server refuses connections; zero if it does not
	witness   *witness                 // nil if there is none
	// unreachable reports that a connection has failed without having been refused, and that
	// none was made since. The ends of other connections may arrive late then.
	unreachable bool
	closed      bool
}

// BeginRead is called before the response is read, and EndRead after it.
func (r *WatchedRequest) BeginRead() { r.setReading(true) }

// EndRead is called when a read of the response has returned.
func (r *WatchedRequest) EndRead() { r.setReading(false) }

func (r *WatchedRequest) setReading(reading bool) {
	if r == nil {
		return
	}
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.reading = reading
}

// End records that the server has closed the connection, in order or not, before a response
// with a known length was complete.
func (r *WatchedRequest) End() {
	if r == nil {
		return
	}
	s, now := r.server, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running[r] {
		return
	}
	delete(s.running, r)
	r.endedAt = now
	kept := s.ends[:0]
	for _, e := range s.ends {
		if now.Sub(e.endedAt) <= endsKept {
			kept = append(kept, e)
		}
	}
	s.ends = append(kept, requestEnd{r.beganAt, now})
}

// Release ends the watch over the request. It may be called more than once.
func (r *WatchedRequest) Release() {
	if r == nil {
		return
	}
	s := r.server
	s.mu.Lock()
	released := r.released
	r.released = true
	delete(s.running, r)
	s.mu.Unlock()
	if !released {
		s.watcher.release(s)
	}
}

// Ending returns what is known of an undelimited response after End, if its server refuses
// connections now. If ctx ends, it decides by what is known by then.
func (r *WatchedRequest) Ending(ctx context.Context) Ending {
	if r == nil || !r.leaves() {
		return Refusing
	}
	for r.server.hasOpen() {
		if time.Since(r.endedAt) >= settleTime {
			return AnotherOpen
		}
		if !coordination.Sleep(ctx, endingPoll) {
			break
		}
	}
	if !r.hasOutlived() {
		return Refusing
	}
	coordination.Sleep(ctx, ExitTime-time.Since(r.endedAt))
	if r.server.endedWith(r) {
		return EndedTogether
	}
	return StoppedBefore
}

func (r *WatchedRequest) hasOutlived() bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return r.outlived
}

// hasOpen reports whether a connection to the server is open. That of a request counts only while
// its reader waits, since the end of others may not have been read yet.
func (s *watchedServer) hasOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return false
	}
	for r := range s.running {
		if r.reading {
			return true
		}
	}
	return s.witness.open()
}

// endedWith reports whether other requests ended at the same moment as r. Those that began
// together with it as well may have taken equally long.
func (s *watchedServer) endedWith(r *WatchedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.ends, func(e requestEnd) bool {
		return e.endedAt.Sub(r.endedAt).Abs() <= ExitTime && e.beganAt.Sub(r.beganAt).Abs() > 2*ExitTime
	})
}

func (s *watchedServer) run(ctx context.Context) {
	for coordination.Sleep(ctx, s.pause()) {
		if s.lookDue() {
			s.look(ctx)
		}
	}
}

// pause returns the time until the next look is due.
func (s *watchedServer) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusing := time.Since(s.refusedAt); !s.refusedAt.IsZero() && refusing < ExitTime {
		return ExitTime - refusing
	}
	return lookInterval
}

// lookDue reports whether a request goes on of which it is not known yet whether it outlives the
// listener.
func (s *watchedServer) lookDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if !r.outlived && r.leaves() {
			return true
		}
	}
	return false
}

// look connects to the server.
func (s *watchedServer) look(ctx context.Context) {
	conn, err := s.watcher.Dial(ctx, s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed && err == nil:
		_ = conn.Close()
	case s.closed:
	case err == nil:
		s.refusedAt, s.unreachable = time.Time{}, false
		s.witness.close()
		s.witness = newWitness(conn)
	case s.watcher.Refused(err):
		s.recordRefusal(time.Now())
	case s.watcher.OutOfReach(err):
		s.refusedAt, s.unreachable = time.Time{}, true
	}
}

// recordRefusal records that the server refuses connections. A request whose reader still waits
// ExitTime later outlives the listener: the end of its connection would have arrived. A reader
// that waits for its caller instead may have such an end before it. The caller holds s.mu.
func (s *watchedServer) recordRefusal(now time.Time) {
	if s.refusedAt.IsZero() {
		s.refusedAt = now
	}
	if s.unreachable || now.Sub(s.refusedAt) < ExitTime {
		return
	}
	for r := range s.running {
		r.outlived = r.outlived || r.reading
	}
}

// witness is a connection to a server on which nothing is sent.
type witness struct {
	conn  net.Conn
	ended chan struct{} // closed when the connection has ended
}

func newWitness(conn net.Conn) *witness {
	w := &witness{conn: conn, ended: make(chan struct{})}
	go w.run()
	return w
}

func (w *witness) run() {
	defer close(w.ended)
	// A server sends nothing without a request, but for a response that closes the connection.
	_, _ = w.conn.Read(make([]byte, 1))
}

// open reports whether the server has left the connection open. It may be called on nil.
func (w *witness) open() bool {
	if w == nil {
		return false
	}
	select {
	case <-w.ended:
		return false
	default:
		return true
	}
}

// close closes the connection. It may be called on nil.
func (w *witness) close() {
	if w != nil {
		_ = w.conn.Close()
	}
}
