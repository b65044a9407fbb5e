package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"wisteriaspool/wisteriarouter/downstream"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// server is one bound listener with what it serves.
type server struct {
	*downstream.Server
	close  func()
	onFail func(error)
}

// newServer serves h on l.
func newServer(l net.Listener, h http.Handler, cfg downstream.Config, onFail func(error)) *server {
	s, closeAll := downstream.NewServer(l, h, cfg)
	return &server{Server: s, close: closeAll, onFail: onFail}
}

// newServerConfig returns the limits of all listeners.
func newServerConfig(i do.Injector) downstream.Config {
	lim := settingsOf(i).Limits
	return downstream.Config{
		HeaderTimeout:  lim.HeaderWait,
		MaxHeaderBytes: lim.HeaderBytes,
		IdleTimeout:    idleTimeout,
		Observer:       newDrops(i),
	}
}

// drops implements downstream.Observer.
type drops struct {
	log   event.Log
	count prometheus.Counter
}

func newDrops(i do.Injector) *drops {
	d := &drops{log: logOf(i), count: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wisteria_requests_dropped_total",
		Help: "Requests that were read, in part or whole, on connections that ended without an answer.",
	})}
	do.MustInvoke[*prometheus.Registry](i).MustRegister(d.count)
	return d
}

// Dropped implements downstream.Observer.
func (d *drops) Dropped(each downstream.Drop) {
	d.count.Inc()
	d.log.Emit(event.RequestDropped,
		event.F("bytes", each.BytesRead),
		event.F("waited-ms", each.Elapsed.Milliseconds()),
		event.F("first", each.FirstRequest),
		event.F("gone", each.PeerClosed),
		event.F("draining", each.Draining))
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

func (s *server) address() string { return s.Addr().String() }

func (s *server) run() {
	if err := s.Serve(); !errors.Is(err, http.ErrServerClosed) {
		s.onFail(err)
	}
}

// servers are the listeners of a router.
type servers struct {
	callers   *server
	operators *server
	peers     *server
	readiness *server // nil unless the router relays
	node      *peer.Node
	log       event.Log
	failed    chan struct{}
	once      sync.Once
	cause     error
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

// leave tells callers and the other routers that this one takes no more requests.
func (s *servers) leave(ctx context.Context) {
	s.callers.DisableKeepAlives()
	s.node.SetReady(false)
	s.node.Leave(ctx)
}

// drain waits until no request is in flight and no connection of callers is left,
// then closes the listeners. It returns how many requests were left when ctx ended.
func (s *servers) drain(ctx context.Context) int {
	left := s.callers.Drain(ctx)
	return left + s.operators.Drain(ctx)
}

// close ends all connections at once.
func (s *servers) close() {
	for _, each := range s.all() {
		each.close()
	}
}

func (s *servers) all() []*server {
	all := []*server{s.callers, s.operators, s.peers}
	if s.readiness != nil {
		all = append(all, s.readiness)
	}
	return all
}
