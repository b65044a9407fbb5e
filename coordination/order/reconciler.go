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
	r := &Reconciler{
		cfg:     cfg.withDefaults(),
		store:   store,
		pools:   pools,
		engines: engines,
		active:  make(map[coordination.Pool]*poolReconciler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.loop(ctx) })
	return r, func() {
		cancel()
		wg.Wait()
	}
}

func (r *Reconciler) loop(ctx context.Context) {
	for {
		r.reconcileAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.cfg.Interval):
		}
	}
}

// reconcileAll runs one round for each assigned pool. A pool that is no longer
// assigned is dropped: its lease expires, and another router can acquire it.
func (r *Reconciler) reconcileAll(ctx context.Context) {
	assigned := make(map[coordination.Pool]bool)
	for _, p := range r.pools.AssignedPools() {
		assigned[p] = true
		pr := r.active[p]
		if pr == nil {
			pr = &poolReconciler{parent: r, pool: p}
			r.active[p] = pr
		}
		pr.reconcile(ctx)
	}
	for p := range r.active {
		if !assigned[p] {
			delete(r.active, p)
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

func (pr *poolReconciler) reconcile(ctx context.Context) {
	if !pr.ensureLease(ctx) {
		return
	}
	pr.refreshPlan()
	targets := pr.parent.pools.Targets(pr.pool)
	pr.forgetRemoved(targets)
	for _, t := range targets {
		if !pr.sendPending(ctx, t) {
			return
		}
	}
}

// ensureLease acquires or renews the lease and reports whether orders may be
// sent.
func (pr *poolReconciler) ensureLease(ctx context.Context) bool {
	cfg := pr.parent.cfg
	ctx, cancel := context.WithTimeout(ctx, cfg.TTL/5)
	defer cancel()
	now := time.Now()
	if pr.lease.fencing != 0 && now.Sub(pr.lease.renewed) > cfg.TTL/5 {
		pr.lease.renew(ctx, pr.parent.store)
	}
	if pr.lease.usable(time.Now()) {
		return true
	}
	if !pr.lease.acquire(ctx, pr.parent.store, pr.pool, cfg.Self, cfg.TTL) {
		return false
	}
	pr.acquiredAt, pr.restarted = time.Now(), false
	pr.progress = make(map[Target]int)
	return true
}

// refreshPlan starts again with the first order when the plan has changed, and
// once more when twice the TTL has passed since the lease was acquired: an
// engine that ignores fencing tokens may since have carried out an order that
// the previous holder sent before it was paused.
func (pr *poolReconciler) refreshPlan() {
	plan := pr.parent.pools.Plan(pr.pool)
	if !plan.Equal(pr.plan) {
		pr.plan = plan
		pr.progress = make(map[Target]int)
	}
	if !pr.restarted && time.Since(pr.acquiredAt) > 2*pr.parent.cfg.TTL {
		pr.restarted = true
		pr.progress = make(map[Target]int)
	}
}

// forgetRemoved drops the progress of engines that have left or restarted.
func (pr *poolReconciler) forgetRemoved(targets []Target) {
	for t := range pr.progress {
		if !slices.Contains(targets, t) {
			delete(pr.progress, t)
		}
	}
}

// sendPending sends one engine the orders that it lacks, and reports whether
// the round continues with the next engine.
func (pr *poolReconciler) sendPending(ctx context.Context, t Target) bool {
	for pr.progress[t] < len(pr.plan) {
		o := pr.plan[pr.progress[t]]
		if o.Kind.ReadsWeights() && time.Since(pr.lastHeavy) < pr.parent.cfg.Pace(pr.pool) {
			return false
		}
		// Checked right before sending: the process may have been paused since
		// ensureLease.
		if !pr.lease.usable(time.Now()) {
			return false
		}
		r := pr.send(ctx, t, o)
		if r == Fenced {
			pr.raiseToken(ctx)
			return false // sent again in the next round if the lease is still held
		}
		if r == Unknown {
			return true // retried in the next round
		}
		pr.progress[t]++
	}
	return true
}

func (pr *poolReconciler) raiseToken(ctx context.Context) {
	cfg := pr.parent.cfg
	ctx, cancel := context.WithTimeout(ctx, cfg.TTL/5)
	defer cancel()
	pr.lease.raiseToken(ctx, pr.parent.store, pr.pool, cfg.Self)
}

func (pr *poolReconciler) send(ctx context.Context, t Target, o Order) Result {
	ctx, cancel := context.WithTimeout(ctx, pr.parent.cfg.TTL/5)
	defer cancel()
	if o.Kind.ReadsWeights() {
		pr.lastHeavy = time.Now()
	}
	r := pr.parent.engines.Order(ctx, t, o, pr.lease.fencing)
	pr.parent.cfg.OnResult(pr.pool, t, o, r)
	return r
}
