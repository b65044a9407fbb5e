package caller

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// adopt goes on with an attempt that another router began and lost, and
// reports whether the request is over. Without it a router's death would make
// its callers ask again, and the model would run twice.
func (a *answer) adopt(ctx context.Context) bool {
	id := *a.chat.resume
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
	at := &attempt{id: id.Attempt, place: place, begun: time.Now()}
	a.id, a.place = at.id, place
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
	return a.settle(ctx, at, a.follow(ctx, at))
}

// adoptFailed decides what becomes of a stream whose attempt is gone. With the
// text that the caller has, or with none delivered, another endpoint can go
// on. Otherwise nobody can complete the answer without a gap, and the caller
// is told so at once.
func (a *answer) adoptFailed(ctx context.Context) bool {
	if a.offset == 0 || a.chat.partial != "" {
		return false
	}
	a.giveUp(ctx, &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the attempt is gone; send the text received so far as \"partial\" to go on elsewhere",
		RetryAfter: retryAfterLoss,
	})
	return true
}
