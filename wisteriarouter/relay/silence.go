package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"wisteriaspool/wisteriarouter/event"
)

// errOverdue is the cause of cancelling an attempt whose response is overdue.
var errOverdue = errors.New("relay: the response of the endpoint is overdue")

// responseWatch waits for the first byte of an attempt's response. Endpoints have
// accepted requests and never answered them while their health checks passed: the
// caller waited until its deadline, up to 15 s, and got nothing. A request that may
// be retried moves to another endpoint once healthy endpoints would have answered,
// if another endpoint has room at once and the retry budget allows it. Until both
// are certain the first attempt stays open, and its response is used if it arrives.
//
// With a third of the engines not answering for 12 s, and a third of the plain
// service failing 7 of 10 requests before that, 8.3 of 100 requests failed without
// responseWatch and without the ejection of endpoints, and 3.2 with both; 2 of these
// are lost with their routers (mean of five runs each).
type responseWatch struct {
	exchange     *exchange
	placement    Placement
	request      PlacementRequest
	retryable    bool // another attempt may follow
	began        time.Time
	overdueAfter time.Duration // time since began after which the response is overdue; zero for never
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer // nil if overdueAfter is zero

	mu            sync.Mutex
	firstByteSeen bool // a byte of the response has arrived
	ended         bool // the attempt has ended
	next          *Placement
}

// watchFirstByte starts the watch over an attempt. It returns the context of the
// attempt and a function that ends the watch.
func (x *exchange) watchFirstByte(ctx context.Context, p Placement) (context.Context, func()) {
	w := &responseWatch{exchange: x, placement: p, began: time.Now(), request: x.placementRequest()}
	w.request.Exclude = append(slices.Clip(x.exclude), p.Endpoint)
	w.request.NoWait = true
	// An endpoint that answers nothing to a suspect may be about to crash.
	w.retryable = x.policy().mayRetry(silent, x.sends+1, len(x.exclude)+1) && !x.isSuspect()
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	x.watch = w
	w.overdueAfter = overdueDelay(p.FirstByteLimit, x.route.FirstTarget)
	if w.overdueAfter > 0 {
		w.timer = time.AfterFunc(w.overdueAfter, w.run)
	}
	return w.ctx, w.stop
}

// overdueDelay returns the time after which a response is overdue: firstByteLimit,
// which follows from recent requests to the pool, or half of the route's target if
// that is shorter. The other half leaves time for another attempt: a request that
// moves only at its target is late however soon the next endpoint answers. Zero
// means never.
func overdueDelay(firstByteLimit, target time.Duration) time.Duration {
	due := target / targetDivisor
	if firstByteLimit == 0 || due == 0 {
		return max(firstByteLimit, due)
	}
	return min(firstByteLimit, due)
}

// stop ends the watch. A placement reserved for another attempt is kept only if
// this attempt ended because its response was overdue.
func (w *responseWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.next != nil && w.exchange.nextPlacement == nil {
		w.next.Release()
	}
}

// recordFirstByte records that the response has begun. It returns false if the request has
// moved to another endpoint, which writes the response from its beginning.
func (w *responseWatch) recordFirstByte(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstByteSeen {
		return true
	}
	if w.next != nil {
		return false
	}
	w.firstByteSeen = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.placement.Observer != nil {
		w.placement.Observer.RecordFirstByte(now.Sub(w.began))
	}
	return true
}

// result returns silent if the attempt was cancelled as overdue, and otherwise the
// given result.
func (w *responseWatch) result(otherwise attemptResult) attemptResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil || !errors.Is(context.Cause(w.ctx), errOverdue) {
		return otherwise
	}
	w.exchange.nextPlacement = w.next
	return silent
}

// run logs that the response is overdue and moves the request when that is due.
func (w *responseWatch) run() {
	if !w.waiting() {
		return
	}
	w.exchange.server.Log.Emit(event.RelayOverdue, w.fields()...)
	for pause := w.overdueAfter / overdueDivisor; w.waiting(); pause *= 2 {
		failing := w.placement.Observer != nil && !w.exchange.server.Sender.Doubtful(w.placement.Address) && w.placement.Observer.Overdue(w.ctx)
		if !w.retryable || w.ctx.Err() != nil {
			return
		}
		if (failing || w.silentTooLong()) && w.move() {
			return
		}
		w.sleep(pause)
	}
}

// Moving a request from an engine that may still be processing its prompt costs
// that work again, and while many long prompts are processed all of them are
// overdue. Such a request moves when the owner reports that the endpoint fails, or
// when the wait has lasted twice the time that responses take. The owner is asked
// when the response becomes overdue, again after a quarter of that delay, and then
// at doubling intervals. Moving at once raised the shared tokens that were computed
// again in a day from 100,000 to 600,000 in one of three runs. A plain service has
// no such work, and its requests move as soon as healthy endpoints would have
// answered.
const (
	overdueDivisor    = 4
	cachedLimitFactor = 2
	targetDivisor     = 2
)

// silentTooLong reports whether the wait alone justifies moving the request.
func (w *responseWatch) silentTooLong() bool {
	if w.placement.FirstByteLimit == 0 {
		return false
	}
	enough := max(w.placement.FirstByteLimit, w.exchange.route.FirstTarget/targetDivisor)
	if w.request.PrefixCached {
		enough = max(enough, cachedLimitFactor*w.placement.FirstByteLimit)
	}
	return time.Since(w.began) >= enough
}

// move gets a placement at another endpoint that has room now, and cancels the attempt
// in favour of it.
func (w *responseWatch) move() bool {
	next, refusal := w.exchange.server.Placer.Place(w.ctx, w.request)
	if refusal != nil {
		return false // the first attempt may still get a response
	}
	if !w.switchTo(next) {
		next.Release()
		return false
	}
	deathCheck{server: w.exchange.server, placement: w.placement}.run()
	return true
}

func (w *responseWatch) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.ctx.Done():
	}
}

// waiting reports whether the attempt is still waiting for its first byte.
func (w *responseWatch) waiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.firstByteSeen && !w.ended
}

// switchTo cancels the attempt in favour of one at next, unless the response has
// begun, the attempt has ended or the retry budget is spent.
func (w *responseWatch) switchTo(next Placement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstByteSeen || w.ended || !w.exchange.server.Retries.Take(w.request.Pool) {
		return false
	}
	w.next = &next
	w.cancel(errOverdue)
	return true
}

func (w *responseWatch) fields() []event.Field {
	return []event.Field{
		event.F("request", w.exchange.metadata.Attempt),
		event.F("endpoint", w.placement.Endpoint),
		event.F("patience-ms", w.placement.FirstByteLimit.Milliseconds()),
		event.F("due-ms", w.overdueAfter.Milliseconds()),
		event.F("again", w.retryable),
	}
}

// observe records what an attempt showed of its endpoint. A disconnected caller or
// an expired deadline shows nothing: an endpoint that kept the request waiting was
// reported when its response became overdue. A cold endpoint that breaks off has
// crashed under load, which says nothing about it once it is warm, and neither does a
// connection that broke off where this router is cut off.
func (x *exchange) observe(ctx context.Context, p Placement, end attemptResult) {
	if p.Observer == nil {
		return
	}
	if end == declined && x.status != http.StatusMisdirectedRequest {
		p.Observer.RecordRejection()
	}
	switch {
	case end == unsent || end == withheld || end == silent || end == broken && p.Cold:
	case (end == broken || end == cut) && x.server.Sender.Doubtful(p.Address):
	case end == delivered && !isEndpointFailure(x.status):
		p.Observer.RecordSuccess()
	case ctx.Err() == nil && x.status != http.StatusGatewayTimeout:
		p.Observer.RecordFailure()
	}
}

// isEndpointFailure reports whether a status means that the endpoint failed. A
// timeout counts as well; observe exempts 504, where the request came with too
// little time.
func isEndpointFailure(status int) bool { return status >= http.StatusInternalServerError }
