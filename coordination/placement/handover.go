package placement

import (
	"context"
	"time"

	"wisteriaspool/coordination"
)

// handover tracks how long one request waits for routers to agree on the owners of
// its candidates. They learn at different times that an owner stops or starts: a
// router that already knows disclaims the endpoints, and the router that it names
// does not count them yet.
type handover struct {
	waited    time.Duration
	nextPause time.Duration // next pause; zero before the first
}

const (
	// firstHandoverPause is the first pause before all candidates are asked again.
	// Each further pause is twice as long.
	firstHandoverPause = 5 * time.Millisecond

	// maxHandoverWait bounds the sum of the pauses of a request. A refusal would
	// delay its caller by as much.
	maxHandoverWait = noCandidateRetry
)

// pause returns the next pause and adds it to the total, or false if the total has
// reached maxHandoverWait.
func (h *handover) pause() (time.Duration, bool) {
	d := min(max(h.nextPause, firstHandoverPause), maxHandoverWait-h.waited)
	if d <= 0 {
		return 0, false
	}
	h.waited += d
	h.nextPause = 2 * d
	return d, true
}

// awaitHandover waits for the next pause and restarts the walk. It reports false if
// the request must not wait, or not any longer.
func (w *walk) awaitHandover(ctx context.Context) bool {
	if w.req.NoWait {
		return false
	}
	d, ok := w.handover.pause()
	if !ok || !coordination.Sleep(ctx, d) {
		return false
	}
	w.reset()
	return true
}
