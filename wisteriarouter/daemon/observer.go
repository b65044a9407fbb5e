package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/event"
)

// observer implements relay.Observer. It scores the result of one attempt
// against what this router has seen elsewhere in the pool, and has the grant
// report the score to the endpoint's owner.
type observer struct {
	monitor  *outlier.Monitor
	grant    *placement.Grant
	request  outlier.Request
	reported atomic.Bool // whether a result is recorded; an attempt counts once
}

// RecordFirstByte implements relay.Observer.
func (o *observer) RecordFirstByte(took time.Duration) {
	o.monitor.RecordFirstByte(time.Now(), o.request, took)
}

// Overdue implements relay.Observer.
func (o *observer) Overdue(ctx context.Context) (failing bool) {
	if o.reported.Swap(true) {
		return o.grant.ReportEvidence(ctx, 0)
	}
	return o.grant.ReportEvidence(ctx, o.monitor.RecordFailure(time.Now(), o.request))
}

// RecordRejection implements relay.Observer.
func (o *observer) RecordRejection() { o.grant.RecordRejection() }

// RecordSuccess implements relay.Observer.
func (o *observer) RecordSuccess() {
	if !o.reported.Swap(true) {
		o.grant.RecordEvidence(o.monitor.RecordSuccess(time.Now(), o.request))
	}
}

// RecordFailure implements relay.Observer.
func (o *observer) RecordFailure() {
	if !o.reported.Swap(true) {
		o.grant.RecordEvidence(o.monitor.RecordFailure(time.Now(), o.request))
	}
}

// outlierLogger logs that an endpoint is ejected for its failures or returned
// to use.
type outlierLogger struct{ log event.Log }

func (l outlierLogger) logChange(change placement.OutlierChange) {
	l.log.Emit(event.EndpointOutlier,
		event.F("endpoint", change.Endpoint), event.F("incarnation", change.Incarnation), event.F("pool", change.Pool),
		event.F("zone", change.Zone), event.F("standing", change.Standing.String()),
		event.F("evidence", int(change.Score)), event.F("pause-ms", change.Pause.Milliseconds()))
}
