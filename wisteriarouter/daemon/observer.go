package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/event"
)

// observer implements relay.Observer: it weighs what one attempt shows by what
// this router has seen elsewhere in the pool, and has the grant tell the
// endpoint's owner.
type observer struct {
	watch *outlier.Monitor
	grant *placement.Grant
	sight outlier.Request
	told  atomic.Bool // that the answer is overdue; an attempt speaks once
}

// RecordFirstByte implements relay.Observer.
func (o *observer) RecordFirstByte(took time.Duration) {
	o.watch.RecordFirstByte(time.Now(), o.sight, took)
}

// Overdue implements relay.Observer.
func (o *observer) Overdue(ctx context.Context) (out bool) {
	if o.told.Swap(true) {
		return o.grant.ReportEvidence(ctx, 0)
	}
	return o.grant.ReportEvidence(ctx, o.watch.RecordFailure(time.Now(), o.sight))
}

// RecordSuccess implements relay.Observer.
func (o *observer) RecordSuccess() {
	if !o.told.Swap(true) {
		o.grant.RecordEvidence(o.watch.RecordSuccess(time.Now(), o.sight))
	}
}

// RecordFailure implements relay.Observer.
func (o *observer) RecordFailure() {
	if !o.told.Swap(true) {
		o.grant.RecordEvidence(o.watch.RecordFailure(time.Now(), o.sight))
	}
}

// outlierLogger logs that an endpoint is taken out for its failures, or back.
type outlierLogger struct{ log event.Log }

func (l outlierLogger) tell(j placement.OutlierChange) {
	l.log.Emit(event.EndpointOutlier,
		event.F("endpoint", j.Endpoint), event.F("incarnation", j.Incarnation), event.F("pool", j.Pool),
		event.F("zone", j.Zone), event.F("standing", j.Standing.String()),
		event.F("evidence", int(j.Score)), event.F("pause-ms", j.Pause.Milliseconds()))
}
