package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/event"
)

// concludeAttempt handles the end of an attempt and reports whether the
// request has ended.
func (a *chatRun) concludeAttempt(ctx context.Context, at *attempt, result attemptResult) bool {
	defer at.placement.Release()
	if result == streamLost && a.isDead(ctx, at) {
		result = endpointDied
	}
	a.logAttemptEnd(at, result)
	switch result {
	case finished:
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case limitReached:
		a.cancel(ctx, at)
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case callerGone:
		a.cancel(ctx, at)
		a.Metrics.requestEnded("chat", a.evidence.Outcome(), "caller-gone")
		a.emit(event.CallerGone, event.F("attempt", at.id), event.F("after-ms", time.Since(a.chat.arrived).Milliseconds()))
		return true
	case streamLost, streamMalformed:
		a.cancel(ctx, at)
	case endpointDied, endpointUnreachable:
		if refusal := a.handleDeadEndpoint(ctx, at, result); refusal != nil {
			a.giveUp(ctx, refusal)
			return true
		}
	}
	a.exclude = append(a.exclude, at.placement.Endpoint)
	if a.offset > 0 {
		a.Metrics.continued.Inc()
		a.emit(event.StreamContinued, event.F("endpoint", at.placement.Endpoint), event.F("offset", a.offset))
	}
	return false
}

// handleDeadEndpoint reports a dead endpoint. It returns a refusal if the
// request may not run again. The attempt is cancelled as well, because an
// endpoint that is only frozen may resume it.
func (a *chatRun) handleDeadEndpoint(ctx context.Context, at *attempt, result attemptResult) *outcome.Refusal {
	e, n := at.placement.Endpoint, at.placement.Incarnation
	a.Placer.Dead(e, n)
	if result == endpointUnreachable {
		return a.tracked.FoundDead(ctx, e)
	}
	a.emit(event.EndpointLost, event.F("endpoint", e), event.F("incarnation", n), event.F("attempt", at.id))
	a.cancel(ctx, at)
	// Released before the call to Crashed, which may block for long.
	at.placement.Release()
	return a.tracked.Crashed(ctx, e, n)
}

// isDead reports whether the attempt's endpoint cannot be reached or has
// restarted, as opposed to a cut connection.
func (a *chatRun) isDead(ctx context.Context, at *attempt) bool {
	l, err := a.Engines.Load(ctx, at.placement.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	return at.placement.Incarnation != 0 && l.Incarnation != at.placement.Incarnation
}

func (a *chatRun) finish() {
	a.finished = true
	a.sink.finish(a.id, outcomeEvent{Outcome: outcome.Ran, Hint: a.placement.Hint})
	a.Metrics.requestEnded("chat", outcome.Ran, "")
}

// giveUp sends the refusal that ends the request. The outcome in it is taken
// from the evidence, not from r.
func (a *chatRun) giveUp(ctx context.Context, r *outcome.Refusal) {
	final := *r
	final.Outcome = a.evidence.Outcome()
	a.Metrics.requestEnded("chat", final.Outcome, string(final.Code))
	a.logRefusal(a.chat.requestID, &final, event.F("team", a.chat.team), event.F("account", a.chat.account))
	if ctx.Err() == nil {
		a.sink.refuse(&final)
	}
}
