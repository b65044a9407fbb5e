package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/event"
)

// settle draws the consequences of an attempt's end and reports whether the
// request is over.
func (a *answer) settle(ctx context.Context, at *attempt, how end) bool {
	defer at.place.Release()
	if how == lost && a.isDead(ctx, at) {
		how = died
	}
	a.ended(at, how)
	switch how {
	case finished:
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case limited:
		a.cancel(ctx, at)
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case callerGone:
		a.cancel(ctx, at)
		a.Metrics.ended("chat", a.evidence.Outcome(), "caller-gone")
		a.emit(event.CallerGone, event.F("attempt", at.id), event.F("after-ms", time.Since(a.chat.arrived).Milliseconds()))
		return true
	case lost, malformed:
		a.cancel(ctx, at)
	case died, foundDead:
		if refusal := a.mourn(ctx, at, how); refusal != nil {
			a.giveUp(ctx, refusal)
			return true
		}
	}
	a.exclude = append(a.exclude, at.place.Endpoint)
	if a.offset > 0 {
		a.Metrics.continued.Inc()
		a.emit(event.StreamContinued, event.F("endpoint", at.place.Endpoint), event.F("offset", a.offset))
	}
	return false
}

// mourn tells of a dead endpoint. It returns a refusal if the request may not
// run again. An endpoint that is only frozen may wake and go on, so its attempt
// is cancelled all the same.
func (a *answer) mourn(ctx context.Context, at *attempt, how end) *outcome.Refusal {
	e, n := at.place.Endpoint, at.place.Incarnation
	a.Placer.Dead(e, n)
	if how == foundDead {
		return a.trail.FoundDead(ctx, e)
	}
	a.emit(event.EndpointLost, event.F("endpoint", e), event.F("incarnation", n), event.F("attempt", at.id))
	a.cancel(ctx, at)
	// The place is given back first: the wait for leave to go on may be long.
	at.place.Release()
	return a.trail.Crashed(ctx, e, n)
}

// isDead reports whether the attempt's endpoint cannot be reached or has been
// restarted since, rather than only its connection cut.
func (a *answer) isDead(ctx context.Context, at *attempt) bool {
	l, err := a.Engines.Load(ctx, at.place.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	return at.place.Incarnation != 0 && l.Incarnation != at.place.Incarnation
}

func (a *answer) finish() {
	a.finished = true
	a.sink.finish(a.id, closing{Outcome: outcome.Ran, Hint: a.place.Hint})
	a.Metrics.ended("chat", outcome.Ran, "")
}

// giveUp sends the final refusal at once. Its outcome is what the evidence
// allows, whatever the refusal claims.
func (a *answer) giveUp(ctx context.Context, r *outcome.Refusal) {
	final := *r
	final.Outcome = a.evidence.Outcome()
	a.Metrics.ended("chat", final.Outcome, string(final.Code))
	a.logRefusal(a.chat.request, &final, event.F("team", a.chat.team), event.F("account", a.chat.account))
	if ctx.Err() == nil {
		a.sink.refuse(&final)
	}
}
