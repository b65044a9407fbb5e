package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

// EngineClient gives an order to an engine.
type EngineClient interface {
	Order(ctx context.Context, t Target, o Order, f FencingToken) Result
}

// Pools tells what this router knows of the pools.
type Pools interface {
	// AssignedPools returns the pools whose orders this router should give now, as far
	// as it knows. Two routers may think so at once; the lease decides.
	AssignedPools() []coordination.Pool
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

// Reconciler gives the orders of the pools that this router holds.
type Reconciler struct {
	cfg     Config
	store   Store
	pools   Pools
	engines EngineClient
	active  map[coordination.Pool]*poolReconciler // used by the loop alone
}

// New starts a giver, and returns the function that stops it. Its leases then
// lapse by themselves.
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

// reconcileAll does what is due for each pool on duty. A pool that is no longer on
// duty is let go: its lease lapses, and another router takes it.
func (g *Reconciler) reconcileAll(ctx context.Context) {
	duty := make(map[coordination.Pool]bool)
	for _, p := range g.pools.AssignedPools() {
		duty[p] = true
		h := g.active[p]
		if h == nil {
			h = &poolReconciler{parent: g, pool: p}
			g.active[p] = h
		}
		h.reconcile(ctx)
	}
	for p := range g.active {
		if !duty[p] {
			delete(g.active, p)
		}
	}
}

// poolReconciler is a giver's work on one pool.
type poolReconciler struct {
	parent     *Reconciler
	pool       coordination.Pool
	lease      lease
	plan       Plan
	progress   map[Target]int // orders of the plan that the engine has taken
	acquiredAt time.Time      // when the lease was acquired
	restarted  bool           // the second round has begun
	lastHeavy  time.Time      // when the last heavy order was given
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

// ensureLease acquires or renews the lease and reports whether orders may be given.
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

// refreshPlan starts anew when the plan has changed, and once more a while after the
// lease was acquired: an engine that ignores fencing numbers may since have
// taken an order that the last holder sent before it was frozen.
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

// forgetRemoved drops what it knows of engines that have gone or restarted.
func (h *poolReconciler) forgetRemoved(targets []Target) {
	for t := range h.progress {
		if !slices.Contains(targets, t) {
			delete(h.progress, t)
		}
	}
}

// sendPending gives one engine what it lacks and reports whether the round goes on.
func (h *poolReconciler) sendPending(ctx context.Context, t Target) bool {
	for h.progress[t] < len(h.plan) {
		o := h.plan[h.progress[t]]
		if o.Kind.ReadsWeights() && time.Since(h.lastHeavy) < h.parent.cfg.Pace(h.pool) {
			return false
		}
		// Right before sending: the process may have been frozen since keep.
		if !h.lease.usable(time.Now()) {
			return false
		}
		r := h.send(ctx, t, o)
		if r == Fenced {
			h.lease.fencing = 0
			return false
		}
		if r == Unknown {
			return true // tried again in the next round
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
