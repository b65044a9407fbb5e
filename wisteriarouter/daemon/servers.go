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

// server serves HTTP on a bound listener.
type server struct {
	*downstream.Server
	close  func()
	onFail func(error)
}

// newServer creates a server for l. It calls onFail if the listener fails.
func newServer(l net.Listener, h http.Handler, cfg downstream.Config, onFail func(error)) *server {
	s, closeAll := downstream.NewServer(l, h, cfg)
	return &server{Server: s, close: closeAll, onFail: onFail}
}

// newServerConfig returns the configuration shared by all listeners.
func newServerConfig(i do.Injector) downstream.Config {
	lim := configOf(i).Limits
	return downstream.Config{
		HeaderTimeout:  lim.HeaderWait,
		MaxHeaderBytes: lim.HeaderBytes,
		IdleTimeout:    idleTimeout,
		Observer:       newDropObserver(i),
	}
}

// dropObserver implements downstream.Observer. It counts and logs dropped
// requests.
type dropObserver struct {
	log   event.Log
	count prometheus.Counter
}

func newDropObserver(i do.Injector) *dropObserver {
	d := &dropObserver{log: logOf(i), count: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wisteria_requests_dropped_total",
		Help: "Requests that were read, in part or whole, on connections that ended without an answer.",
	})}
	do.MustInvoke[*prometheus.Registry](i).MustRegister(d.count)
	return d
}

// Dropped implements downstream.Observer.
func (d *dropObserver) Dropped(each downstream.Drop) {
	d.count.Inc()
	d.log.Emit(event.RequestDropped,
		event.F("bytes", each.BytesRead),
		event.F("waited-ms", each.Elapsed.Milliseconds()),
		event.F("first", each.FirstRequest),
		event.F("gone", each.ClientClosed),
		event.F("draining", each.Draining))
}

// listeners are bound before any other part is created, so that a port in use
// is detected first, and other routers learn the port that was bound.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	readiness net.Listener // nil unless the router relays
}

// listenTarget is an address to listen on and where its listener is stored.
type listenTarget struct {
	address  string
	listener *net.Listener
}

func newListeners(i do.Injector) (*listeners, error) {
	cfg := configOf(i).Listen
	ls := &listeners{}
	wanted := []listenTarget{{cfg.Callers, &ls.callers}, {cfg.Operators, &ls.operators}, {cfg.Peers, &ls.peers}}
	if r := configOf(i).Relay; r != nil {
		wanted = append(wanted, listenTarget{r.Readiness, &ls.readiness})
	}
	for _, each := range wanted {
		l, err := net.Listen("tcp", each.address)
		if err != nil {
			return nil, err
		}
		onStop(i, func() { _ = l.Close() })
		*each.listener = l
	}
	return ls, nil
}

// idleTimeout is how long a connection without a request is kept open.
const idleTimeout = 90 * time.Second

func (s *server) address() string { return s.Addr().String() }

func (s *server) run() {
	if err := s.Serve(); !errors.Is(err, http.ErrServerClosed) {
		s.onFail(err)
	}
}

// servers holds the servers of all listeners of a router.
type servers struct {
	callers   *server
	operators *server
	peers     *server
	readiness *server // nil unless the router relays
	node      *peer.Node
	tunnels   *peer.TunnelServer // nil unless the router relays
	log       event.Log
	failed    chan struct{}
	once      sync.Once
	cause     error
}

// fail records that a listener has failed. Only the first failure counts.
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

// leave tells callers and the other routers that this router accepts no more
// requests.
func (s *servers) leave(ctx context.Context) {
	s.callers.DisableKeepAlives()
	if s.readiness != nil {
		s.readiness.DisableKeepAlives()
	}
	s.node.SetReady(false)
	s.node.Leave(ctx)
}

// readinessDrainTime limits how long connections of readiness checks delay the end of a
// router.
const readinessDrainTime = 700 * time.Millisecond

// drain waits until no request is in flight, no connection of callers is open and no
// other router uses this one to reach endpoints, then closes the listeners. It returns
// the number of requests left when ctx ended. Readiness checks are answered to the end.
func (s *servers) drain(ctx context.Context) int {
	left := s.callers.Drain(ctx)
	left += s.operators.Drain(ctx)
	if s.tunnels != nil {
		s.tunnels.Drain(ctx)
	}
	if s.readiness != nil {
		ctx, cancel := context.WithTimeout(ctx, readinessDrainTime)
		defer cancel()
		s.readiness.Drain(ctx)
	}
	return left
}

// close closes all connections at once.
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
