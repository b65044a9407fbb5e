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

// silence watches for the first byte of an attempt's answer. Endpoints have been
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
type silence struct {
	exchange *exchange
	place    Place
	want     Want
	again    bool // the request may have another attempt
	began    time.Time
	due      time.Duration // behind began, when the answer is overdue
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer // nil if it is not known how long answers take

	mu    sync.Mutex
	heard bool // a byte has come
	ended bool // the attempt has ended
	next  *Place
}

// listen begins to watch over an attempt. The returned function ends it.
func (x *exchange) listen(ctx context.Context, p Place) (context.Context, func()) {
	s := &silence{exchange: x, place: p, began: time.Now(), want: x.want()}
	s.want.Exclude = append(slices.Clip(x.exclude), p.Endpoint)
	s.want.Now = true
	s.again = x.policy().again(silent, x.sends+1, len(x.exclude)+1)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	x.silence = s
	s.due = dueOf(p.Patience, x.route.FirstByteTarget)
	if s.due > 0 {
		s.timer = time.AfterFunc(s.due, s.run)
	}
	return s.ctx, s.stop
}

// dueOf returns when an answer is overdue: later than others of the pool have
// begun of late, or when half of the time has passed in which the operator wants
// it to begin. What is left then suffices for another attempt: moved at the end of
// that time, a request is late however soon the next endpoint answers. Zero is
// never.
func dueOf(patience, target time.Duration) time.Duration {
	due := target / targetShare
	if patience == 0 || due == 0 {
		return max(patience, due)
	}
	return min(patience, due)
}

// stop ends the watch. A place for another attempt is kept only if this one
// ended by its silence.
func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.next != nil && s.exchange.spare == nil {
		s.next.Release()
	}
}

// answered takes in that the answer has begun.
func (s *silence) answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard {
		return
	}
	s.heard = true
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.place.Observer != nil {
		s.place.Observer.Answered(now.Sub(s.began))
	}
}

// ending returns how the attempt has ended: by silence, or else as given.
func (s *silence) ending(otherwise ending) ending {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil || !errors.Is(context.Cause(s.ctx), errSilent) {
		return otherwise
	}
	s.exchange.spare = s.next
	return silent
}

// run does what there is to do once the endpoint has been silent for too long.
func (s *silence) run() {
	if !s.waits() {
		return
	}
	s.exchange.server.Log.Emit(event.RelayOverdue, s.fields()...)
	for pause := s.due / looks; s.waits(); pause *= 2 {
		out := s.place.Observer != nil && s.place.Observer.Overdue(s.ctx)
		if !s.again || s.ctx.Err() != nil {
			return
		}
		if (out || s.lasted()) && s.move() {
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
	looks        = 4
	engineFactor = 2
	targetShare  = 2
)

// lasted reports whether the silence itself is enough to move the request.
func (s *silence) lasted() bool {
	if s.place.Patience == 0 {
		return false
	}
	enough := max(s.place.Patience, s.exchange.route.FirstByteTarget/targetShare)
	if s.want.Cached {
		enough = max(enough, engineFactor*s.place.Patience)
	}
	return time.Since(s.began) >= enough
}

// move gets a place at another endpoint that has room now, and ends the attempt
// in favour of it.
func (s *silence) move() bool {
	next, refusal := s.exchange.server.Placer.Place(s.ctx, s.want)
	if refusal != nil {
		return false // the first attempt may still bring the answer
	}
	if !s.take(next) {
		next.Release()
		return false
	}
	confirmation{server: s.exchange.server, place: s.place}.run()
	return true
}

func (s *silence) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// waits reports whether the attempt still waits for its first byte.
func (s *silence) waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heard && !s.ended
}

// take ends the attempt in favour of one at another place, unless the answer
// has begun or the budget is spent.
func (s *silence) take(next Place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard || s.ended || !s.exchange.server.Retries.Take(s.want.Pool) {
		return false
	}
	s.next = &next
	s.cancel(errSilent)
	return true
}

func (s *silence) fields() []event.Field {
	return []event.Field{
		event.F("request", s.exchange.asked.Attempt),
		event.F("endpoint", s.place.Endpoint),
		event.F("patience-ms", s.place.Patience.Milliseconds()),
		event.F("due-ms", s.due.Milliseconds()),
		event.F("again", s.again),
	}
}

// observe tells what an attempt showed of its endpoint. Who has left, or whose
// time is up, shows nothing: an endpoint that kept it waiting was reported when
// the answer was overdue.
func (x *exchange) observe(ctx context.Context, p Place, end ending) {
	if p.Observer == nil {
		return
	}
	switch {
	case end == unsent || end == silent:
	case end == delivered && !failedOf(x.status):
		p.Observer.Served()
	case ctx.Err() == nil && x.status != http.StatusGatewayTimeout:
		p.Observer.Failed()
	}
}

// failedOf reports whether a status tells of a failure of the endpoint's own. A
// time-out is the request's: it came with too little time.
func failedOf(status int) bool { return status >= http.StatusInternalServerError }
