package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// Suspect is what crashes of endpoints may count against.
type Suspect struct {
	Request suspicion.Fingerprint   // of the whole request
	Parts   []suspicion.Fingerprint // of the parts of its prompt that others may share
}

// SuspectTracker prevents requests that crash endpoints from crashing several in turn: one
// request that comes again, or many that share a part of their prompts.
type SuspectTracker interface {
	// Track starts to track a request, or refuses it. It may wait until another
	// copy of a suspect has ended.
	Track(ctx context.Context, s Suspect, p coordination.Pool) (TrackedRequest, *outcome.Refusal)
	// EndpointDied counts the death of an endpoint against the requests whose attempts
	// there are unsettled.
	EndpointDied(e coordination.Endpoint, n coordination.Incarnation)
}

// TrackedRequest is a request that SuspectTracker tracks. End is called once, at the end.
type TrackedRequest interface {
	// Alone reports whether the next attempt must run apart from other suspects.
	Alone() bool
	// Answering records that the endpoint has written the response for answeringTime, so
	// that the parts of the prompt hardly crash endpoints. It does not block.
	Answering()
	// Crashed records that the endpoint that ran the request has died. With answering the
	// attempt was reported to Answering, and the parts of its prompt are not blamed. It
	// returns nil when the request may continue, or its refusal.
	Crashed(ctx context.Context, p Placement, answering bool) *outcome.Refusal
	// Unsettled records that an attempt got no complete response although its endpoint
	// seems to be alive. If it dies soon, that counts as a crash.
	Unsettled(p Placement, answering bool)
	// Convicted returns the refusal of the request if it has been found to crash endpoints
	// since Track, and nil otherwise.
	Convicted() *outcome.Refusal
	// LatelyCompleted reports whether a copy of the request has lately run to completion,
	// so that it hardly crashes endpoints.
	LatelyCompleted() bool
	// End stops tracking; finished reports whether the request has run to its end, and
	// succeeded whether its response was a success.
	End(finished, succeeded bool)
}

// answeringTime is for how long an endpoint has to write events of a response until the
// request is not taken for one that crashes endpoints as they begin to answer.
const answeringTime = time.Second

// identify sets what identifies the request when it comes again.
func (x *exchange) identify() {
	x.fingerprint = suspicion.FingerprintOfCall(x.body.buffer.segments, string(x.account), route.Hostname(x.r.Host), x.r.URL.RequestURI())
}

// track starts to track a request, since it may be one that crashes endpoints. A request
// that comes again has the same caller, path and body; its method and the spelling of its
// host may differ.
func (x *exchange) track(ctx context.Context) bool {
	if x.server.Suspects == nil {
		return true
	}
	parts := lo.Map(platform.SharedParts(x.r.Header), func(id string, _ int) suspicion.Fingerprint { return suspicion.PartOf(id) })
	tracked, refusal := x.server.Suspects.Track(ctx, Suspect{Request: x.fingerprint, Parts: parts}, x.pool)
	if refusal != nil {
		x.respondWithoutResult(refusal.Message, refusal.RetryAfter)
		return false
	}
	x.tracked = tracked
	return true
}

// liveness is what a router knows of the endpoint of an attempt that got no complete
// response.
type liveness int

const (
	notChecked   liveness = iota
	alive                 // it accepts connections
	dead                  // it does not
	unreachable           // this router may be cut off from it
	checkAborted          // the request ended during the check
)

// String returns the name of l used in logs.
func (l liveness) String() string {
	switch l {
	case alive:
		return "alive"
	case dead:
		return "dead"
	case unreachable:
		return "unreachable"
	case checkAborted:
		return "aborted"
	default:
		return ""
	}
}

// How long an endpoint that accepts connections after a response broke off is checked
// again before the request runs elsewhere: the listener of a process that is being taken
// down may outlive its connections. A suspect waits for longer, so that it runs at one
// endpoint at a time.
const (
	recheckTime        = 50 * time.Millisecond
	suspectRecheckTime = 600 * time.Millisecond
)

// checkLiveness checks whether the endpoint of a broken attempt has died. An endpoint
// that only lost a response still accepts connections, and the failure of a router that
// is cut off says nothing. A request that would run elsewhere next waits for further
// checks, unless it has lately run to completion.
func (x *exchange) checkLiveness(ctx context.Context, p Placement, end attemptResult) liveness {
	l := livenessOf(ctx, x.server.Sender.Check(ctx, p.Address))
	if !x.mayRetry(end) || x.tracked == nil || x.tracked.LatelyCompleted() {
		return l
	}
	left := recheckTime
	if x.isSuspect() {
		left = suspectRecheckTime
	}
	for pause := recheckTime; left > 0 && (l == alive || l == unreachable && x.isSuspect()); pause *= 2 {
		pause = min(pause, left)
		left -= pause
		if !coordination.Sleep(ctx, pause) {
			return l
		}
		l = livenessOf(ctx, x.server.Sender.Recheck(ctx, p.Address))
	}
	return l
}

// livenessOf returns what the error of a check that was limited by ctx says.
func livenessOf(ctx context.Context, err error) liveness {
	switch {
	case err == nil:
		return alive
	case ctx.Err() != nil:
		return checkAborted
	case upstream.CutOff(err):
		return unreachable
	default:
		return dead
	}
}

// unsettled reports whether the last attempt, which ended with end, may have crashed its
// endpoint although that is not known to be dead: it seems to be alive, this router may be
// cut off from it, or it was not checked because the caller left, the deadline passed or
// the request moved on.
func (x *exchange) unsettled(end attemptResult) bool {
	return end == silent || x.liveness == alive || x.liveness == unreachable || x.liveness == checkAborted
}

// mayHaveCrashed reports whether a suspect may have crashed the endpoint of its last attempt,
// which this router cannot reach to find out. It must not run elsewhere before that is known.
func (x *exchange) mayHaveCrashed() bool { return x.isSuspect() && x.liveness == unreachable }

// recordUnsettled records an attempt that got no complete response from an endpoint that
// seems to be alive, and has the endpoint watched.
func (x *exchange) recordUnsettled(p Placement) {
	if x.tracked == nil {
		return
	}
	x.tracked.Unsettled(p, x.stream.answering)
	x.server.aftermath.watch(x.server, p)
}

// recordCrash records that the endpoint that ran the request has died, and reports
// whether the request may have another attempt. It may wait for long.
func (x *exchange) recordCrash(ctx context.Context, p Placement) bool {
	x.server.recordDeath(p)
	x.emit(event.RelayCrash, event.F("endpoint", p.Endpoint), event.F("fingerprint", x.fingerprint.String()), event.F("parts", platform.SharedParts(x.r.Header)), event.F("events-ms", x.stream.writtenMs()), event.F("cold", p.Cold), event.F("tracked", x.tracked != nil))
	if x.tracked == nil {
		return true
	}
	refusal := x.tracked.Crashed(ctx, p, x.stream.answering)
	if refusal == nil {
		return true
	}
	x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", refusal.Message))
	return false
}

// convicted returns the refusal of a request that has been found to crash endpoints since
// its arrival, or nil.
func (x *exchange) convicted() *outcome.Refusal {
	if x.tracked == nil {
		return nil
	}
	return x.tracked.Convicted()
}

// isSuspect reports whether the request may have crashed an endpoint, so that it has to run
// apart from other suspects and at one endpoint at a time.
func (x *exchange) isSuspect() bool { return x.tracked != nil && x.tracked.Alone() }

// endTracking stops tracking the request.
func (x *exchange) endTracking(finished bool) {
	if x.tracked != nil {
		x.tracked.End(finished, finished && x.status < http.StatusBadRequest)
	}
}

// recordAnswering records that the endpoint has written events since first.
func (x *exchange) recordAnswering(first, now time.Time) {
	if x.tracked == nil || x.stream.answering || now.Sub(first) < answeringTime {
		return
	}
	x.stream.answering = true
	x.tracked.Answering()
}

// reportUnreachable handles a failed dial. A refused connection proves that the
// process has ended, and all routers are told, unless this router may be cut off. A
// dial that timed out may be due to a single lost packet, so the endpoint is checked
// again in the background: one lost packet once took the only endpoint of a pool from
// all routers for five seconds.
func (s *Server) reportUnreachable(p Placement, err error) {
	switch {
	case upstream.CutOff(err):
	case upstream.Refused(err):
		s.recordDeath(p)
	default:
		go deathCheck{server: s, placement: p}.run()
	}
}

// deathCheck checks whether an endpoint that did not answer has died.
type deathCheck struct {
	server    *Server
	placement Placement
}

func (c deathCheck) run() {
	if err := c.server.Sender.Check(context.Background(), c.placement.Address); err != nil && !upstream.CutOff(err) {
		c.server.recordDeath(c.placement)
	}
}

// recordDeath records that an endpoint has died.
func (s *Server) recordDeath(p Placement) {
	s.Placer.Dead(p.Endpoint, p.Incarnation)
	if s.Suspects != nil {
		go deathReport{suspects: s.Suspects, placement: p}.run()
	}
}

// deathReport tells the tracker of suspects of a dead endpoint. It runs outside the
// request that found the endpoint dead, because the tracker asks other routers.
type deathReport struct {
	suspects  SuspectTracker
	placement Placement
}

func (d deathReport) run() { d.suspects.EndpointDied(d.placement.Endpoint, d.placement.Incarnation) }
