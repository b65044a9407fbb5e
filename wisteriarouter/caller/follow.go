package caller

import (
	"context"
	"errors"
	"io"
	"time"

	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

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
			a.emit(event.StreamMalformed, event.F("endpoint", at.place.Endpoint), event.F("attempt", at.id))
			return malformed
		}
		if barren > maxBarren || !wait(ctx, time.Duration(barren)*barrenPause) || !a.resume(ctx, at) {
			return lost
		}
		a.Metrics.resumed.Inc()
		a.emit(event.StreamResumed, event.F("endpoint", at.place.Endpoint), event.F("offset", a.offset))
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
		if errors.Is(err, engine.ErrNotFound) {
			return false
		}
		// The endpoint may be back in a moment, but until then its owner must
		// not send others there: they would be lost with it, and suspected.
		a.Placer.Dead(at.place.Endpoint, at.place.Incarnation)
		if errors.Is(err, engine.ErrTimeout) {
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
