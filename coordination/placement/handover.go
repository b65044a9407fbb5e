package placement

import (
	"context"
	"time"

	"wisteriaspool/coordination"
)

// handover is the wait of one request for routers to agree on the owners of its
// candidates. They learn at different moments that an owner stops or starts: one
// that has learnt of it disclaims the endpoints, and the router that it names does
// not count them yet.
type handover struct {
	waited time.Duration
	next   time.Duration // the pause that comes next; zero before the first
}

const (
	// firstHandoverPause is the first pause before all candidates are asked
	// again. Each that follows is twice as long.
	firstHandoverPause = 5 * time.Millisecond

	// maxHandoverWait bounds the pauses of a request together. A refusal would
	// keep its caller away for as long.
	maxHandoverWait = noCandidateRetry
)

// pause returns the pause that comes next and counts it, or false if routers have
// had the time to agree.
func (h *handover) pause() (time.Duration, bool) {
	d := min(max(h.next, firstHandoverPause), maxHandoverWait-h.waited)
	if d <= 0 {
		return 0, false
	}
	h.waited += d
	h.next = 2 * d
	return d, true
}

// awaitHandover waits for a moment and begins the walk anew. It reports false if
// the request is not to wait, or not any longer.
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
