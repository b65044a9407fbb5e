package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// Engines gives an order to an engine.
type Engines interface {
	Order(ctx context.Context, t Target, o Order, f Fencing) Result
}

// Pools tells what this router knows of the pools.
type Pools interface {
	// Duties returns the pools whose orders this router should give now, as far
	// as it knows. Two routers may think so at once; the lease decides.
	Duties() []coordination.Pool
	// Targets returns the engines of a pool that are not leaving.
	Targets(p coordination.Pool) []Target
	// Plan returns what the settings in force ask of a pool's engines.
	Plan(p coordination.Pool) Plan
}

// Config holds the times of a Giver. The zero value of each field stands for
// its default.
type Config struct {
	Self coordination.Instance
	// TTL is the term of a lease; 15 s.
	TTL time.Duration
	// Interval is the time between two rounds; 1 s.
	Interval time.Duration
	// Pace returns the time between two heavy orders of a pool, so that its
	// engines do not all read from the weight store at once; 5 s.
	Pace func(p coordination.Pool) time.Duration
	// OnResult, if set, is told of each order given.
	OnResult func(p coordination.Pool, t Target, o Order, r Result)
}

func (c Config) withDefaults() Config {
	setDuration(&c.TTL, 15*time.Second)
	setDuration(&c.Interval, time.Second)
	if c.Pace == nil {
		c.Pace = func(coordination.Pool) time.Duration { return defaultPace }
	}
	if c.OnResult == nil {
		c.OnResult = func(coordination.Pool, Target, Order, Result) {}
	}
	return c
}

const defaultPace = 5 * time.Second

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Giver gives the orders of the pools that this router holds.
type Giver struct {
	cfg     Config
	store   Store
	pools   Pools
	engines Engines
	held    map[coordination.Pool]*hold // used by the loop alone
}

// New starts a giver, and returns the function that stops it. Its leases then
// lapse by themselves.
func New(cfg Config, store Store, pools Pools, engines Engines) (*Giver, func()) {
	g := &Giver{
		cfg:     cfg.withDefaults(),
		store:   store,
		pools:   pools,
		engines: engines,
		held:    make(map[coordination.Pool]*hold),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { g.loop(ctx) })
	return g, func() {
		cancel()
		wg.Wait()
	}
}

func (g *Giver) loop(ctx context.Context) {
	for {
		g.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.cfg.Interval):
		}
	}
}

// round does what is due for each pool on duty. A pool that is no longer on
// duty is let go: its lease lapses, and another router takes it.
func (g *Giver) round(ctx context.Context) {
	duty := make(map[coordination.Pool]bool)
	for _, p := range g.pools.Duties() {
		duty[p] = true
		h := g.held[p]
		if h == nil {
			h = &hold{giver: g, pool: p}
			g.held[p] = h
		}
		h.round(ctx)
	}
	for p := range g.held {
		if !duty[p] {
			delete(g.held, p)
		}
	}
}

// hold is a giver's work on one pool.
type hold struct {
	giver *Giver
	pool  coordination.Pool
	lease lease
	plan  Plan
	given map[Target]int // orders of the plan that the engine has taken
	taken time.Time      // when the lease was acquired
	again bool           // the second round has begun
	heavy time.Time      // when the last heavy order was given
}

func (h *hold) round(ctx context.Context) {
	if !h.keep(ctx) {
		return
	}
	h.follow()
	targets := h.giver.pools.Targets(h.pool)
	h.forget(targets)
	for _, t := range targets {
		if !h.serve(ctx, t) {
			return
		}
	}
}

// keep acquires or renews the lease and reports whether orders may be given.
func (h *hold) keep(ctx context.Context) bool {
	cfg := h.giver.cfg
	ctx, cancel := context.WithTimeout(ctx, cfg.TTL/5)
	defer cancel()
	now := time.Now()
	if h.lease.fencing != 0 && now.Sub(h.lease.renewed) > cfg.TTL/5 {
		h.lease.renew(ctx, h.giver.store)
	}
	if h.lease.held(time.Now()) {
		return true
	}
	if !h.lease.acquire(ctx, h.giver.store, h.pool, cfg.Self, cfg.TTL) {
		return false
	}
	h.taken, h.again = time.Now(), false
	h.given = make(map[Target]int)
	return true
}

// follow starts anew when the plan has changed, and once more a while after the
// lease was acquired: an engine that ignores fencing numbers may since have
// taken an order that the last holder sent before it was frozen.
func (h *hold) follow() {
	plan := h.giver.pools.Plan(h.pool)
	if !plan.Equal(h.plan) {
		h.plan = plan
		h.given = make(map[Target]int)
	}
	if !h.again && time.Since(h.taken) > 2*h.giver.cfg.TTL {
		h.again = true
		h.given = make(map[Target]int)
	}
}

// forget drops what it knows of engines that have gone or restarted.
func (h *hold) forget(targets []Target) {
	for t := range h.given {
		if !slices.Contains(targets, t) {
			delete(h.given, t)
		}
	}
}

// serve gives one engine what it lacks and reports whether the round goes on.
func (h *hold) serve(ctx context.Context, t Target) bool {
	for h.given[t] < len(h.plan) {
		o := h.plan[h.given[t]]
		if o.Kind.Heavy() && time.Since(h.heavy) < h.giver.cfg.Pace(h.pool) {
			return false
		}
		// Right before sending: the process may have been frozen since keep.
		if !h.lease.held(time.Now()) {
			return false
		}
		r := h.give(ctx, t, o)
		if r == Fenced {
			h.lease.fencing = 0
			return false
		}
		if r == Unknown {
			return true // tried again in the next round
		}
		h.given[t]++
	}
	return true
}

func (h *hold) give(ctx context.Context, t Target, o Order) Result {
	ctx, cancel := context.WithTimeout(ctx, h.giver.cfg.TTL/5)
	defer cancel()
	if o.Kind.Heavy() {
		h.heavy = time.Now()
	}
	r := h.giver.engines.Order(ctx, t, o, h.lease.fencing)
	h.giver.cfg.OnResult(h.pool, t, o, r)
	return r
}
