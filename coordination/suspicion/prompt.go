package suspicion

import (
	"context"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// maxParts is the maximum number of parts of one prompt that are tracked.
const maxParts = 32

// TrackedPrompt is what a request shares with others: the parts of its prompt, from its
// arrival to its end. The guards of parts judge each of them.
type TrackedPrompt struct {
	parts []*TrackedRequest
}

// BeginPrompt starts tracking the parts of a prompt, like Begin for each of them. If a
// request with them must not run, BeginPrompt returns nil, the refusal and the part that it
// is for.
func (g *Guard) BeginPrompt(ctx context.Context, parts []Fingerprint, p coordination.Pool) (*TrackedPrompt, Refusal, Fingerprint) {
	parts = slices.Clone(parts[:min(len(parts), maxParts)])
	slices.Sort(parts)
	parts = slices.Compact(parts)
	if len(parts) > 0 && !g.awaitCatchUp(ctx) {
		return nil, Refusal{RetryAfter: minRetryWait}, parts[0]
	}
	t := &TrackedPrompt{}
	for _, fp := range parts {
		t.parts = append(t.parts, g.track(fp, p))
	}
	// All are looked at before any gate is asked: a gate lets only a few trials through.
	for _, r := range t.parts {
		if advice, after := g.table.Check(time.Now(), r.fingerprint, p); advice == Refuse {
			t.Abandoned(context.WithoutCancel(ctx))
			return nil, Refusal{Poison: true, RetryAfter: after}, r.fingerprint
		}
	}
	if refusal, fp, ok := t.Enter(ctx); !ok {
		t.Abandoned(context.WithoutCancel(ctx))
		return nil, refusal, fp
	}
	return t, Refusal{}, 0
}

// Enter asks the gates of the suspects among the parts until all admit the request, one
// refuses it, or ctx ends. It returns true once the request may run. While it waits it
// holds no admission, so that it keeps no request back that shares only some of the parts.
func (t *TrackedPrompt) Enter(ctx context.Context) (Refusal, Fingerprint, bool) {
	t.setWaiting(true)
	defer t.setWaiting(false)
	for {
		refusal, fp, ok := t.tryEnter(ctx)
		if ok || refusal.Poison {
			return refusal, fp, ok
		}
		select {
		case <-time.After(refusal.RetryAfter):
		case <-ctx.Done():
			return refusal, fp, false
		}
	}
}

// tryEnter asks each gate once. If one does not admit the request, those that have are told
// that it does not run.
func (t *TrackedPrompt) tryEnter(ctx context.Context) (Refusal, Fingerprint, bool) {
	suspects := t.suspects()
	for n, r := range suspects {
		r.guard.register(r)
		reply := r.guard.step(ctx, r, Enter)
		if refusal, ok := r.admit(reply); !ok {
			for _, admitted := range suspects[:n] {
				admitted.guard.step(ctx, admitted, Abandoned)
			}
			return refusal, r.fingerprint, false
		}
	}
	return Refusal{}, 0, true
}

// suspects returns the parts whose gates have to be asked. Those of which a gate may let a
// trial through come last: a trial that does not run is wasted.
func (t *TrackedPrompt) suspects() []*TrackedRequest {
	now := time.Now()
	var suspects, convicted []*TrackedRequest
	for _, r := range t.parts {
		if advice, _ := r.guard.table.Check(now, r.fingerprint, r.pool); advice == Run {
			continue
		}
		if _, state := r.guard.table.Find(now, r.fingerprint); state == Convicted {
			convicted = append(convicted, r)
			continue
		}
		suspects = append(suspects, r)
	}
	return append(suspects, convicted...)
}

// setWaiting records whether the request waits for its gates.
func (t *TrackedPrompt) setWaiting(waiting bool) {
	for _, r := range t.parts {
		r.setWaiting(waiting)
	}
}

// Alone reports whether the request has to run on an endpoint without other suspects.
func (t *TrackedPrompt) Alone() bool {
	return slices.ContainsFunc(t.parts, (*TrackedRequest).Alone)
}

// RecordCrash reports that the endpoint running the request has died. It returns false,
// the refusal and the part that it is for if the request must not run again. Otherwise
// Enter tells when it may.
func (t *TrackedPrompt) RecordCrash(ctx context.Context, l Loss) (Refusal, Fingerprint, bool) {
	t.setWaiting(true) // from now on a claim would be wrong
	for _, r := range t.parts {
		r.trial.Store(false)
		if reply := r.recordCrash(ctx, l, false); reply.Verdict == Poison {
			return Refusal{Poison: true, RetryAfter: reply.RetryAfter.Duration()}, r.fingerprint, false
		}
	}
	return Refusal{}, 0, true
}

// AttemptUnsettled is TrackedRequest.AttemptUnsettled for all parts.
func (t *TrackedPrompt) AttemptUnsettled(l Loss) {
	for _, r := range t.parts {
		r.AttemptUnsettled(l)
	}
}

// Convicted returns the refusal of a request with a part that has been convicted since
// BeginPrompt, that part, and true, or false if there is none.
func (t *TrackedPrompt) Convicted() (Refusal, Fingerprint, bool) {
	for _, r := range t.parts {
		if refusal, ok := r.Convicted(); ok {
			return refusal, r.fingerprint, true
		}
	}
	return Refusal{}, 0, false
}

// Answering reports that the endpoint has written the response for some time, which
// a request with a part that crashes endpoints never brings about. It does not block.
func (t *TrackedPrompt) Answering() {
	for _, r := range t.parts {
		if r.recordCompletion() {
			go answerReport{r}.run()
		}
	}
}

// answerReport tells the gate of a part that an endpoint writes a response.
type answerReport struct{ part *TrackedRequest }

func (a answerReport) run() { a.part.guard.step(context.Background(), a.part, Answering) }

// Finished reports that the request has run to completion, which clears its parts.
func (t *TrackedPrompt) Finished(ctx context.Context) {
	for _, r := range t.parts {
		r.Finished(ctx)
	}
}

// Abandoned is TrackedRequest.Abandoned for all parts.
func (t *TrackedPrompt) Abandoned(ctx context.Context) {
	for _, r := range t.parts {
		r.Abandoned(ctx)
	}
}

// recordPartCrash reports to the gate of a part that an endpoint that ran a request with it
// has died. All requests with the part that ran there notice, but one report is enough.
func (r *TrackedRequest) recordPartCrash(ctx context.Context, now time.Time, l Loss) GateReply {
	g := r.guard
	crash := Crash{Endpoint: l.Endpoint, Incarnation: l.Incarnation, At: unixMillis(now), Excused: g.completions.contains(now, r.fingerprint)}
	g.mu.Lock()
	registered := r.registered
	g.mu.Unlock()
	m := GateRequest{Fingerprint: r.fingerprint, Copy: r.copy, Step: Crashed}
	known, _ := g.table.Find(now, r.fingerprint)
	reported := slices.ContainsFunc(known.Crashes, func(c Crash) bool {
		return c.sameIncarnation(crash) && (c.Excused || !crash.Excused)
	})
	switch {
	case reported && !registered:
		return GateReply{}
	case !reported:
		g.register(r)
		m.Crash, m.Pool, m.ServedAgo = &crash, l.Pool, g.servedAgo(now, l.Pool)
	}
	return g.report(ctx, m)
}
