// Package daemon puts a router together and runs it.
package daemon

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"wisteriaspool/coordination"
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
	stopWithin time.Duration // longest shutdown
	stopDelay  time.Duration // for which new requests are served in a shutdown
}

// state is what all parts of a router may ask about its life.
type state struct {
	instance     coordination.Instance
	incarnation  coordination.Incarnation
	started      time.Time
	ready        atomic.Bool               // has settings and endpoints
	leaving      atomic.Bool               // told the balancer and the other routers so
	stopping     atomic.Bool               // refuses new requests
	stopDeadline atomic.Pointer[time.Time] // by when what is in flight is cut off; nil before stopping
	drainCtx     context.Context           // done when what is in flight has to be answered
	cancelDrain  context.CancelFunc        // ends it
	inFlight     func() int                // requests of callers; set before the listeners serve
}

// remaining returns how long a router that is stopping still serves; false before.
func (s *state) remaining() (time.Duration, bool) {
	ends := s.stopDeadline.Load()
	if ends == nil {
		return 0, false
	}
	return time.Until(*ends), true
}

// String returns the state as operators see it.
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

// Ready reports whether the balancer should send requests here.
func (s *state) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// cleanups are run in reverse order of their making.
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

// Start starts a router and returns it with its graceful shutdown, which
// returns how many requests it had to cut off.
func Start(cfg *config.Config) (*Daemon, func() int, error) {
	return start(cfg, os.Stdout)
}

func start(cfg *config.Config, logs io.Writer) (*Daemon, func() int, error) {
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

// Failed is closed when the router cannot go on.
func (d *Daemon) Failed() <-chan struct{} { return d.servers.failed }

// Err returns why the router could not go on, or nil.
func (d *Daemon) Err() error { return d.servers.err() }

// CallersAddress returns the address for callers as it was bound.
func (d *Daemon) CallersAddress() string { return d.servers.callers.address() }

// OperatorsAddress returns the address for operators as it was bound.
func (d *Daemon) OperatorsAddress() string { return d.servers.operators.address() }

// PeersAddress returns the address for other routers as it was bound.
func (d *Daemon) PeersAddress() string { return d.servers.peers.address() }

// ReadinessAddress returns the address on which the platform's balancer asks,
// or nothing if the router does not relay.
func (d *Daemon) ReadinessAddress() string {
	if d.servers.readiness == nil {
		return ""
	}
	return d.servers.readiness.address()
}

// answerReserve is how long before the end of a stop what is still in flight is
// answered, if it can be, in place of the answer that it waits for.
const answerReserve = 200 * time.Millisecond

// shutdown stops the router gracefully: it refuses new requests, tells the
// other routers, lets what is in flight finish, and only then ends its own
// parts. It returns how many requests were left when the limit passed.
func (d *Daemon) shutdown() int {
	if d.state.leaving.Swap(true) {
		return 0
	}
	d.log.Emit(event.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), d.stopWithin)
	defer cancel()
	d.servers.leave(ctx)
	// The balancer goes on sending requests until it has seen that this router
	// is not ready. They are served, so that its callers notice nothing.
	time.Sleep(d.stopDelay)
	if end, ok := ctx.Deadline(); ok {
		d.state.stopDeadline.Store(&end)
		defer time.AfterFunc(time.Until(end.Add(-answerReserve)), d.state.cancelDrain).Stop()
	}
	d.state.stopping.Store(true)
	left := d.servers.drain(ctx)
	d.cleanups.run()
	d.log.Emit(event.Stopped, event.F("in-flight", left))
	d.stopLog()
	return left
}
