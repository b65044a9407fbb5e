package relay

import (
	"context"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// CrashGuard keeps requests that crash endpoints from taking one after another.
type CrashGuard interface {
	// Follow begins to follow a request, or refuses it. It may wait until
	// another copy of a suspect has ended.
	Follow(ctx context.Context, fingerprint uint64, p coordination.Pool) (TrackedRequest, *outcome.Refusal)
}

// TrackedRequest follows one request. End is called once, at the end.
type TrackedRequest interface {
	// Alone reports whether the next attempt must run apart from suspects.
	Alone() bool
	// Crashed tells that the endpoint which ran the request has died. It
	// returns when the request may go on, or with its refusal.
	Crashed(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) *outcome.Refusal
	// End tells whether the request has run to its end.
	End(finished bool)
}

// track begins to track a request that may be one that crashes endpoints. One
// without a body is not followed: many callers ask for the same, and the crash
// of an endpoint beside them would have them all refused.
func (x *exchange) track(ctx context.Context) bool {
	if len(x.body) == 0 || x.server.Suspects == nil {
		return true
	}
	f := suspicion.FingerprintOf(string(x.account), x.r.Method, x.r.RequestURI, string(x.body))
	trail, refusal := x.server.Suspects.Follow(ctx, uint64(f), x.pool)
	if refusal != nil {
		x.respondWithoutResult(refusal.Message, refusal.RetryAfter)
		return false
	}
	x.tracked = trail
	return true
}

// checkCrash looks whether the endpoint of an attempt that broke has died, and
// reports whether the request may have another attempt. An endpoint that only
// loses an answer still takes connections.
func (x *exchange) checkCrash(ctx context.Context, p Place) bool {
	if x.server.Sender.Alive(ctx, p.Address) || ctx.Err() != nil {
		return true
	}
	x.server.Placer.Dead(p.Endpoint, p.Incarnation)
	if x.tracked == nil {
		return true
	}
	refusal := x.tracked.Crashed(ctx, p.Endpoint, p.Incarnation)
	if refusal == nil {
		return true
	}
	x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", refusal.Message))
	return false
}

// endTracking ends the following of a request.
func (x *exchange) endTracking(finished bool) {
	if x.tracked != nil {
		x.tracked.End(finished)
	}
}

// reportUnreachable takes in that no connection to an endpoint could be made. That
// nobody listens there is certain, and all routers are told. That nobody answers
// may be one lost packet: then the endpoint is asked once more, beside the
// request. Once, a single lost packet took the only endpoint of a pool away from
// all routers for five seconds.
func (s *Server) reportUnreachable(p Place, err error) {
	if upstream.Refused(err) {
		s.Placer.Dead(p.Endpoint, p.Incarnation)
		return
	}
	go deathCheck{server: s, place: p}.run()
}

// deathCheck looks whether an endpoint that did not answer has died.
type deathCheck struct {
	server *Server
	place  Place
}

func (c deathCheck) run() {
	if !c.server.Sender.Alive(context.Background(), c.place.Address) {
		c.server.Placer.Dead(c.place.Endpoint, c.place.Incarnation)
	}
}
