package caller

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// adopt resumes an attempt that a failed router started, and reports whether
// the request has ended. Without it, callers of a failed router would send
// their requests again, and the model would run twice.
func (a *chatRun) adopt(ctx context.Context) bool {
	id := *a.chat.resumeFrom
	e, _, err := engine.ParseAttempt(id.Attempt)
	if err != nil {
		a.giveUp(ctx, refuse(outcome.Malformed, err.Error()))
		return true
	}
	a.offset = id.Offset
	a.text.WriteString(a.chat.partial)
	a.evidence.Begin(id.Attempt)
	place, ok := a.Placer.Adopt(e)
	if !ok {
		return a.adoptFailed(ctx)
	}
	at := &attempt{id: id.Attempt, placement: place, startedAt: time.Now()}
	a.id, a.placement = at.id, place
	at.stream, err = a.Engines.Resume(ctx, place.Address, a.request(id.Attempt, nil))
	if err != nil {
		place.Release()
		if !errors.Is(err, engine.ErrNotFound) && ctx.Err() == nil {
			a.cancel(ctx, at)
		}
		return a.adoptFailed(ctx)
	}
	a.Metrics.adopted.Inc()
	a.emit(event.StreamResumed, event.F("endpoint", e), event.F("offset", id.Offset), event.F("adopted", true))
	return a.concludeAttempt(ctx, at, a.forwardStream(ctx, at))
}

// adoptFailed handles a stream whose attempt no longer exists, and reports
// whether the request has ended. If nothing was delivered, or the caller sent
// the text it has received, another endpoint can continue the answer.
// Otherwise nothing can complete it without a gap, and the caller is told so
// at once.
func (a *chatRun) adoptFailed(ctx context.Context) bool {
	if a.offset == 0 || a.chat.partial != "" {
		return false
	}
	a.giveUp(ctx, &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the attempt is gone; send the text received so far as \"partial\" to go on elsewhere",
		RetryAfter: retryAfterEndpointLost,
	})
	return true
}
