package suspicion

import (
	"context"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// unsettledAttempt is an attempt that ended without a complete response while nothing
// showed that its endpoint had died.
type unsettledAttempt struct {
	loss  Loss
	until time.Time // a later death of the endpoint is no evidence
}

// AttemptUnsettled records that an attempt of the request ended without a complete
// response although its endpoint seems to be alive. An endpoint that crashes may accept
// connections for a while, or answer nothing for a while before it ends. If it is found
// dead within Config.EvidenceTime, the crash counts, even if the request has ended.
func (r *TrackedRequest) AttemptUnsettled(l Loss) {
	g := r.guard
	r.trial.Store(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	r.unsettled = append(r.unsettled, unsettledAttempt{loss: l, until: time.Now().Add(g.gate.cfg.EvidenceTime)})
}

// EndpointDied counts the death of an endpoint against the requests whose attempts there
// are unsettled, and returns the fingerprints of those that it counts against.
func (g *Guard) EndpointDied(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) []Fingerprint {
	var counted []Fingerprint
	for r, l := range g.takeUnsettled(time.Now(), e, n) {
		// An attempt that did not break off is weak evidence, and a request that
		// crashes endpoints never completes.
		if !r.LatelyCompleted() {
			r.recordCrash(ctx, l, true)
			counted = append(counted, r.fingerprint)
		}
		if !r.endSettled() {
			g.sendClaim(ctx, r) // another attempt of the request runs, or may be unsettled
		}
	}
	return counted
}

// takeUnsettled removes the unsettled attempts at an endpoint, at most one of each
// request, and returns them by request.
func (g *Guard) takeUnsettled(now time.Time, e coordination.Endpoint, n coordination.Incarnation) map[*TrackedRequest]Loss {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := make(map[*TrackedRequest]Loss)
	for _, all := range g.tracked {
		for _, r := range all {
			r.unsettled = lo.Filter(r.unsettled, func(u unsettledAttempt, _ int) bool {
				if u.loss.Endpoint != e || u.loss.Incarnation != n || !now.Before(u.until) {
					return true
				}
				found[r] = u.loss
				return false
			})
		}
	}
	return found
}

// deferEnd reports whether the request has to be tracked beyond its end because an
// attempt is unsettled. Until then its gate admits no other copy of a suspect. A request
// that has lately run to completion need not be: no late death would count against it.
func (r *TrackedRequest) deferEnd() bool {
	if r.LatelyCompleted() {
		return false
	}
	g := r.guard
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.unsettled = lo.Filter(r.unsettled, func(u unsettledAttempt, _ int) bool { return now.Before(u.until) })
	if len(r.unsettled) == 0 {
		return false
	}
	r.ended = true
	last := lo.MaxBy(r.unsettled, func(a, b unsettledAttempt) bool { return a.until.After(b.until) })
	time.AfterFunc(last.until.Sub(now), deferredEnd{r}.run)
	return true
}

// deferredEnd ends the tracking of a request whose unsettled attempts are no evidence any
// more.
type deferredEnd struct{ request *TrackedRequest }

func (d deferredEnd) run() { d.request.finishTracking(context.Background(), Abandoned) }

// endSettled stops tracking a request that has ended and has no unsettled attempt left,
// and reports whether it did.
func (r *TrackedRequest) endSettled() bool {
	r.guard.mu.Lock()
	settled := r.ended && len(r.unsettled) == 0
	r.guard.mu.Unlock()
	if settled {
		r.finishTracking(context.Background(), Abandoned)
	}
	return settled
}

// LatelyCompleted reports whether a copy of the request has run to completion within
// Config.CompletionWindow.
func (r *TrackedRequest) LatelyCompleted() bool {
	return r.guard.completions.contains(time.Now(), r.fingerprint)
}
