package daemon

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/pause"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
)

// Pause implements caller.Placer.
func (p *placer) Pause(id coordination.Endpoint, n coordination.Incarnation, d time.Duration) {
	p.pauses.Record(time.Now(), pause.Target{Endpoint: id, Incarnation: n}, d)
}

// pausing reports whether an endpoint wants no requests of this router now.
func (p *placer) pausing(id coordination.Endpoint, n coordination.Incarnation) bool {
	return p.pauses.Left(time.Now(), pause.Target{Endpoint: id, Incarnation: n}) > 0
}

// minPauseRetry is the Retry-After of a request that only endpoints which have failed it
// could take now.
const minPauseRetry = 250 * time.Millisecond

// avoidPausing returns the endpoints that a request avoids, with those that pause added.
// If no other is left for it, it returns a refusal: the request would be turned away.
func (p *placer) avoidPausing(req *placement.Request) ([]coordination.Endpoint, *outcome.Refusal) {
	now := time.Now()
	if !p.pauses.Active(now) {
		return req.Avoid, nil
	}
	avoid, usable := slices.Clip(req.Avoid), false
	for _, each := range p.pauseTargets(req) {
		switch {
		case slices.Contains(req.Avoid, each.Endpoint):
		case p.pauses.Left(now, each) > 0:
			avoid = append(avoid, each.Endpoint)
		default:
			usable = true
		}
	}
	if usable || len(avoid) == len(req.Avoid) {
		return avoid, nil
	}
	return nil, &outcome.Refusal{
		Code:       outcome.Overloaded,
		Message:    "all endpoints that could take the request ask for a pause",
		Outcome:    outcome.NotRun,
		RetryAfter: max(p.pauseLeft(now, req), minPauseRetry),
	}
}

// pauseLeft returns when a caller should repeat a request because all endpoints that
// could take it pause, or zero if one does not.
func (p *placer) pauseLeft(now time.Time, req *placement.Request) time.Duration {
	if !p.pauses.Active(now) {
		return 0
	}
	left := p.pauses.Shortest(now, p.pauseTargets(req))
	if left == 0 {
		return 0
	}
	return pause.RetryAfter(left)
}

// pauseTargets returns the endpoints that could take a request but for their load.
func (p *placer) pauseTargets(req *placement.Request) []pause.Target {
	return lo.FilterMap(p.directory.Pool(req.Pool), func(k endpoint.Info, _ int) (pause.Target, bool) {
		usable := !k.Leaving() && !p.zones.Evacuated(k.Zone) && (req.Allowed == nil || req.Allowed(k.Zone)) &&
			(!req.Continues || k.Version == req.Version)
		return pause.Target{Endpoint: k.ID, Incarnation: k.Incarnation}, usable
	})
}

// topicPause announces pauses that concern the requests of several routers: those that
// are sent through the router which the endpoint has asked. The key is the router that
// announces it, the one that was asked and the endpoint. The version rises within a
// lifetime of the router and from one to the next.
const topicPause = "endpoint-pause"

// pauseTTL is how long the announcement of a pause is kept.
const pauseTTL = 15 * time.Second

// pauseAnnouncement is the payload of topicPause.
type pauseAnnouncement struct {
	Endpoint    coordination.Endpoint    `cbor:"1,keyasint"`
	Incarnation coordination.Incarnation `cbor:"2,keyasint,omitempty"`
	Via         coordination.Instance    `cbor:"3,keyasint"`
	Left        placement.Millis         `cbor:"4,keyasint"`
}

// Pause implements relay.Placer. A pause that was asked of another router, through which
// the request went, holds for this one too: the endpoint is overloaded. Others are told
// if their requests reach the endpoint through the same router.
func (p *relayPlacer) Pause(id coordination.Endpoint, n coordination.Incarnation, via coordination.Instance, d time.Duration) {
	p.placer.Pause(id, n, d)
	switch {
	case via != "":
		p.pauses.Record(time.Now(), pause.Target{Endpoint: id, Incarnation: n, Via: via}, d)
	case p.tunnels.Open() > 0:
		via = p.self
	default:
		return
	}
	payload, err := cbor.Marshal(pauseAnnouncement{Endpoint: id, Incarnation: n, Via: via, Left: placement.Millis(min(d, pause.Max).Milliseconds())})
	if err != nil {
		panic("daemon: encoding a pause: " + err.Error()) // all fields are plain
	}
	version := uint64(p.node.Self().Incarnation) + uint64(time.Since(p.started).Milliseconds())
	p.node.Broadcast(topicPause, string(p.self)+"/"+string(via)+"/"+string(id), version, payload)
}

// receivePause records a pause that another router announces.
func (p *relayPlacer) receivePause(_ string, _ uint64, payload []byte) {
	var a pauseAnnouncement
	if err := cbor.Unmarshal(payload, &a); err != nil {
		p.log.Emit(event.PeerMalformed, event.F("topic", topicPause), event.F("error", err.Error()))
		return
	}
	t := pause.Target{Endpoint: a.Endpoint, Incarnation: a.Incarnation, Via: a.Via}
	if a.Via == p.self {
		t.Via = ""
	}
	p.pauses.Record(time.Now(), t, a.Left.Duration())
}
