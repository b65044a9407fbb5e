package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/event"
)

// witness implements relay.Witness: it weighs what one attempt shows by what
// this router has seen elsewhere in the pool, and has the grant tell the
// endpoint's owner.
type witness struct {
	watch *outlier.Watch
	grant *placement.Grant
	sight outlier.Sight
	told  atomic.Bool // that the answer is overdue; an attempt speaks once
}

// Answered implements relay.Witness.
func (w *witness) Answered(took time.Duration) { w.watch.Answered(time.Now(), w.sight, took) }

// Overdue implements relay.Witness.
func (w *witness) Overdue(ctx context.Context) (out bool) {
	if w.told.Swap(true) {
		return w.grant.Tell(ctx, 0)
	}
	return w.grant.Tell(ctx, w.watch.Failed(time.Now(), w.sight))
}

// Served implements relay.Witness.
func (w *witness) Served() {
	if !w.told.Swap(true) {
		w.grant.Saw(w.watch.Served(time.Now(), w.sight))
	}
}

// Failed implements relay.Witness.
func (w *witness) Failed() {
	if !w.told.Swap(true) {
		w.grant.Saw(w.watch.Failed(time.Now(), w.sight))
	}
}

// judgementLogger logs that an endpoint is taken out for its failures, or back.
type judgementLogger struct{ log event.Log }

func (l judgementLogger) tell(j placement.Judgement) {
	l.log.Emit(event.EndpointJudged,
		event.F("endpoint", j.Endpoint), event.F("incarnation", j.Incarnation), event.F("pool", j.Pool),
		event.F("zone", j.Zone), event.F("standing", j.Standing.String()),
		event.F("evidence", int(j.Score)), event.F("pause-ms", j.Pause.Milliseconds()))
}
