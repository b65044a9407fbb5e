package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination/outcome"
)

// Limits of the wait for a placement of a request that has already reached an
// endpoint.
const (
	maxPlacementWait  = 5 * time.Second
	minPlacementDelay = 50 * time.Millisecond
	maxPlacementDelay = 500 * time.Millisecond
)

// acquire requests a placement for the next attempt. When an endpoint dies,
// its requests move to the remaining ones at once, which refuse some of them
// for a moment. A request that has reached no endpoint is refused, and its
// caller may send it again. One that has reached an endpoint can no longer be
// reported as not run, so it waits for a placement; refusing it would leave
// its caller with a partial answer or with an unknown outcome.
func (a *chatRun) acquire(ctx context.Context) (Placement, *outcome.Refusal) {
	req := a.chat.placementRequest(a.exclude)
	req.Isolated = a.tracked.Alone()
	if a.offset > 0 {
		req.Deadline = time.Time{} // it applies to the first token, which has been sent
	}
	until := time.Now().Add(maxPlacementWait)
	for {
		place, refusal := a.Placer.Place(ctx, req)
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
		req.Exclude = nil // an endpoint that failed may have recovered
	}
}
