package suspicion

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Transport carries requests to the gates of other routers.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// Spreader gossips a message to all routers.
type Spreader interface {
	Spread(topic string, payload []byte)
}

// GateLocator maps the hash of a fingerprint to the router that is its gate.
type GateLocator interface {
	OwnerOfHash(hash uint64) coordination.Instance
}

// Guard tracks the requests that enter through one router and reports them to
// their gates.
type Guard struct {
	instance    coordination.Instance
	incarnation coordination.Incarnation
	table       *Table
	gate        *Gate
	transport   Transport
	spreader    Spreader
	completions *completions
	caughtUp    chan struct{} // closed when requests need not wait for the records of other routers
	locator     atomic.Value  // holds a locatorBox

	mu         sync.Mutex
	onChange   func() // nil for none
	onState    func(r Record, before, after State)
	lastNumber uint64
	tracked    map[Fingerprint][]*TrackedRequest
	served     map[coordination.Pool]time.Time // when a request last ran to completion; kept for parts only
}

type locatorBox struct{ GateLocator }

// NewGuard returns the guard of a router; gate is that router's own gate.
func NewGuard(id coordination.Instance, n coordination.Incarnation, gate *Gate, t Transport, s Spreader) *Guard {
	g := &Guard{
		instance:    id,
		incarnation: n,
		table:       gate.table,
		gate:        gate,
		transport:   t,
		spreader:    s,
		completions: newCompletions(gate.cfg.CompletionWindow, gate.cfg.Limit),
		tracked:     make(map[Fingerprint][]*TrackedRequest),
		served:      make(map[coordination.Pool]time.Time),
		caughtUp:    make(chan struct{}),
	}
	g.EndCatchUp()
	return g
}

// Update sets a new list of routers and claims the suspects running on this
// router at their gates, which may have changed.
func (g *Guard) Update(ctx context.Context, p GateLocator) {
	g.locator.Store(locatorBox{p})
	g.gate.MembersChanged(time.Now())
	g.Renew(ctx)
	g.changed() // this router may have become the gate of convicted requests
}

// Renew renews the claims of the suspects running on this router. The router
// has to call it twice within each Config.MaxRun.
func (g *Guard) Renew(ctx context.Context) {
	for _, r := range g.registeredRequests() {
		g.sendClaim(ctx, r)
	}
}

// registeredRequests returns the requests that their gates know of, or should
// know of. Those that wait for their gates do not run.
func (g *Guard) registeredRequests() []*TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := lo.Flatten(lo.Values(g.tracked))
	all = lo.Filter(all, func(r *TrackedRequest, _ int) bool { return r.registered && !r.waiting })
	slices.SortFunc(all, func(a, b *TrackedRequest) int { return int(a.copy.Number) - int(b.copy.Number) })
	return all
}

// HandleRecord processes a record received on [Topics.Record] and reports whether
// it was new. Copies of the request running here that the gate does not know of
// are claimed, so that it admits no other copy at the same time. The error is
// of type [ErrMalformed].
func (g *Guard) HandleRecord(ctx context.Context, payload []byte) (news bool, err error) {
	r, err := DecodeRecord(payload)
	if err != nil {
		return false, err
	}
	return g.merge(ctx, r), nil
}

// merge takes over a record and reports whether it was new.
func (g *Guard) merge(ctx context.Context, r Record) bool {
	_, before := g.table.Find(time.Now(), r.Fingerprint)
	if !g.table.Merge(time.Now(), r) {
		return false
	}
	g.changed()
	g.stateChanged(r.Fingerprint, before)
	g.claim(ctx, r.Fingerprint)
	g.reportServed(ctx, r.Fingerprint)
	return true
}

// reportServed tells the gate of a part that requests of the same pool have completed since
// its first crash, if only that is missing for a conviction. Routers that get few requests
// with the part may know.
func (g *Guard) reportServed(ctx context.Context, fp Fingerprint) {
	now := time.Now()
	r, state := g.table.Find(now, fp)
	if state != Suspect || r.Pool == "" || r.poolServes() || countSpaced(newCrashes(r)) < partCrashesToConvict {
		return
	}
	ago := g.servedAgo(now, r.Pool)
	if ago == 0 || unixMillis(now.Add(-ago.Duration())) <= r.Crashes[0].At {
		return
	}
	g.report(ctx, GateRequest{Fingerprint: fp, Copy: Copy{Instance: g.instance, Incarnation: g.incarnation}, Step: PoolServes, ServedAgo: ago})
}

// servedAgo returns how long ago this router saw a request of a pool run to completion, and
// zero if it has seen none.
func (g *Guard) servedAgo(now time.Time, p coordination.Pool) Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.served[p]
	if !ok {
		return 0
	}
	return max(millis(now.Sub(at)), 1)
}

// OnChange registers fn, which is called after each change of a record or of the list of
// routers. fn must not block.
func (g *Guard) OnChange(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onChange = fn
}

// OnState registers fn, which is called when a record has changed the state of its
// fingerprint. fn must not block.
func (g *Guard) OnState(fn func(r Record, before, after State)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onState = fn
}

func (g *Guard) stateChanged(fp Fingerprint, before State) {
	g.mu.Lock()
	fn := g.onState
	g.mu.Unlock()
	if r, after := g.table.Find(time.Now(), fp); fn != nil && after != before {
		fn(r, before, after)
	}
}

func (g *Guard) changed() {
	g.mu.Lock()
	fn := g.onChange
	g.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// OwnConvictions returns the records of the convicted requests whose gate is this router.
func (g *Guard) OwnConvictions() []Record {
	now := time.Now()
	all, _ := g.table.live(now)
	return lo.Filter(all, func(r Record, _ int) bool {
		_, state := g.table.Find(now, r.Fingerprint)
		return state == Convicted && g.gateOf(r.Fingerprint) == g.instance
	})
}

// Status is a record and the state derived from it.
type Status struct {
	Record
	State     State
	NextTrial time.Time // zero if there is none
}

// Statuses returns the records with crashes that this router knows, convictions first.
func (g *Guard) Statuses() []Status {
	now := time.Now()
	all, _ := g.table.live(now)
	return lo.FilterMap(all, func(r Record, _ int) (Status, bool) {
		j := Status{Record: r}
		_, j.State = g.table.Find(now, r.Fingerprint)
		if at, ok := nextTrial(r); ok && g.table.cfg.Parts && j.State == Convicted {
			j.NextTrial = at
		}
		return j, len(r.Crashes) > 0
	})
}

// Clear clears a fingerprint on all routers as an operator says, and reports whether
// crashes count against it.
func (g *Guard) Clear(ctx context.Context, fp Fingerprint) bool {
	if r, _ := g.table.Find(time.Now(), fp); len(r.Crashes) == 0 {
		return false
	}
	g.report(ctx, GateRequest{Fingerprint: fp, Copy: Copy{Instance: g.instance, Incarnation: g.incarnation}, Step: ClearedByOperator})
	return true
}

// OwnsCleared reports whether this router is the gate of a fingerprint that was cleared and
// is not convicted again.
func (g *Guard) OwnsCleared(fp Fingerprint) bool {
	r, state := g.table.Find(time.Now(), fp)
	return r.Cleared > 0 && state != Convicted && g.gateOf(fp) == g.instance
}

// claim registers with the gate the copies of a suspect that run here and that
// the gate does not know of.
func (g *Guard) claim(ctx context.Context, fp Fingerprint) {
	if _, state := g.table.Find(time.Now(), fp); state != Suspect && state != Exempt {
		return
	}
	for _, r := range g.registerAll(fp) {
		g.sendClaim(ctx, r)
	}
}

// sendClaim tells a gate that a request runs. The request's own report that it does not any
// more may overtake that, so that the claim is withdrawn then.
func (g *Guard) sendClaim(ctx context.Context, r *TrackedRequest) {
	g.step(ctx, r, Claim)
	if !g.runs(r) {
		g.step(ctx, r, Abandoned)
	}
}

// runs reports whether a request is tracked and does not wait for its gate.
func (g *Guard) runs(r *TrackedRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !r.waiting && slices.Contains(g.tracked[r.fingerprint], r)
}

// registerAll marks the requests of a fingerprint as known to the gate and
// returns those that were not.
func (g *Guard) registerAll(f Fingerprint) []*TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	unregistered := lo.Filter(g.tracked[f], func(r *TrackedRequest, _ int) bool { return !r.registered && !r.waiting })
	for _, r := range unregistered {
		r.registered = true
	}
	return unregistered
}

// HandleGate answers a message received on [Topics.Gate]. The error is of type
// [ErrMalformed].
func (g *Guard) HandleGate(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeGateRequest(payload)
	if err != nil {
		return nil, err
	}
	return g.handleStep(ctx, m).Encode(), nil
}

// handleStep processes a step at the own gate. A changed record also applies to
// copies on this router, which gossip does not reach.
func (g *Guard) handleStep(ctx context.Context, m GateRequest) GateReply {
	if m.Known != nil {
		g.merge(ctx, *m.Known)
	}
	_, before := g.table.Find(time.Now(), m.Fingerprint)
	reply, r := g.gate.Handle(time.Now(), m)
	if r != nil {
		g.stateChanged(m.Fingerprint, before)
		g.spreader.Spread(g.table.cfg.Topics().Record, r.Encode())
		g.changed()
		g.claim(ctx, r.Fingerprint)
		g.reportServed(ctx, r.Fingerprint)
	}
	return reply
}

// Refusal says why a request must not run, and when to retry.
type Refusal struct {
	Poison     bool // convicted; otherwise the request is a suspect that has to wait
	RetryAfter time.Duration
}

// TrackedRequest is a request from its arrival to its end.
type TrackedRequest struct {
	guard       *Guard
	fingerprint Fingerprint
	pool        coordination.Pool
	copy        Copy
	alone       atomic.Bool
	admitted    atomic.Bool        // by its gate
	trial       atomic.Bool        // may run although its fingerprint is convicted
	registered  bool               // known to its gate; guarded by Guard.mu
	waiting     bool               // for its gate, so that it does not run; guarded by Guard.mu
	unsettled   []unsettledAttempt // guarded by Guard.mu
	ended       bool               // tracked only for its unsettled attempts; guarded by Guard.mu
}

// Admitted reports whether the gate has admitted the request. A claim made on
// receipt of a gossiped record is no admission: the request may be on its way
// to an endpoint, and still has to ask the gate.
func (r *TrackedRequest) Admitted() bool { return r.admitted.Load() }

// Alone reports whether the request has to run on an endpoint without other
// suspects.
func (r *TrackedRequest) Alone() bool { return r.alone.Load() }

// Begin starts tracking a request. For a suspect it waits until the gate admits
// it or ctx ends, and any request waits while the router catches up with the others. If
// the request must not run, Begin returns nil and the refusal.
func (g *Guard) Begin(ctx context.Context, fp Fingerprint, p coordination.Pool) (*TrackedRequest, Refusal) {
	if !g.awaitCatchUp(ctx) {
		return nil, Refusal{RetryAfter: minRetryWait}
	}
	// Tracking starts before the check, so that a record that arrives in
	// between finds either a copy to claim or a suspect that has to ask the
	// gate.
	r := g.track(fp, p)
	advice, after := g.table.Check(time.Now(), fp, p)
	if advice == Refuse {
		r.Abandoned(context.WithoutCancel(ctx))
		return nil, Refusal{Poison: true, RetryAfter: after}
	}
	if advice == Run {
		return r, Refusal{}
	}
	g.register(r)
	if refusal, ok := r.enter(ctx); !ok {
		r.Abandoned(context.WithoutCancel(ctx))
		return nil, refusal
	}
	return r, Refusal{}
}

func (g *Guard) track(fp Fingerprint, p coordination.Pool) *TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	r := &TrackedRequest{
		guard:       g,
		fingerprint: fp,
		pool:        p,
		copy:        Copy{Instance: g.instance, Incarnation: g.incarnation, Number: g.lastNumber},
	}
	g.tracked[fp] = append(g.tracked[fp], r)
	return r
}

// untrack stops tracking a request and reports whether the gate knew of it. It returns
// false if the request is not tracked any more.
func (g *Guard) untrack(r *TrackedRequest) (known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rest := lo.Without(g.tracked[r.fingerprint], r)
	if len(rest) == len(g.tracked[r.fingerprint]) {
		return false
	}
	if len(rest) == 0 {
		delete(g.tracked, r.fingerprint)
	} else {
		g.tracked[r.fingerprint] = rest
	}
	return r.registered
}

// enter asks the gate until it admits or refuses the request, or ctx ends.
func (r *TrackedRequest) enter(ctx context.Context) (Refusal, bool) {
	r.setWaiting(true)
	defer r.setWaiting(false)
	for {
		refusal, ok := r.admit(r.guard.step(ctx, r, Enter))
		if ok || refusal.Poison {
			return refusal, ok
		}
		select {
		case <-time.After(refusal.RetryAfter):
		case <-ctx.Done():
			return refusal, false
		}
	}
}

// admit notes the gate's reply and reports whether the request may run. If not, it returns
// the refusal, or when to ask again.
func (r *TrackedRequest) admit(reply GateReply) (Refusal, bool) {
	switch reply.Verdict {
	case Allowed:
		r.admitted.Store(true)
		return Refusal{}, true
	case AllowedAlone:
		r.trial.Store(reply.Trial)
		r.alone.Store(true)
		r.admitted.Store(true)
		return Refusal{}, true
	case Poison:
		return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
	default:
		return Refusal{RetryAfter: max(reply.RetryAfter.Duration(), minRetryWait)}, false
	}
}

const (
	minRetryWait = 10 * time.Millisecond
	gateTimeout  = 200 * time.Millisecond
)

// Loss describes an endpoint that has died.
type Loss struct {
	Pool        coordination.Pool
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	// Cold reports that the endpoint had started a short time ago. Such an
	// endpoint crashes under load that others bear.
	Cold bool
}

// EndpointCrashed reports that the endpoint running the request has died. It
// returns true once the request may run again, on an endpoint without other
// suspects if Alone reports so; otherwise it returns the refusal and false.
func (r *TrackedRequest) EndpointCrashed(ctx context.Context, l Loss) (Refusal, bool) {
	r.setWaiting(true) // from now on a claim would be wrong
	reply := r.recordCrash(ctx, l, false)
	if reply.Verdict == Poison {
		return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
	}
	return r.enter(ctx)
}

// recordCrash reports to the gate that an endpoint that ran the request has died; late
// tells that it was found some time after the attempt.
func (r *TrackedRequest) recordCrash(ctx context.Context, l Loss, late bool) GateReply {
	now := time.Now()
	if r.guard.table.cfg.Parts {
		return r.recordPartCrash(ctx, now, l)
	}
	mass := r.guard.table.RecordLoss(now, l.Pool, l.Endpoint)
	completed := r.guard.completions.contains(now, r.fingerprint)
	r.guard.register(r)
	crash := Crash{Endpoint: l.Endpoint, Incarnation: l.Incarnation, At: unixMillis(now), Alone: r.Alone()}
	crash.Excused = l.Cold || (mass || completed) && !crash.Alone
	return r.guard.report(ctx, GateRequest{Fingerprint: r.fingerprint, Copy: r.copy, Step: Crashed, Crash: &crash, Late: late})
}

// EndpointFoundDead reports that the endpoint was dead before the request
// reached it. A copy of the same request that this router does not know of yet
// may have crashed it, so the gate is asked. It returns true once the request
// may be sent to another endpoint; otherwise it returns the refusal and false.
func (r *TrackedRequest) EndpointFoundDead(ctx context.Context, p coordination.Pool, e coordination.Endpoint) (Refusal, bool) {
	r.guard.table.RecordLoss(time.Now(), p, e)
	r.guard.register(r)
	return r.enter(ctx)
}

// Convicted returns the refusal of a request that has been convicted since Begin and true,
// or false if it has not.
func (r *TrackedRequest) Convicted() (Refusal, bool) {
	now := time.Now()
	known, state := r.guard.table.Find(now, r.fingerprint)
	if state != Convicted || r.trial.Load() {
		return Refusal{}, false
	}
	return Refusal{Poison: true, RetryAfter: r.guard.table.refusedUntil(known).Sub(now)}, true
}

func (r *TrackedRequest) setWaiting(waiting bool) {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.waiting = waiting
}

func (g *Guard) register(r *TrackedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.registered = true
}

// Finished reports that the request has run to completion, which clears it of
// suspicion.
func (r *TrackedRequest) Finished(ctx context.Context) {
	r.recordCompletion()
	r.finishTracking(ctx, Finished)
}

// recordCompletion records that the request has run to completion, or nearly so. It reports
// whether its gate has to be told since crashes count against it.
func (r *TrackedRequest) recordCompletion() (counts bool) {
	g, now := r.guard, time.Now()
	g.completions.add(now, r.fingerprint)
	if !g.table.cfg.Parts {
		return false
	}
	known, _ := g.table.Find(now, r.fingerprint)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served[r.pool] = now
	if len(known.Crashes) > 0 {
		r.registered = true
	}
	return len(known.Crashes) > 0
}

// Abandoned reports that the request ended without evidence for or against it:
// refused, cancelled by its caller, or failed while its endpoint stayed alive. If an
// attempt is unsettled, the request stays tracked until that is no evidence any more.
func (r *TrackedRequest) Abandoned(ctx context.Context) {
	if !r.deferEnd() {
		r.finishTracking(ctx, Abandoned)
	}
}

func (r *TrackedRequest) finishTracking(ctx context.Context, s Step) {
	if r.guard.untrack(r) {
		r.guard.step(ctx, r, s)
	}
}

// step reports a step without a crash to the gate.
func (g *Guard) step(ctx context.Context, r *TrackedRequest, s Step) GateReply {
	return g.report(ctx, GateRequest{Fingerprint: r.fingerprint, Copy: r.copy, Step: s})
}

// report reports a step to the gate. If the gate cannot be reached, this router's
// own gate answers instead: crashes are still recorded and gossiped, and a
// suspect waits, since another copy might be running.
func (g *Guard) report(ctx context.Context, m GateRequest) GateReply {
	to := g.gateOf(m.Fingerprint)
	if to == g.instance || to == "" {
		return g.handleStep(ctx, m)
	}
	if known, _ := g.table.Find(time.Now(), m.Fingerprint); len(known.Crashes) > 0 {
		m.Known = &known
	}
	ctx, cancel := context.WithTimeout(ctx, gateTimeout)
	defer cancel()
	b, err := g.transport.Call(ctx, to, g.table.cfg.Topics().Gate, m.Encode())
	if err == nil {
		if reply, err := DecodeGateReply(b); err == nil {
			return reply
		}
	}
	return g.answerLocally(ctx, m)
}

func (g *Guard) gateOf(f Fingerprint) coordination.Instance {
	if b, ok := g.locator.Load().(locatorBox); ok {
		return b.OwnerOfHash(uint64(f))
	}
	return ""
}

// answerLocally answers a step whose gate cannot be reached.
func (g *Guard) answerLocally(ctx context.Context, m GateRequest) GateReply {
	if m.Step != Enter {
		return g.handleStep(ctx, m)
	}
	switch r, state := g.table.Find(time.Now(), m.Fingerprint); state {
	case Convicted:
		return GateReply{Verdict: Poison, RetryAfter: millis(time.Until(g.table.refusedUntil(r)))}
	case Suspect, Exempt:
		return GateReply{Verdict: Busy, RetryAfter: millis(gateTimeout)}
	default:
		return GateReply{Verdict: Allowed}
	}
}
