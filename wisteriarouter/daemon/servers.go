package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"

	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// server is one bound listener with what it serves.
type server struct {
	http     *http.Server
	listener net.Listener
	active   *atomic.Int64
	onFail   func(error)
}

// newServer serves h on l. Headers have a limit in bytes and in time, so that a
// caller who sends them very slowly holds nothing but one connection for a
// short while.
func newServer(l net.Listener, h http.Handler, lim config.Limits, onFail func(error)) *server {
	s := &server{listener: l, active: new(atomic.Int64), onFail: onFail}
	s.http = &http.Server{
		Handler:           s.count(h),
		ReadHeaderTimeout: lim.HeaderWait,
		MaxHeaderBytes:    lim.HeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// listeners are bound before anything else is made, so that a port in use is
// found first, and other routers are told the port that was bound.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	readiness net.Listener // nil unless the router relays
}

// boundListener is a listener to be bound, and where it goes.
type boundListener struct {
	address string
	bound   *net.Listener
}

func newListeners(i do.Injector) (*listeners, error) {
	cfg := settingsOf(i).Listen
	ls := &listeners{}
	wanted := []boundListener{{cfg.Callers, &ls.callers}, {cfg.Operators, &ls.operators}, {cfg.Peers, &ls.peers}}
	if r := settingsOf(i).Relay; r != nil {
		wanted = append(wanted, boundListener{r.Readiness, &ls.readiness})
	}
	for _, each := range wanted {
		l, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, err
		}
		onStop(i, func() { _ = l.Close() })
		*each.bound = l
	}
	return ls, nil
}

// idleTimeout is how long a connection without a request stays open.
const idleTimeout = 90 * time.Second

// count counts the requests in flight.
func (s *server) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) run() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.onFail(err)
	}
}

// servers are the listeners of a router.
type servers struct {
	callers   *server
	operators *server
	peers     *server
	readiness *server // nil unless the router relays
	// keepIdle leaves unused connections of callers open while the router is
	// about to stop, since a request may just be on its way on one.
	keepIdle bool
	node     *peer.Node
	log      event.Log
	failed   chan struct{}
	once     sync.Once
	cause    error
}

// fail notes that a listener cannot go on.
func (s *servers) fail(err error) {
	s.once.Do(func() {
		s.cause = err
		s.log.Emit(event.Failed, event.F("error", err.Error()))
		close(s.failed)
	})
}

func (s *servers) err() error {
	select {
	case <-s.failed:
		return s.cause
	default:
		return nil
	}
}

// leave tells the other routers that this one takes no more requests.
func (s *servers) leave(ctx context.Context) {
	if !s.keepIdle {
		s.callers.http.SetKeepAlivesEnabled(false)
	}
	s.node.SetReady(false)
	s.node.Leave(ctx)
}

// drain waits until no request is in flight, then closes the listeners. It
// returns how many requests were left when ctx ended.
func (s *servers) drain(ctx context.Context) int {
	err := s.callers.http.Shutdown(ctx)
	left := 0
	if err != nil {
		left = int(s.callers.active.Load())
		s.callers.http.Close()
	}
	s.operators.http.Close()
	return left
}

// close ends all connections at once.
func (s *servers) close() {
	for _, each := range s.all() {
		each.http.Close()
	}
}

func (s *servers) all() []*server {
	all := []*server{s.callers, s.operators, s.peers}
	if s.readiness != nil {
		all = append(all, s.readiness)
	}
	return all
}
