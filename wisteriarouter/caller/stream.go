package caller

import (
	"context"
	"errors"
	"io"
	"time"

	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// resumeDelays are the waits before each try to resume a broken stream on its
// endpoint. A cut connection can be reopened at once; a process that died does
// not restart within them, and the answer continues at another endpoint.
var resumeDelays = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}

// maxEmptyConnections is the number of consecutive connections without a token
// after which the attempt is lost. An engine that accepts each resume and
// sends nothing would otherwise be called forever, while its caller waits.
const maxEmptyConnections = 8

// emptyConnectionDelay is the wait before a resume, for each consecutive
// connection without a token.
const emptyConnectionDelay = 50 * time.Millisecond

// forwardStream passes the stream on until the answer is complete or cannot
// continue at this endpoint.
func (a *chatRun) forwardStream(ctx context.Context, at *attempt) attemptResult {
	emptyConnections := 0 // consecutive connections without a token
	for {
		before := a.offset
		err := a.copyChunks(at)
		at.stream.Close()
		emptyConnections++
		if a.offset > before {
			emptyConnections = 0
		}
		switch {
		case err == nil:
			return finished
		case errors.Is(err, errTokenLimit):
			return limitReached
		case ctx.Err() != nil, errors.Is(err, errCallerDisconnected):
			return callerGone
		case errors.Is(err, engine.ErrMalformed), errors.Is(err, errAnswerTooLong):
			a.emit(event.StreamMalformed, event.F("endpoint", at.placement.Endpoint), event.F("attempt", at.id))
			return streamMalformed
		}
		if emptyConnections > maxEmptyConnections || !wait(ctx, time.Duration(emptyConnections)*emptyConnectionDelay) || !a.resume(ctx, at) {
			return streamLost
		}
		a.Metrics.resumed.Inc()
		a.emit(event.StreamResumed, event.F("endpoint", at.placement.Endpoint), event.F("offset", a.offset))
	}
}

// errTokenLimit is the error of an answer that continues past its token limit,
// because the engine was given none or ignores it.
var errTokenLimit = errors.New("caller: answer exceeds the token limit")

// errAnswerTooLong is the error of an answer that is larger than a request may be, so that
// neither the chat could return with it nor another endpoint continue it.
var errAnswerTooLong = errors.New("caller: answer is too long")

// copyChunks passes chunks to the sink. It returns nil after a complete
// answer.
func (a *chatRun) copyChunks(at *attempt) error {
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
		if c.Finish == "" && c.Offset > a.chat.maxTokens {
			return errTokenLimit
		}
		if int64(a.text.Len()+len(c.Text)) > a.Limits.MaxBodyBytes {
			return errAnswerTooLong
		}
		if err := a.sink.chunk(at.id, c); err != nil {
			return err
		}
		a.Metrics.delivered.Add(float64(max(0, c.Offset-a.offset)))
		a.offset = c.Offset
		a.text.WriteString(c.Text)
		a.Metrics.addUsage(c.Usage)
	}
}

// resume reopens a broken stream on the same endpoint. Another endpoint is the
// second choice, because the tokens generated so far have been paid for.
func (a *chatRun) resume(ctx context.Context, at *attempt) bool {
	for _, pause := range resumeDelays {
		if !wait(ctx, pause) {
			return false
		}
		stream, err := a.Engines.Resume(ctx, at.placement.Address, a.request(at.id, nil))
		if err == nil {
			at.stream = stream
			return true
		}
		if errors.Is(err, engine.ErrNotFound) {
			return false
		}
		// The endpoint may recover in a moment, but until then its owner must
		// not place other requests there: they would be lost with it and
		// become suspects.
		a.Placer.Dead(at.placement.Endpoint, at.placement.Incarnation)
		if errors.Is(err, engine.ErrTimeout) {
			return false // frozen: another try would take as long to fail
		}
	}
	return false
}

// wait waits for d and reports whether ctx is still active. It creates no
// timer if d is not positive: with the race detector, a timer that is due at
// once in a synctest bubble can crash the process.
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
