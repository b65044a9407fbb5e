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
// own endpoint. A cut connection comes back at once; a process that died does
// not come back within them, and the answer goes on elsewhere.
var resumeDelays = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}

// maxEmptyConnections is how many connections running may bring no token before the
// attempt is taken for lost. An engine that takes each resume and sends nothing
// would otherwise be asked for ever, and its caller wait as long.
const maxEmptyConnections = 8

// emptyConnectionDelay is the wait before a resume for each connection running that
// brought no token.
const emptyConnectionDelay = 50 * time.Millisecond

// relayStream passes the stream on until the answer is whole or cannot go on here.
func (a *chatRun) relayStream(ctx context.Context, at *attempt) attemptResult {
	emptyConnections := 0 // connections running that brought no token
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
		case errors.Is(err, engine.ErrMalformed):
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

// errTokenLimit is the error of an answer that goes on behind its limit, because the
// engine was given none or ignores it.
var errTokenLimit = errors.New("caller: answer is longer than allowed")

// copyChunks passes chunks to the sink. It returns nil behind a whole answer.
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
		if err := a.sink.chunk(at.id, c); err != nil {
			return err
		}
		a.Metrics.delivered.Add(float64(max(0, c.Offset-a.offset)))
		a.offset = c.Offset
		a.text.WriteString(c.Text)
		a.Metrics.addUsage(c.Usage)
	}
}

// resume opens the rest of a broken stream on the same endpoint. What was
// generated is paid for, so that another endpoint is the second choice.
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
		if errors.Is(err, engine.ErrGone) {
			return false
		}
		// The endpoint may be back in a moment, but until then its owner must
		// not send others there: they would be lost with it, and suspected.
		a.Placer.Dead(at.placement.Endpoint, at.placement.Incarnation)
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
