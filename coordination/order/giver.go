package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// EngineClient sends an order to an engine.
type EngineClient interface {
	Order(ctx context.Context, t Target, o Order, f FencingToken) Result
}

// Pools provides this router's view of the pools.
type Pools interface {
	// AssignedPools returns the pools whose orders this router should currently
	// issue, as far as it knows. Two routers may both be assigned a pool for a
	// while; the lease decides between them.
	AssignedPools() []coordination.Pool
	// Targets returns the engines of a pool that are not leaving.
	Targets(p coordination.Pool) []Target
	// Plan returns the desired state of a pool's engines according to the
	// settings in force.
	Plan(p coordination.Pool) Plan
}

// Config configures a Reconciler. Fields that are zero take their default.
type Config struct {
	Self coordination.Instance
	// TTL is the lifetime of a lease, default 15 s.
	TTL time.Duration
	// Interval is the time between two rounds, default 1 s.
	Interval time.Duration
	// Pace returns the minimum time between two orders of a pool that read from
	// the weight store, so that its engines do not all read from it at once;
	// default 5 s.
	Pace func(p coordination.Pool) time.Duration
	// OnResult, if set, is called with the result of each order sent.
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

// Reconciler issues the orders of the pools whose leases this router holds.
type Reconciler struct {
	cfg     Config
	store   Store
	pools   Pools
	engines EngineClient
	active  map[coordination.Pool]*poolReconciler // used only by the loop goroutine
}

// New starts a reconciler and returns it with the function that stops it. After
// that, its leases expire on their own.
func New(cfg Config, store Store, pools Pools, engines EngineClient) (*Reconciler, func()) {
	g := &Reconciler{
		cfg:     cfg.withDefaults(),
		store:   store,
		pools:   pools,
		engines: engines,
		active:  make(map[coordination.Pool]*poolReconciler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { g.loop(ctx) })
	return g, func() {
		cancel()
		wg.Wait()
	}
}

func (g *Reconciler) loop(ctx context.Context) {
	for {
		g.reconcileAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.cfg.Interval):
		}
	}
}

// reconcileAll runs one round for each assigned pool. A pool that is no longer
// assigned is dropped: its lease expires, and another router can acquire it.
func (g *Reconciler) reconcileAll(ctx context.Context) {
	assigned := make(map[coordination.Pool]bool)
	for _, p := range g.pools.AssignedPools() {
		assigned[p] = true
		h := g.active[p]
		if h == nil {
			h = &poolReconciler{parent: g, pool: p}
			g.active[p] = h
		}
		h.reconcile(ctx)
	}
	for p := range g.active {
		if !assigned[p] {
			delete(g.active, p)
		}
	}
}

// poolReconciler issues the orders of one pool.
type poolReconciler struct {
	parent     *Reconciler
	pool       coordination.Pool
	lease      lease
	plan       Plan
	progress   map[Target]int // number of orders of the plan that the engine has acknowledged
	acquiredAt time.Time      // when the lease was acquired
	restarted  bool           // the plan has been sent again after the lease was acquired
	lastHeavy  time.Time      // when the last order that reads weights was sent
}

func (h *poolReconciler) reconcile(ctx context.Context) {
	if !h.ensureLease(ctx) {
		return
	}
	h.refreshPlan()
	targets := h.parent.pools.Targets(h.pool)
	h.forgetRemoved(targets)
	for _, t := range targets {
		if !h.sendPending(ctx, t) {
			return
		}
	}
}

// ensureLease acquires or renews the lease and reports whether orders may be
// sent.
func (h *poolReconciler) ensureLease(ctx context.Context) bool {
	cfg := h.parent.cfg
	ctx, cancel := context.WithTimeout(ctx, cfg.TTL/5)
	defer cancel()
	now := time.Now()
	if h.lease.fencing != 0 && now.Sub(h.lease.renewed) > cfg.TTL/5 {
		h.lease.renew(ctx, h.parent.store)
	}
	if h.lease.usable(time.Now()) {
		return true
	}
	if !h.lease.acquire(ctx, h.parent.store, h.pool, cfg.Self, cfg.TTL) {
		return false
	}
	h.acquiredAt, h.restarted = time.Now(), false
	h.progress = make(map[Target]int)
	return true
}

// refreshPlan starts again with the first order when the plan has changed, and
// once more when twice the TTL has passed since the lease was acquired: an
// engine that ignores fencing tokens may since have carried out an order that
// the previous holder sent before it was paused.
func (h *poolReconciler) refreshPlan() {
	plan := h.parent.pools.Plan(h.pool)
	if !plan.Equal(h.plan) {
		h.plan = plan
		h.progress = make(map[Target]int)
	}
	if !h.restarted && time.Since(h.acquiredAt) > 2*h.parent.cfg.TTL {
		h.restarted = true
		h.progress = make(map[Target]int)
	}
}

// forgetRemoved drops the progress of engines that have left or restarted.
func (h *poolReconciler) forgetRemoved(targets []Target) {
	for t := range h.progress {
		if !slices.Contains(targets, t) {
			delete(h.progress, t)
		}
	}
}

// sendPending sends one engine the orders that it lacks, and reports whether
// the round continues with the next engine.
func (h *poolReconciler) sendPending(ctx context.Context, t Target) bool {
	for h.progress[t] < len(h.plan) {
		o := h.plan[h.progress[t]]
		if o.Kind.ReadsWeights() && time.Since(h.lastHeavy) < h.parent.cfg.Pace(h.pool) {
			return false
		}
		// Checked right before sending: the process may have been paused since
		// ensureLease.
		if !h.lease.usable(time.Now()) {
			return false
		}
		r := h.send(ctx, t, o)
		if r == Fenced {
			h.lease.fencing = 0
			return false
		}
		if r == Unknown {
			return true // retried in the next round
		}
		h.progress[t]++
	}
	return true
}

func (h *poolReconciler) send(ctx context.Context, t Target, o Order) Result {
	ctx, cancel := context.WithTimeout(ctx, h.parent.cfg.TTL/5)
	defer cancel()
	if o.Kind.ReadsWeights() {
		h.lastHeavy = time.Now()
	}
	r := h.parent.engines.Order(ctx, t, o, h.lease.fencing)
	h.parent.cfg.OnResult(h.pool, t, o, r)
	return r
}
