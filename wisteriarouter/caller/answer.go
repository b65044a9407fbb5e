package caller

import (
	"context"
	"errors"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// maxAttempts bounds the attempts of one request beside the retry budget,
// which is a share of all requests.
const maxAttempts = 6

// retryAfterLoss is when a caller is told to come back after its endpoints
// were lost.
const retryAfterLoss = 2 * time.Second

// answer follows one chat request through its attempts.
type answer struct {
	*Server
	chat     *chat
	sink     sink
	evidence outcome.Evidence
	text     strings.Builder // delivered to the sink
	offset   int             // tokens delivered
	exclude  []coordination.Endpoint
	trail    Trail
	place    Place                // of the last attempt
	id       coordination.Attempt // of the last attempt
	finished bool
}

// end tells how one attempt ended.
type end int

const (
	standing   end = iota // not yet: its stream stands
	finished              // the answer is whole
	callerGone            // nobody reads any more
	limited               // the answer has all the tokens it may have
	declined              // the endpoint did not run it
	lost                  // the stream broke and could not be resumed
	died                  // so did its endpoint
	foundDead             // its endpoint could not be reached at all
	malformed             // the endpoint sent what cannot be read
)

// attempt is one try at one endpoint.
type attempt struct {
	id     coordination.Attempt
	place  Place
	stream *engine.Stream
	begun  time.Time
}

func (a *answer) run(ctx context.Context) {
	trail, refusal := a.Suspects.Follow(ctx, a.chat.fingerprint, a.chat.plan.Pool)
	if refusal != nil {
		a.giveUp(ctx, refusal)
		return
	}
	a.trail = trail
	defer func() { trail.End(a.finished) }()
	a.attempts(ctx)
}

// attempts makes attempts until the request is over.
func (a *answer) attempts(ctx context.Context) {
	if a.chat.resume != nil && a.adopt(ctx) {
		return
	}
	for n := 0; n < maxAttempts; n++ {
		if a.complete() {
			return
		}
		if n > 0 && !a.Retries.Take(a.chat.team) {
			a.emit(event.RetryBudgetSpent, event.F("team", a.chat.team))
			break
		}
		if a.try(ctx) {
			return
		}
	}
	a.giveUp(ctx, a.exhausted())
}

// exhausted is the refusal of a request that no endpoint has completed.
func (a *answer) exhausted() *outcome.Refusal {
	if a.evidence.Outcome() == outcome.NotRun {
		return &outcome.Refusal{
			Code:       outcome.Overloaded,
			Message:    "every endpoint that was asked refused the request",
			RetryAfter: retryAfterLoss,
		}
	}
	return &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the endpoints that ran the request were lost",
		RetryAfter: retryAfterLoss,
	}
}

// complete ends an answer that has all its tokens and lost only its closing
// chunk: an endpoint has nothing left to add.
func (a *answer) complete() bool {
	if a.id == "" || a.offset < a.chat.limit {
		return false
	}
	a.evidence.Answered(a.id)
	a.finish()
	return true
}

// try makes one attempt and reports whether the request is over.
func (a *answer) try(ctx context.Context) bool {
	alone := a.trail.Alone()
	asked := time.Now()
	place, refusal := a.acquire(ctx)
	if refusal != nil {
		a.giveUp(ctx, refusal)
		return true
	}
	if refusal := a.heed(ctx, place.Lost); refusal != nil {
		place.Release()
		a.giveUp(ctx, refusal)
		return true
	}
	if a.trail.Alone() && !alone {
		// It has become a suspect on the way: it must not run beside another.
		place.Release()
		return false
	}
	at := &attempt{id: engine.NewAttempt(place.Endpoint, a.chat.binding), place: place, begun: time.Now()}
	a.id, a.place = at.id, place
	a.placed(at, time.Since(asked))
	how := a.start(ctx, at)
	if how == standing {
		how = a.follow(ctx, at)
	}
	return a.settle(ctx, at, how)
}

// heed tells the trail of endpoints that placement found dead: a copy of this
// very request may have taken them.
func (a *answer) heed(ctx context.Context, lost []coordination.Endpoint) *outcome.Refusal {
	for _, e := range lost {
		if refusal := a.trail.FoundDead(ctx, e); refusal != nil {
			return refusal
		}
	}
	return nil
}

// start sends the attempt. It returns standing when the stream does.
func (a *answer) start(ctx context.Context, at *attempt) end {
	raw, err := a.chat.body.forEngine(a.text.String(), a.chat.limit-a.offset)
	if err != nil {
		return declined
	}
	a.evidence.Begin(at.id)
	at.stream, err = a.Engines.Start(ctx, at.place.Address, a.request(at.id, raw))
	if err == nil {
		a.evidence.Written(at.id)
		return standing
	}
	return a.startFailed(ctx, at, err)
}

// request is the attempt id as an engine gets it, from where the answer stands.
func (a *answer) request(id coordination.Attempt, raw []byte) engine.Request {
	return engine.Request{
		Attempt:     id,
		Chat:        a.chat.id,
		Priority:    a.chat.plan.Priority,
		Body:        raw,
		Offset:      a.offset,
		IdleTimeout: a.chat.plan.Stall,
	}
}

func (a *answer) startFailed(ctx context.Context, at *attempt, err error) end {
	var failure *engine.StartError
	if !errors.As(err, &failure) {
		a.evidence.Written(at.id)
		return lost
	}
	switch {
	case failure.NotRun && failure.Status != 0:
		a.evidence.Declined(at.id)
		return declined
	case failure.NotRun:
		a.evidence.NothingSent(at.id)
		if failure.NoResponse {
			return foundDead
		}
	default:
		a.evidence.Written(at.id)
	}
	if failure.Leaving {
		a.Placer.Leaving(at.place.Endpoint, at.place.Incarnation)
	}
	if ctx.Err() != nil {
		return callerGone
	}
	if failure.NotRun {
		return declined
	}
	return lost
}
