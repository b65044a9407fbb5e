// Package daemon assembles the parts of a router from its configuration, runs
// them and shuts them down.
package daemon

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"wisteriaspool/coordination"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/event"
)

// Daemon is a running router.
type Daemon struct {
	injector   do.Injector
	cleanups   *cleanups
	servers    *servers
	state      *state
	log        event.Log
	logger     *logrus.Logger
	stopLog    func()
	stopWithin time.Duration // maximum duration of a shutdown
	stopDelay  time.Duration // how long new requests are still served during a shutdown
}

// state is the lifecycle state of a router, shared by its parts.
type state struct {
	instance    coordination.Instance
	incarnation coordination.Incarnation
	started     time.Time
	ready       atomic.Bool               // settings and endpoints are known
	leaving     atomic.Bool               // the router announces that it is stopping
	stopping    atomic.Bool               // new requests are refused
	answerBy    atomic.Pointer[time.Time] // when requests in flight are cut off; nil before stopping
	drainCtx    context.Context           // done when requests in flight must be answered
	cancelDrain context.CancelFunc        // cancels drainCtx
	inFlight    func() int                // number of callers' requests; set before the listeners serve
}

// remaining returns how long a stopping router still serves requests. It
// reports false if the router is not stopping.
func (s *state) remaining() (time.Duration, bool) {
	ends := s.answerBy.Load()
	if ends == nil {
		return 0, false
	}
	return time.Until(*ends), true
}

// String returns the state as shown to operators.
func (s *state) String() string {
	switch {
	case s.leaving.Load():
		return "stopping"
	case s.ready.Load():
		return "ready"
	default:
		return "starting"
	}
}

// Ready reports whether the load balancer should send requests to this router.
func (s *state) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// cleanups is a list of functions that run at shutdown, last added first.
type cleanups struct {
	mu  sync.Mutex
	fns []func()
}

func (c *cleanups) add(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fns = append(c.fns, fn)
}

func (c *cleanups) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.fns) - 1; i >= 0; i-- {
		c.fns[i]()
	}
	c.fns = nil
}

// Start starts a router. It returns the router and a function that shuts it
// down gracefully and returns the number of requests that it had to cut off. It
// fails if a part cannot be created, for example because the address of a
// listener is in use.
func Start(cfg *config.Config) (*Daemon, func() int, error) {
	return start(cfg, os.Stdout, platform.Dialer(dialTimeout).DialContext)
}

// endpointDial connects to an endpoint.
type endpointDial func(ctx context.Context, network, address string) (net.Conn, error)

func start(cfg *config.Config, logs io.Writer, dial endpointDial) (*Daemon, func() int, error) {
	now := time.Now()
	writer, stopLog := event.NewWriter(logs)
	logger := newLogger(cfg.Log, writer)
	d := &Daemon{
		logger:     logger,
		stopLog:    stopLog,
		injector:   do.New(),
		cleanups:   &cleanups{},
		log:        event.NewLog(logger, event.F("router", cfg.Instance)),
		stopWithin: cfg.Limits.StopWithin,
		stopDelay:  min(cfg.Limits.StopDelay, cfg.Limits.StopWithin/2),
		state: &state{
			instance:    cfg.Instance,
			incarnation: coordination.Incarnation(now.UnixMilli()),
			started:     now,
		},
	}
	d.state.drainCtx, d.state.cancelDrain = context.WithCancel(context.Background())
	d.cleanups.add(d.state.cancelDrain)
	do.ProvideValue(d.injector, cfg)
	do.ProvideValue(d.injector, dial)
	do.ProvideValue(d.injector, d.log)
	do.ProvideValue(d.injector, d.state)
	do.ProvideValue(d.injector, d.cleanups)
	if cfg.Relay != nil {
		provideRelay(d.injector)
	} else {
		provide(d.injector)
	}
	servers, err := do.Invoke[*servers](d.injector)
	if err != nil {
		d.cleanups.run()
		d.log.Emit(event.Failed, event.F("error", err.Error()))
		stopLog()
		return nil, nil, err
	}
	d.servers = servers
	d.log.Emit(event.Started,
		event.F("instance", cfg.Instance),
		event.F("availability-zone", cfg.Zone),
		event.F("callers", servers.callers.address()),
		event.F("operators", servers.operators.address()),
		event.F("peers", servers.peers.address()))
	return d, d.shutdown, nil
}

func newLogger(cfg config.Log, w *event.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetLevel(cfg.Level)
	if cfg.JSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	w.Attach(l)
	return l
}

// Failed returns a channel that is closed when a listener fails, after which
// the router cannot continue.
func (d *Daemon) Failed() <-chan struct{} { return d.servers.failed }

// Err returns the error of the listener that failed, or nil.
func (d *Daemon) Err() error { return d.servers.err() }

// CallersAddress returns the bound address of the listener for callers.
func (d *Daemon) CallersAddress() string { return d.servers.callers.address() }

// OperatorsAddress returns the bound address of the listener for operators.
func (d *Daemon) OperatorsAddress() string { return d.servers.operators.address() }

// PeersAddress returns the bound address of the listener for other routers.
func (d *Daemon) PeersAddress() string { return d.servers.peers.address() }

// ReadinessAddress returns the bound address of the listener for the readiness
// checks of the platform's load balancer. It is empty if the router does not
// relay.
func (d *Daemon) ReadinessAddress() string {
	if d.servers.readiness == nil {
		return ""
	}
	return d.servers.readiness.address()
}

// answerReserve is the time before the end of a shutdown at which the router
// answers the requests still in flight itself, where possible, instead of
// waiting for their endpoints.
const answerReserve = 200 * time.Millisecond

// shutdown stops the router gracefully: it announces the shutdown, serves new
// requests for stopDelay, then refuses them, waits for the requests in flight,
// and at last stops its own parts. It returns the number of requests left when
// the time limit passed. Further calls return 0 at once.
func (d *Daemon) shutdown() int {
	if d.state.leaving.Swap(true) {
		return 0
	}
	d.log.Emit(event.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), d.stopWithin)
	defer cancel()
	d.servers.leave(ctx)
	// The load balancer sends requests until it has seen that this router is
	// not ready. They are served, so that callers see no failure.
	time.Sleep(d.stopDelay)
	if end, ok := ctx.Deadline(); ok {
		answerBy := end.Add(-answerReserve)
		d.state.answerBy.Store(&answerBy)
		defer time.AfterFunc(time.Until(answerBy), d.state.cancelDrain).Stop()
	}
	d.state.stopping.Store(true)
	left := d.servers.drain(ctx)
	d.cleanups.run()
	d.log.Emit(event.Stopped, event.F("in-flight", left))
	d.stopLog()
	return left
}
