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
	place        Place
	request      PlaceRequest
	retryable    bool // another attempt may follow
	began        time.Time
	overdueAfter time.Duration // time since began after which the response is overdue; zero for never
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer // nil if overdueAfter is zero

	mu            sync.Mutex
	firstByteSeen bool // a byte of the response has arrived
	ended         bool // the attempt has ended
	next          *Place
}

// watchFirstByte starts the watch over an attempt. It returns the context of the
// attempt and a function that ends the watch.
func (x *exchange) watchFirstByte(ctx context.Context, p Place) (context.Context, func()) {
	s := &responseWatch{exchange: x, place: p, began: time.Now(), request: x.placeRequest()}
	s.request.Exclude = append(slices.Clip(x.exclude), p.Endpoint)
	s.request.NoWait = true
	s.retryable = x.policy().mayRetry(silent, x.sends+1, len(x.exclude)+1)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	x.watch = s
	s.overdueAfter = overdueDelay(p.FirstByteLimit, x.route.FirstTarget)
	if s.overdueAfter > 0 {
		s.timer = time.AfterFunc(s.overdueAfter, s.run)
	}
	return s.ctx, s.stop
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

// stop ends the watch. A place that was reserved for another attempt is kept only if
// this attempt ended because its response was overdue.
func (s *responseWatch) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.next != nil && s.exchange.nextPlace == nil {
		s.next.Release()
	}
}

// recordFirstByte records that the response has begun.
func (s *responseWatch) recordFirstByte(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByteSeen {
		return
	}
	s.firstByteSeen = true
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.place.Observer != nil {
		s.place.Observer.RecordFirstByte(now.Sub(s.began))
	}
}

// result returns silent if the attempt was cancelled as overdue, and otherwise the
// given result.
func (s *responseWatch) result(otherwise attemptResult) attemptResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil || !errors.Is(context.Cause(s.ctx), errOverdue) {
		return otherwise
	}
	s.exchange.nextPlace = s.next
	return silent
}

// run logs that the response is overdue and moves the request when that is due.
func (s *responseWatch) run() {
	if !s.waiting() {
		return
	}
	s.exchange.server.Log.Emit(event.RelayOverdue, s.fields()...)
	for pause := s.overdueAfter / overdueDivisor; s.waiting(); pause *= 2 {
		failing := s.place.Observer != nil && s.place.Observer.Overdue(s.ctx)
		if !s.retryable || s.ctx.Err() != nil {
			return
		}
		if (failing || s.silentTooLong()) && s.move() {
			return
		}
		s.sleep(pause)
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
func (s *responseWatch) silentTooLong() bool {
	if s.place.FirstByteLimit == 0 {
		return false
	}
	enough := max(s.place.FirstByteLimit, s.exchange.route.FirstTarget/targetDivisor)
	if s.request.PrefixCached {
		enough = max(enough, cachedLimitFactor*s.place.FirstByteLimit)
	}
	return time.Since(s.began) >= enough
}

// move gets a place at another endpoint that has room now, and cancels the attempt
// in favour of it.
func (s *responseWatch) move() bool {
	next, refusal := s.exchange.server.Placer.Place(s.ctx, s.request)
	if refusal != nil {
		return false // the first attempt may still get a response
	}
	if !s.switchTo(next) {
		next.Release()
		return false
	}
	deathCheck{server: s.exchange.server, place: s.place}.run()
	return true
}

func (s *responseWatch) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// waiting reports whether the attempt is still waiting for its first byte.
func (s *responseWatch) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstByteSeen && !s.ended
}

// switchTo cancels the attempt in favour of one at next, unless the response has
// begun, the attempt has ended or the retry budget is spent.
func (s *responseWatch) switchTo(next Place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByteSeen || s.ended || !s.exchange.server.Retries.Take(s.request.Pool) {
		return false
	}
	s.next = &next
	s.cancel(errOverdue)
	return true
}

func (s *responseWatch) fields() []event.Field {
	return []event.Field{
		event.F("request", s.exchange.metadata.Attempt),
		event.F("endpoint", s.place.Endpoint),
		event.F("patience-ms", s.place.FirstByteLimit.Milliseconds()),
		event.F("due-ms", s.overdueAfter.Milliseconds()),
		event.F("again", s.retryable),
	}
}

// observe records what an attempt showed of its endpoint. A disconnected caller or
// an expired deadline shows nothing: an endpoint that kept the request waiting was
// reported when its response became overdue.
func (x *exchange) observe(ctx context.Context, p Place, end attemptResult) {
	if p.Observer == nil {
		return
	}
	switch {
	case end == unsent || end == silent:
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
