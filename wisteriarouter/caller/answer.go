package caller

import (
	"context"
	"errors"
	"io"
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

// resumePauses are the waits before each try to resume a broken stream on its
// own endpoint. A cut connection comes back at once; a process that died does
// not come back within them, and the answer goes on elsewhere.
var resumePauses = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}

// maxBarren is how many connections running may bring no token before the
// attempt is taken for lost. An engine that takes each resume and sends nothing
// would otherwise be asked for ever, and its caller wait as long.
const maxBarren = 8

// barrenPause is the wait before a resume for each connection running that
// brought no token.
const barrenPause = 50 * time.Millisecond

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
	finished   end = iota // the answer is whole
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
			a.Log.Emit(event.RetryBudgetSpent, event.F("team", a.chat.team))
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
	at := &attempt{id: engine.NewAttempt(place.Endpoint, a.chat.binding), place: place}
	a.id, a.place = at.id, place
	how := a.start(ctx, at)
	if how == finished {
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

// start sends the attempt. It returns finished when the stream stands.
func (a *answer) start(ctx context.Context, at *attempt) end {
	raw, err := a.chat.body.forEngine(a.text.String(), a.chat.limit-a.offset)
	if err != nil {
		return declined
	}
	a.evidence.Begin(at.id)
	at.stream, err = a.Engines.Start(ctx, at.place.Address, a.request(at.id, raw))
	if err == nil {
		a.evidence.Written(at.id)
		return finished
	}
	return a.startFailed(ctx, at, err)
}

// request is the attempt id as an engine gets it, from where the answer stands.
func (a *answer) request(id coordination.Attempt, raw []byte) engine.Request {
	return engine.Request{
		Attempt:  id,
		Chat:     a.chat.id,
		Priority: a.chat.plan.Priority,
		Body:     raw,
		Offset:   a.offset,
		Idle:     a.chat.plan.Stall,
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
		if failure.Dead {
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

// follow passes the stream on until the answer is whole or cannot go on here.
func (a *answer) follow(ctx context.Context, at *attempt) end {
	barren := 0 // connections running that brought no token
	for {
		before := a.offset
		err := a.copy(at)
		at.stream.Close()
		barren++
		if a.offset > before {
			barren = 0
		}
		switch {
		case err == nil:
			return finished
		case errors.Is(err, errLimit):
			return limited
		case ctx.Err() != nil, errors.Is(err, errSink):
			return callerGone
		case errors.Is(err, engine.ErrMalformed):
			a.Log.Emit(event.StreamMalformed, event.F("endpoint", at.place.Endpoint), event.F("attempt", at.id))
			return malformed
		}
		if barren > maxBarren || !wait(ctx, time.Duration(barren)*barrenPause) || !a.resume(ctx, at) {
			return lost
		}
		a.Metrics.resumed.Inc()
		a.Log.Emit(event.StreamResumed, event.F("endpoint", at.place.Endpoint), event.F("offset", a.offset))
	}
}

// errLimit is the error of an answer that goes on behind its limit, because the
// engine was given none or ignores it.
var errLimit = errors.New("caller: answer is longer than allowed")

// copy passes chunks to the sink. It returns nil behind a whole answer.
func (a *answer) copy(at *attempt) error {
	for {
		c, err := at.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.offset == 0 && c.Offset > 0 {
			a.Metrics.firstToken.Observe(time.Since(a.chat.arrived).Seconds())
		}
		if c.Finish == "" && c.Offset > a.chat.limit {
			return errLimit
		}
		if err := a.sink.chunk(at.id, c); err != nil {
			return err
		}
		a.Metrics.delivered.Add(float64(max(0, c.Offset-a.offset)))
		a.offset = c.Offset
		a.text.WriteString(c.Text)
		a.Metrics.used(c.Usage)
	}
}

// resume opens the rest of a broken stream on the same endpoint. What was
// generated is paid for, so that another endpoint is the second choice.
func (a *answer) resume(ctx context.Context, at *attempt) bool {
	for _, pause := range resumePauses {
		if !wait(ctx, pause) {
			return false
		}
		stream, err := a.Engines.Resume(ctx, at.place.Address, a.request(at.id, nil))
		if err == nil {
			at.stream = stream
			return true
		}
		if errors.Is(err, engine.ErrGone) {
			return false
		}
		// The endpoint may be back in a moment, but until then its owner must
		// not send others there: they would be lost with it, and suspected.
		a.Placer.Dead(at.place.Endpoint, at.place.Incarnation)
		if errors.Is(err, engine.ErrSilent) {
			return false // frozen: another try would only wait as long
		}
	}
	return false
}

// wait waits for d and reports whether ctx still stands. It makes no timer for
// no time at all: under the race detector one that is due at once in a paused
// clock can crash the process.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// settle draws the consequences of an attempt's end and reports whether the
// request is over.
func (a *answer) settle(ctx context.Context, at *attempt, how end) bool {
	defer at.place.Release()
	if how == lost && a.isDead(ctx, at) {
		how = died
	}
	switch how {
	case finished:
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case limited:
		a.cancel(ctx, at)
		a.evidence.Answered(at.id)
		a.finish()
		return true
	case callerGone:
		a.cancel(ctx, at)
		a.Metrics.ended("chat", a.evidence.Outcome(), "caller-gone")
		a.Log.Emit(event.ConnectionDropped, event.F("attempt", at.id))
		return true
	case lost, malformed:
		a.cancel(ctx, at)
	case died, foundDead:
		if refusal := a.mourn(ctx, at, how); refusal != nil {
			a.giveUp(ctx, refusal)
			return true
		}
	}
	a.exclude = append(a.exclude, at.place.Endpoint)
	if a.offset > 0 {
		a.Metrics.continued.Inc()
		a.Log.Emit(event.StreamContinued, event.F("endpoint", at.place.Endpoint), event.F("offset", a.offset))
	}
	return false
}

// mourn tells of a dead endpoint. It returns a refusal if the request may not
// run again. An endpoint that is only frozen may wake and go on, so its attempt
// is cancelled all the same.
func (a *answer) mourn(ctx context.Context, at *attempt, how end) *outcome.Refusal {
	e, n := at.place.Endpoint, at.place.Incarnation
	a.Placer.Dead(e, n)
	if how == foundDead {
		return a.trail.FoundDead(ctx, e)
	}
	a.Log.Emit(event.EndpointLost, event.F("endpoint", e), event.F("incarnation", n), event.F("attempt", at.id))
	a.cancel(ctx, at)
	// The place is given back first: the wait for leave to go on may be long.
	at.place.Release()
	return a.trail.Crashed(ctx, e, n)
}

// isDead reports whether the attempt's endpoint cannot be reached or has been
// restarted since, rather than only its connection cut.
func (a *answer) isDead(ctx context.Context, at *attempt) bool {
	l, err := a.Engines.Load(ctx, at.place.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	return at.place.Incarnation != 0 && l.Incarnation != at.place.Incarnation
}

func (a *answer) finish() {
	a.finished = true
	a.sink.finish(a.id, closing{Outcome: outcome.Ran, Hint: a.place.Hint})
	a.Metrics.ended("chat", outcome.Ran, "")
}

// giveUp sends the final refusal at once. Its outcome is what the evidence
// allows, whatever the refusal claims.
func (a *answer) giveUp(ctx context.Context, r *outcome.Refusal) {
	final := *r
	final.Outcome = a.evidence.Outcome()
	a.Metrics.ended("chat", final.Outcome, string(final.Code))
	a.Log.Emit(event.RequestRefused, event.F("code", final.Code), event.F("team", a.chat.team), event.F("account", a.chat.account))
	if ctx.Err() == nil {
		a.sink.refuse(&final)
	}
}
