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

// errSilent ends an attempt whose endpoint has been silent for too long.
var errSilent = errors.New("relay: the endpoint is silent")

// responseWatch watches for the first byte of an attempt's answer. Endpoints have been
// seen to take requests and never answer them, while their health checks are
// good: the caller waited until its deadline, up to 15 s, and got nothing. A
// request that may be repeated goes on elsewhere after a time in which good
// endpoints answer, provided that another endpoint has room at once and the
// budget of second attempts allows it. Until both are certain the first attempt
// stays open, and its answer is taken if it comes.
//
// On a day with a third of the engines mute for 12 s, and a third of the plain
// service failing 7 of 10 before, 8.3 of 100 requests failed without it and
// without the ejection of endpoints, and 3.2 with both; 2 of these are lost with
// their routers (mean of five plays each).
type responseWatch struct {
	exchange     *exchange
	place        Place
	request      PlaceRequest
	retryable    bool // the request may have another attempt
	began        time.Time
	overdueAfter time.Duration // behind began, when the answer is overdue
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer // nil if it is not known how long answers take

	mu            sync.Mutex
	firstByteSeen bool // a byte has come
	ended         bool // the attempt has ended
	next          *Place
}

// watchFirstByte begins to watch over an attempt. The returned function ends it.
func (x *exchange) watchFirstByte(ctx context.Context, p Place) (context.Context, func()) {
	s := &responseWatch{exchange: x, place: p, began: time.Now(), request: x.placeRequest()}
	s.request.Exclude = append(slices.Clip(x.exclude), p.Endpoint)
	s.request.NoWait = true
	s.retryable = x.policy().mayRetry(silent, x.sends+1, len(x.exclude)+1)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	x.watch = s
	s.overdueAfter = overdueDelay(p.FirstByteLimit, x.route.FirstByteTarget)
	if s.overdueAfter > 0 {
		s.timer = time.AfterFunc(s.overdueAfter, s.run)
	}
	return s.ctx, s.stop
}

// overdueDelay returns when an answer is overdue: later than others of the pool have
// begun of late, or when half of the time has passed in which the operator wants
// it to begin. What is left then suffices for another attempt: moved at the end of
// that time, a request is late however soon the next endpoint answers. Zero is
// never.
func overdueDelay(patience, target time.Duration) time.Duration {
	due := target / targetDivisor
	if patience == 0 || due == 0 {
		return max(patience, due)
	}
	return min(patience, due)
}

// stop ends the watch. A place for another attempt is kept only if this one
// ended by its silence.
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

// recordFirstByte takes in that the answer has begun.
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

// result returns how the attempt has ended: by silence, or else as given.
func (s *responseWatch) result(otherwise attemptResult) attemptResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil || !errors.Is(context.Cause(s.ctx), errSilent) {
		return otherwise
	}
	s.exchange.nextPlace = s.next
	return silent
}

// run does what there is to do once the endpoint has been silent for too long.
func (s *responseWatch) run() {
	if !s.waiting() {
		return
	}
	s.exchange.server.Log.Emit(event.RelayOverdue, s.fields()...)
	for pause := s.overdueAfter / overdueDivisor; s.waiting(); pause *= 2 {
		out := s.place.Observer != nil && s.place.Observer.Overdue(s.ctx)
		if !s.retryable || s.ctx.Err() != nil {
			return
		}
		if (out || s.silentTooLong()) && s.move() {
			return
		}
		s.sleep(pause)
	}
}

// An attempt that an engine may still be reading the prompt for costs that work
// again if it is moved, and while many long prompts are read all of them are
// overdue. It is moved when the endpoint is found to fail, for which the owner is
// asked, at first after a quarter of the time that answers take and then more and
// more seldom, or when the silence has lasted for twice that time. Moved at once,
// a day's shared parts that are read again went from 100,000 tokens to 600,000 in
// one play of three. A plain service has no such work, and its requests are moved
// as soon as good endpoints would have answered.
const (
	overdueDivisor    = 4
	cachedLimitFactor = 2
	targetDivisor     = 2
)

// silentTooLong reports whether the silence itself is enough to move the request.
func (s *responseWatch) silentTooLong() bool {
	if s.place.FirstByteLimit == 0 {
		return false
	}
	enough := max(s.place.FirstByteLimit, s.exchange.route.FirstByteTarget/targetDivisor)
	if s.request.PrefixCached {
		enough = max(enough, cachedLimitFactor*s.place.FirstByteLimit)
	}
	return time.Since(s.began) >= enough
}

// move gets a place at another endpoint that has room now, and ends the attempt
// in favour of it.
func (s *responseWatch) move() bool {
	next, refusal := s.exchange.server.Placer.Place(s.ctx, s.request)
	if refusal != nil {
		return false // the first attempt may still bring the answer
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

// waiting reports whether the attempt still waiting for its first byte.
func (s *responseWatch) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstByteSeen && !s.ended
}

// switchTo ends the attempt in favour of one at another place, unless the answer
// has begun or the budget is spent.
func (s *responseWatch) switchTo(next Place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByteSeen || s.ended || !s.exchange.server.Retries.Take(s.request.Pool) {
		return false
	}
	s.next = &next
	s.cancel(errSilent)
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

// observe tells what an attempt showed of its endpoint. Who has left, or whose
// time is up, shows nothing: an endpoint that kept it waiting was reported when
// the answer was overdue.
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

// isEndpointFailure reports whether a status tells of a failure of the endpoint's own. A
// time-out is the request's: it came with too little time.
func isEndpointFailure(status int) bool { return status >= http.StatusInternalServerError }
