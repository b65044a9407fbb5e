package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination/outcome"
)

// Limits of the wait for a place to go on at.
const (
	maxPlacementWait  = 5 * time.Second
	minPlacementDelay = 50 * time.Millisecond
	maxPlacementDelay = 500 * time.Millisecond
)

// acquire asks for a place for the next attempt. When an endpoint dies, all
// that it ran comes to the others at once, and for a moment they refuse some of
// it. A request that has reached no endpoint is refused then, and its caller
// may send it again. One that has reached an endpoint cannot be told that it
// was not run, so it waits for its place instead; its caller would be left
// with a part of an answer, or not know whether it was run.
func (a *chatRun) acquire(ctx context.Context) (Placement, *outcome.Refusal) {
	want := a.chat.placementRequest(a.exclude)
	want.Alone = a.tracked.Alone()
	if a.offset > 0 {
		want.Deadline = time.Time{} // it is that of the start, which has been met
	}
	until := time.Now().Add(maxPlacementWait)
	for {
		place, refusal := a.Placer.Place(ctx, want)
		if refusal == nil || refusal.Code != outcome.Overloaded || a.evidence.Outcome() == outcome.NotRun {
			return place, refusal
		}
		wait := min(max(refusal.RetryAfter, minPlacementDelay), maxPlacementDelay)
		if time.Now().Add(wait).After(until) {
			return place, refusal
		}
		select {
		case <-ctx.Done():
			return place, refusal
		case <-time.After(wait):
		}
		want.Exclude = nil // an endpoint that failed may be back
	}
}
