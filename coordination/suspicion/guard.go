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

// Transport carries requests to the gates on other routers.
type Transport interface {
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// Spreader spreads a rumour to all routers.
type Spreader interface {
	Spread(topic string, payload []byte)
}

// Placer tells which router is the gate of a fingerprint.
type Placer interface {
	Place(hash uint64) coordination.Instance
}

// Guard is the entry side: it follows the requests of one router.
type Guard struct {
	instance    coordination.Instance
	incarnation coordination.Incarnation
	table       *Table
	gate        *Gate
	transport   Transport
	spreader    Spreader
	placer      atomic.Value // placerBox

	mu         sync.Mutex
	lastNumber uint64
	tracked    map[Fingerprint][]*TrackedRequest
}

type placerBox struct{ Placer }

// NewGuard returns the guard of a router, with its own gate.
func NewGuard(id coordination.Instance, n coordination.Incarnation, gate *Gate, t Transport, s Spreader) *Guard {
	return &Guard{
		instance:    id,
		incarnation: n,
		table:       gate.table,
		gate:        gate,
		transport:   t,
		spreader:    s,
		tracked:     make(map[Fingerprint][]*TrackedRequest),
	}
}

// Update takes a new list of routers. Suspects that run here are claimed at
// their gates, which may be new.
func (g *Guard) Update(ctx context.Context, p Placer) {
	g.placer.Store(placerBox{p})
	g.gate.MembersChanged(time.Now())
	g.Renew(ctx)
}

// Renew claims the suspects that run here once more. The router calls it twice
// in each Config.MaxRun.
func (g *Guard) Renew(ctx context.Context) {
	for _, f := range g.registeredRequests() {
		g.step(ctx, f, Claim, nil)
	}
}

// registeredRequests returns the runs that their gates know, or should know.
func (g *Guard) registeredRequests() []*TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := lo.Flatten(lo.Values(g.tracked))
	all = lo.Filter(all, func(f *TrackedRequest, _ int) bool { return f.registered })
	slices.SortFunc(all, func(a, b *TrackedRequest) int { return int(a.copy.Number) - int(b.copy.Number) })
	return all
}

// HandleRecord takes a rumour on [TopicRecord] and reports whether it is news.
// A copy that runs here unaware is claimed at the gate, so that no other one
// starts beside it.
func (g *Guard) HandleRecord(ctx context.Context, payload []byte) (news bool, err error) {
	r, err := DecodeRecord(payload)
	if err != nil {
		return false, err
	}
	if !g.table.Merge(time.Now(), r) {
		return false, nil
	}
	g.claim(ctx, r.Fingerprint)
	return true, nil
}

// claim claims at the gate the copies of a suspect that run here and of which
// the gate does not know.
func (g *Guard) claim(ctx context.Context, fp Fingerprint) {
	if _, state := g.table.Find(time.Now(), fp); state != Suspect {
		return
	}
	for _, f := range g.registerAll(fp) {
		g.step(ctx, f, Claim, nil)
	}
}

// registerAll marks the runs of a fingerprint as known to the gate and returns
// those that were not.
func (g *Guard) registerAll(f Fingerprint) []*TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	unaware := lo.Filter(g.tracked[f], func(r *TrackedRequest, _ int) bool { return !r.registered })
	for _, r := range unaware {
		r.registered = true
	}
	return unaware
}

// HandleGate answers a message on [TopicGate].
func (g *Guard) HandleGate(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeGateRequest(payload)
	if err != nil {
		return nil, err
	}
	return g.handleStep(ctx, m).Encode(), nil
}

// handleStep answers a step. What it changes is news to this router too, whose own
// copies no rumour reaches.
func (g *Guard) handleStep(ctx context.Context, m GateRequest) GateReply {
	reply, r := g.gate.Handle(time.Now(), m)
	if r != nil {
		g.spreader.Spread(TopicRecord, r.Encode())
		g.claim(ctx, r.Fingerprint)
	}
	return reply
}

// Refusal tells that a request must not run, or not now.
type Refusal struct {
	Poison     bool // convicted; otherwise another copy of a suspect runs
	RetryAfter time.Duration
}

// TrackedRequest follows one request from its admission to its end.
type TrackedRequest struct {
	guard       *Guard
	fingerprint Fingerprint
	copy        Copy
	alone       atomic.Bool
	admitted    atomic.Bool // its gate has let it run
	registered  bool        // its gate knows of it; Guard.mu guards it
}

// Admitted reports whether the gate has let the request run. A request that a
// rumour made this router claim has not been let run: it may be on its way to
// an endpoint, and has to ask like any other.
func (f *TrackedRequest) Admitted() bool { return f.admitted.Load() }

// Alone reports whether the request must run with no other suspect beside it.
func (f *TrackedRequest) Alone() bool { return f.alone.Load() }

// Begin starts to follow a request. For a suspect it waits until no other copy
// runs, or ctx ends; it returns nil and a refusal if the request must not run.
func (g *Guard) Begin(ctx context.Context, fp Fingerprint, p coordination.Pool) (*TrackedRequest, Refusal) {
	// Followed before it is checked, so that a rumour that comes meanwhile finds
	// either a copy to claim or a suspect that has to ask.
	f := g.track(fp)
	advice, after := g.table.Check(time.Now(), fp, p)
	if advice == Refuse {
		f.Abandoned(context.WithoutCancel(ctx))
		return nil, Refusal{Poison: true, RetryAfter: after}
	}
	if advice == Run {
		return f, Refusal{}
	}
	g.register(f)
	if refusal, ok := f.enter(ctx); !ok {
		f.Abandoned(context.WithoutCancel(ctx))
		return nil, refusal
	}
	return f, Refusal{}
}

func (g *Guard) track(fp Fingerprint) *TrackedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	f := &TrackedRequest{
		guard:       g,
		fingerprint: fp,
		copy:        Copy{Instance: g.instance, Incarnation: g.incarnation, Number: g.lastNumber},
	}
	g.tracked[fp] = append(g.tracked[fp], f)
	return f
}

// untrack stops following and reports whether the gate knew of the run.
func (g *Guard) untrack(f *TrackedRequest) (known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rest := lo.Without(g.tracked[f.fingerprint], f)
	if len(rest) == 0 {
		delete(g.tracked, f.fingerprint)
	} else {
		g.tracked[f.fingerprint] = rest
	}
	return f.registered
}

// enter asks the gate until it lets the request run.
func (f *TrackedRequest) enter(ctx context.Context) (Refusal, bool) {
	for {
		reply := f.guard.step(ctx, f, Enter, nil)
		switch reply.Verdict {
		case Allowed:
			f.admitted.Store(true)
			return Refusal{}, true
		case AllowedAlone:
			f.alone.Store(true)
			f.admitted.Store(true)
			return Refusal{}, true
		case Poison:
			return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
		}
		wait := max(reply.RetryAfter.Duration(), minRetryWait)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return Refusal{RetryAfter: wait}, false
		}
	}
}

const (
	minRetryWait = 10 * time.Millisecond
	gateTimeout  = 200 * time.Millisecond
)

// EndpointCrashed tells that the endpoint which ran the request has died. It returns
// once the request may run again, then alone; or the refusal.
func (f *TrackedRequest) EndpointCrashed(ctx context.Context, p coordination.Pool, e coordination.Endpoint, n coordination.Incarnation) (Refusal, bool) {
	now := time.Now()
	mass := f.guard.table.RecordLoss(now, p, e)
	f.guard.register(f)
	crash := Crash{Endpoint: e, Incarnation: n, At: unixMillis(now), Alone: f.Alone()}
	crash.Mass = mass && !crash.Alone
	reply := f.guard.step(ctx, f, Crashed, &crash)
	if reply.Verdict == Poison {
		return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
	}
	return f.enter(ctx)
}

// EndpointFoundDead tells that an endpoint was dead before the request reached it.
// Something took it, and perhaps a copy of this very request, of which this
// router has not heard yet; so the gate is asked. It returns once the request
// may go elsewhere, or the refusal.
func (f *TrackedRequest) EndpointFoundDead(ctx context.Context, p coordination.Pool, e coordination.Endpoint) (Refusal, bool) {
	f.guard.table.RecordLoss(time.Now(), p, e)
	f.guard.register(f)
	return f.enter(ctx)
}

func (g *Guard) register(f *TrackedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.registered = true
}

// Finished tells that the request has run to its end, which clears it.
func (f *TrackedRequest) Finished(ctx context.Context) { f.end(ctx, Finished) }

// Abandoned tells that the request has ended in a way that says nothing of it:
// refused, cancelled by its caller, or failed with its endpoint alive.
func (f *TrackedRequest) Abandoned(ctx context.Context) { f.end(ctx, Abandoned) }

func (f *TrackedRequest) end(ctx context.Context, s Step) {
	if f.guard.untrack(f) {
		f.guard.step(ctx, f, s, nil)
	}
}

// step tells the gate of a step. If the gate cannot be reached, this router's
// own one answers: a crash is recorded and spread all the same, and a suspect
// waits, since another copy might run.
func (g *Guard) step(ctx context.Context, f *TrackedRequest, s Step, c *Crash) GateReply {
	m := GateRequest{Fingerprint: f.fingerprint, Copy: f.copy, Step: s, Crash: c}
	to := g.gateOf(f.fingerprint)
	if to == g.instance || to == "" {
		return g.handleStep(ctx, m)
	}
	ctx, cancel := context.WithTimeout(ctx, gateTimeout)
	defer cancel()
	b, err := g.transport.Call(ctx, to, TopicGate, m.Encode())
	if err == nil {
		if reply, err := DecodeGateReply(b); err == nil {
			return reply
		}
	}
	return g.answerLocally(ctx, m)
}

func (g *Guard) gateOf(f Fingerprint) coordination.Instance {
	if b, ok := g.placer.Load().(placerBox); ok {
		return b.Place(uint64(f))
	}
	return ""
}

// answerLocally answers a step whose gate is silent.
func (g *Guard) answerLocally(ctx context.Context, m GateRequest) GateReply {
	if m.Step != Enter {
		return g.handleStep(ctx, m)
	}
	switch r, state := g.table.Find(time.Now(), m.Fingerprint); state {
	case Convicted:
		return GateReply{Verdict: Poison, RetryAfter: millis(time.Until(r.Expires.Time()))}
	case Suspect:
		return GateReply{Verdict: Busy, RetryAfter: millis(gateTimeout)}
	default:
		return GateReply{Verdict: Allowed}
	}
}
