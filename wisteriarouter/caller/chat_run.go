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

// maxAttempts limits the attempts of one request, in addition to the retry
// budget, which is a share of all requests.
const maxAttempts = 6

// retryAfterEndpointLost is the Retry-After of a request whose endpoints were
// lost.
const retryAfterEndpointLost = 2 * time.Second

// chatRun runs one chat request over all its attempts.
type chatRun struct {
	*Server
	chat      *chat
	sink      responseSink
	evidence  outcome.Evidence
	text      strings.Builder // passed to the sink
	offset    int             // tokens passed to the sink
	exclude   []coordination.Endpoint
	tracked   TrackedRequest
	placement Placement            // of the last attempt
	id        coordination.Attempt // of the last attempt
	finished  bool
}

// attemptResult is how one attempt ended.
type attemptResult int

const (
	streamOpen          attemptResult = iota // not ended: its stream is open
	finished                                 // the answer is complete
	callerGone                               // the caller has disconnected or stopped reading
	limitReached                             // the answer has reached its token limit
	declined                                 // the endpoint refused to run it
	streamLost                               // the stream broke and could not be resumed
	endpointDied                             // the stream broke because its endpoint died
	endpointUnreachable                      // no connection to its endpoint could be made
	streamMalformed                          // the endpoint sent data that cannot be parsed
)

// attempt is one attempt at one endpoint.
type attempt struct {
	id        coordination.Attempt
	placement Placement
	stream    *engine.Stream
	startedAt time.Time
}

func (a *chatRun) run(ctx context.Context) {
	tracked, refusal := a.Suspects.Track(ctx, a.chat.fingerprint, a.chat.plan.Pool)
	if refusal != nil {
		a.giveUp(ctx, refusal)
		return
	}
	a.tracked = tracked
	defer func() { tracked.End(a.finished) }()
	a.runAttempts(ctx)
}

// runAttempts makes attempts until the request has ended.
func (a *chatRun) runAttempts(ctx context.Context) {
	if a.chat.resumeFrom != nil && a.adopt(ctx) {
		return
	}
	for n := 0; n < maxAttempts; n++ {
		if a.finishAtLimit() {
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
	a.giveUp(ctx, a.exhaustedRefusal())
}

// exhaustedRefusal returns the refusal of a request that no endpoint has
// completed.
func (a *chatRun) exhaustedRefusal() *outcome.Refusal {
	if a.evidence.Outcome() == outcome.NotRun {
		return &outcome.Refusal{
			Code:       outcome.Overloaded,
			Message:    "every endpoint that was asked refused the request",
			RetryAfter: retryAfterEndpointLost,
		}
	}
	return &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the endpoints that ran the request were lost",
		RetryAfter: retryAfterEndpointLost,
	}
}

// finishAtLimit finishes an answer that has all its tokens and lacks only the
// final chunk, to which another endpoint could add nothing. It reports whether
// the request has ended.
func (a *chatRun) finishAtLimit() bool {
	if a.id == "" || a.offset < a.chat.maxTokens {
		return false
	}
	a.evidence.Answered(a.id)
	a.finish()
	return true
}

// try makes one attempt and reports whether the request has ended.
func (a *chatRun) try(ctx context.Context) bool {
	alone := a.tracked.Alone()
	requestedAt := time.Now()
	place, refusal := a.acquire(ctx)
	if refusal != nil {
		a.giveUp(ctx, refusal)
		return true
	}
	if refusal := a.reportDeadEndpoints(ctx, place.DeadEndpoints); refusal != nil {
		place.Release()
		a.giveUp(ctx, refusal)
		return true
	}
	if a.tracked.Alone() && !alone {
		// The request became a suspect while it waited, so it must not run
		// beside another suspect.
		place.Release()
		return false
	}
	at := &attempt{id: engine.NewAttempt(place.Endpoint, a.chat.binding), placement: place, startedAt: time.Now()}
	a.id, a.placement = at.id, place
	a.logPlacement(at, time.Since(requestedAt))
	result := a.start(ctx, at)
	if result == streamOpen {
		result = a.forwardStream(ctx, at)
	}
	return a.concludeAttempt(ctx, at, result)
}

// reportDeadEndpoints reports the endpoints that placement found dead, which
// another copy of this request may have crashed.
func (a *chatRun) reportDeadEndpoints(ctx context.Context, dead []coordination.Endpoint) *outcome.Refusal {
	for _, e := range dead {
		if refusal := a.tracked.FoundDead(ctx, e); refusal != nil {
			return refusal
		}
	}
	return nil
}

// start sends the attempt. It returns streamOpen if the engine has opened the
// stream.
func (a *chatRun) start(ctx context.Context, at *attempt) attemptResult {
	raw, err := a.chat.body.forEngine(a.text.String(), a.chat.maxTokens-a.offset)
	if err != nil {
		return declined
	}
	a.evidence.Begin(at.id)
	at.stream, err = a.Engines.Start(ctx, at.placement.Address, a.request(at.id, raw))
	if err == nil {
		a.evidence.Written(at.id)
		return streamOpen
	}
	return a.startFailed(ctx, at, err)
}

// request returns the engine request of attempt id, starting at the current
// offset.
func (a *chatRun) request(id coordination.Attempt, raw []byte) engine.Request {
	return engine.Request{
		Attempt:     id,
		Chat:        a.chat.id,
		Priority:    a.chat.plan.Priority,
		Body:        raw,
		Offset:      a.offset,
		IdleTimeout: a.chat.plan.StallTimeout,
	}
}

func (a *chatRun) startFailed(ctx context.Context, at *attempt, err error) attemptResult {
	var failure *engine.StartError
	if !errors.As(err, &failure) {
		a.evidence.Written(at.id)
		return streamLost
	}
	if failure.Leaving {
		a.Placer.Leaving(at.placement.Endpoint, at.placement.Incarnation)
	}
	if failure.Pause > 0 {
		a.Placer.Pause(at.placement.Endpoint, at.placement.Incarnation, failure.Pause)
	}
	switch {
	case failure.NotRun && failure.Status != 0:
		a.evidence.Declined(at.id)
		return declined
	case failure.NotRun:
		a.evidence.NothingSent(at.id)
		if failure.NoResponse {
			return endpointUnreachable
		}
	default:
		a.evidence.Written(at.id)
	}
	if ctx.Err() != nil {
		return callerGone
	}
	if failure.NotRun {
		return declined
	}
	return streamLost
}
