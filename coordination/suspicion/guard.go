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

	mu   sync.Mutex
	last uint64
	runs map[Fingerprint][]*Follow
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
		runs:        make(map[Fingerprint][]*Follow),
	}
}

// Update takes a new list of routers. Suspects that run here are claimed at
// their gates, which may be new.
func (g *Guard) Update(ctx context.Context, p Placer) {
	g.placer.Store(placerBox{p})
	g.gate.Moved(time.Now())
	g.Renew(ctx)
}

// Renew claims the suspects that run here once more. The router calls it twice
// in each Config.MaxRun.
func (g *Guard) Renew(ctx context.Context) {
	for _, f := range g.known() {
		g.step(ctx, f, Claim, nil)
	}
}

// known returns the runs that their gates know, or should know.
func (g *Guard) known() []*Follow {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := lo.Flatten(lo.Values(g.runs))
	all = lo.Filter(all, func(f *Follow, _ int) bool { return f.asked })
	slices.SortFunc(all, func(a, b *Follow) int { return int(a.copy.Number) - int(b.copy.Number) })
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
	for _, f := range g.claimable(fp) {
		g.step(ctx, f, Claim, nil)
	}
}

// claimable marks the runs of a fingerprint as known to the gate and returns
// those that were not.
func (g *Guard) claimable(f Fingerprint) []*Follow {
	g.mu.Lock()
	defer g.mu.Unlock()
	unaware := lo.Filter(g.runs[f], func(r *Follow, _ int) bool { return !r.asked })
	for _, r := range unaware {
		r.asked = true
	}
	return unaware
}

// HandleGate answers a message on [TopicGate].
func (g *Guard) HandleGate(ctx context.Context, payload []byte) ([]byte, error) {
	m, err := DecodeGateRequest(payload)
	if err != nil {
		return nil, err
	}
	return g.handle(ctx, m).Encode(), nil
}

// handle answers a step. What it changes is news to this router too, whose own
// copies no rumour reaches.
func (g *Guard) handle(ctx context.Context, m GateRequest) GateReply {
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

// Follow follows one request from its admission to its end.
type Follow struct {
	guard       *Guard
	fingerprint Fingerprint
	copy        Copy
	alone       atomic.Bool
	entered     atomic.Bool // its gate has let it run
	asked       bool        // its gate knows of it; Guard.mu guards it
}

// Asked reports whether the gate has let the request run. A request that a
// rumour made this router claim has not been let run: it may be on its way to
// an endpoint, and has to ask like any other.
func (f *Follow) Asked() bool { return f.entered.Load() }

// Alone reports whether the request must run with no other suspect beside it.
func (f *Follow) Alone() bool { return f.alone.Load() }

// Begin starts to follow a request. For a suspect it waits until no other copy
// runs, or ctx ends; it returns nil and a refusal if the request must not run.
func (g *Guard) Begin(ctx context.Context, fp Fingerprint, p coordination.Pool) (*Follow, Refusal) {
	// Followed before it is checked, so that a rumour that comes meanwhile finds
	// either a copy to claim or a suspect that has to ask.
	f := g.open(fp)
	advice, after := g.table.Check(time.Now(), fp, p)
	if advice == Refuse {
		f.Abandoned(context.WithoutCancel(ctx))
		return nil, Refusal{Poison: true, RetryAfter: after}
	}
	if advice == Run {
		return f, Refusal{}
	}
	g.mark(f)
	if refusal, ok := f.enter(ctx); !ok {
		f.Abandoned(context.WithoutCancel(ctx))
		return nil, refusal
	}
	return f, Refusal{}
}

func (g *Guard) open(fp Fingerprint) *Follow {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	f := &Follow{
		guard:       g,
		fingerprint: fp,
		copy:        Copy{Instance: g.instance, Incarnation: g.incarnation, Number: g.last},
	}
	g.runs[fp] = append(g.runs[fp], f)
	return f
}

// close stops following and reports whether the gate knew of the run.
func (g *Guard) close(f *Follow) (known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rest := lo.Without(g.runs[f.fingerprint], f)
	if len(rest) == 0 {
		delete(g.runs, f.fingerprint)
	} else {
		g.runs[f.fingerprint] = rest
	}
	return f.asked
}

// enter asks the gate until it lets the request run.
func (f *Follow) enter(ctx context.Context) (Refusal, bool) {
	for {
		reply := f.guard.step(ctx, f, Enter, nil)
		switch reply.Verdict {
		case Free:
			f.entered.Store(true)
			return Refusal{}, true
		case Alone:
			f.alone.Store(true)
			f.entered.Store(true)
			return Refusal{}, true
		case Poison:
			return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
		}
		wait := max(reply.RetryAfter.Duration(), minPause)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return Refusal{RetryAfter: wait}, false
		}
	}
}

const (
	minPause    = 10 * time.Millisecond
	gateTimeout = 200 * time.Millisecond
)

// Crashed tells that the endpoint which ran the request has died. It returns
// once the request may run again, then alone; or the refusal.
func (f *Follow) Crashed(ctx context.Context, p coordination.Pool, e coordination.Endpoint, n coordination.Incarnation) (Refusal, bool) {
	now := time.Now()
	mass := f.guard.table.Lost(now, p, e)
	f.guard.mark(f)
	crash := Crash{Endpoint: e, Incarnation: n, At: unixMillis(now), Alone: f.Alone()}
	crash.Mass = mass && !crash.Alone
	reply := f.guard.step(ctx, f, Crashed, &crash)
	if reply.Verdict == Poison {
		return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, false
	}
	return f.enter(ctx)
}

// FoundDead tells that an endpoint was dead before the request reached it.
// Something took it, and perhaps a copy of this very request, of which this
// router has not heard yet; so the gate is asked. It returns once the request
// may go elsewhere, or the refusal.
func (f *Follow) FoundDead(ctx context.Context, p coordination.Pool, e coordination.Endpoint) (Refusal, bool) {
	f.guard.table.Lost(time.Now(), p, e)
	f.guard.mark(f)
	return f.enter(ctx)
}

func (g *Guard) mark(f *Follow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.asked = true
}

// Finished tells that the request has run to its end, which clears it.
func (f *Follow) Finished(ctx context.Context) { f.end(ctx, Finished) }

// Abandoned tells that the request has ended in a way that says nothing of it:
// refused, cancelled by its caller, or failed with its endpoint alive.
func (f *Follow) Abandoned(ctx context.Context) { f.end(ctx, Gave) }

func (f *Follow) end(ctx context.Context, s Step) {
	if f.guard.close(f) {
		f.guard.step(ctx, f, s, nil)
	}
}

// step tells the gate of a step. If the gate cannot be reached, this router's
// own one answers: a crash is recorded and spread all the same, and a suspect
// waits, since another copy might run.
func (g *Guard) step(ctx context.Context, f *Follow, s Step, c *Crash) GateReply {
	m := GateRequest{Fingerprint: f.fingerprint, Copy: f.copy, Step: s, Crash: c}
	to := g.place(f.fingerprint)
	if to == g.instance || to == "" {
		return g.handle(ctx, m)
	}
	ctx, cancel := context.WithTimeout(ctx, gateTimeout)
	defer cancel()
	b, err := g.transport.Call(ctx, to, TopicGate, m.Encode())
	if err == nil {
		if reply, err := DecodeGateReply(b); err == nil {
			return reply
		}
	}
	return g.withoutGate(ctx, m)
}

func (g *Guard) place(f Fingerprint) coordination.Instance {
	if b, ok := g.placer.Load().(placerBox); ok {
		return b.Place(uint64(f))
	}
	return ""
}

// withoutGate answers a step whose gate is silent.
func (g *Guard) withoutGate(ctx context.Context, m GateRequest) GateReply {
	if m.Step != Enter {
		return g.handle(ctx, m)
	}
	switch r, state := g.table.Find(time.Now(), m.Fingerprint); state {
	case Convicted:
		return GateReply{Verdict: Poison, RetryAfter: millis(time.Until(r.Expires.Time()))}
	case Suspect:
		return GateReply{Verdict: Busy, RetryAfter: millis(gateTimeout)}
	default:
		return GateReply{Verdict: Free}
	}
}
