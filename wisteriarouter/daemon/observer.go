package daemon

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/relay"
)

// observer implements relay.Observer. It scores the result of one attempt
// against what this router has seen elsewhere in the pool, and has the grant
// report the score to the endpoint's owner.
type observer struct {
	monitor  *outlier.Monitor
	grant    *placement.Grant
	request  outlier.Request
	baseline baseline // nil if capacity is not measured
	// reporting holds the pools whose endpoints report their pace, the only ones in which
	// capacity is measured; nil if it is measured in all.
	reporting *sync.Map
	reported  atomic.Bool // whether a result is recorded; an attempt counts once
}

// baseline knows how long work usually takes.
type baseline interface {
	Observe(now time.Time, w capacity.Work, took time.Duration) capacity.Pace
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

// RecordWork implements relay.Observer.
func (o *observer) RecordWork(w relay.Work) capacity.Pace {
	if o.baseline == nil {
		return 0
	}
	seen := observation(o.baseline, o.request, time.Now(), w)
	if (seen.Pace > 0 || seen.Reported > 0) && o.needed(seen) {
		o.grant.RecordWork(seen)
	}
	return seen.Pace
}

// needed reports whether the owner of the endpoint uses an observation. In a pool whose
// endpoints report no pace it does not if the mode is [capacity.Reported], and releases
// should not carry it.
func (o *observer) needed(seen capacity.Observation) bool {
	if o.reporting == nil {
		return true
	}
	if seen.Reported > 0 {
		o.reporting.LoadOrStore(o.request.Pool, true)
		return true
	}
	_, ok := o.reporting.Load(o.request.Pool)
	return ok
}

// streamSuffix distinguishes the streams of a route from its single responses, whose
// durations cannot be compared with the time between events.
const streamSuffix = "\x00stream"

// observation compares the work of a request with similar work.
func observation(b baseline, r outlier.Request, now time.Time, w relay.Work) capacity.Observation {
	var seen capacity.Observation
	if w.Took > 0 {
		kind := r.Kind
		if w.Stream {
			kind += streamSuffix
		}
		seen.Pace = b.Observe(now, capacity.Work{Pool: r.Pool, Kind: kind, Tokens: w.Tokens}, w.Took)
	}
	if w.Reported > 0 {
		seen.Reported, seen.ReportAge = w.Reported, max(now.Sub(w.Heard), 0)
	}
	return seen
}

// capacityLogger logs that the pace or the limit of an endpoint has changed.
type capacityLogger struct{ log event.Log }

func (l capacityLogger) logChange(s placement.CapacityStatus) {
	l.log.Emit(event.EndpointCapacity,
		event.F("endpoint", s.Endpoint), event.F("incarnation", s.Incarnation), event.F("pool", s.Pool),
		event.F("pace", percent(s.Pace)), event.F("mean", percent(s.MeanPace())),
		event.F("limit", s.Limit), event.F("slots", s.Slots))
}

// percent returns a pace in percent of normal.
func percent(p capacity.Pace) int { return int(math.Round(100 * float64(p))) }

// outlierLogger logs that an endpoint is ejected for its failures or returned
// to use.
type outlierLogger struct{ log event.Log }

func (l outlierLogger) logChange(change placement.OutlierChange) {
	l.log.Emit(event.EndpointOutlier,
		event.F("endpoint", change.Endpoint), event.F("incarnation", change.Incarnation), event.F("pool", change.Pool),
		event.F("zone", change.Zone), event.F("standing", change.Standing.String()),
		event.F("evidence", int(change.Score)), event.F("pause-ms", change.Pause.Milliseconds()))
}
