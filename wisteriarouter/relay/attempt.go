package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/http1"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// attempt sends the request to one endpoint and forwards its response.
func (x *exchange) attempt(ctx context.Context, p Placement) attemptResult {
	id := coordination.Attempt(strconv.Itoa(x.evidence.Attempts()))
	x.status, x.undelimited, x.ending, x.reply, x.stream.partial, x.stream.answering = 0, false, 0, platform.Response{}, 0, false
	x.sentAt, x.repliedAt, x.gaps, x.pace = time.Time{}, time.Time{}, eventGaps{}, 0
	x.evidence.Begin(id)
	ctx, stop := x.watchFirstByte(ctx, p)
	defer stop()
	resp, err := x.server.Sender.Send(ctx, p.Address, x.request(p))
	if err != nil {
		return x.unanswered(id, p, err)
	}
	repliedAt := time.Now()
	x.sends++
	x.status, x.undelimited = resp.Status, resp.Undelimited
	x.evidence.Written(id)
	defer resp.Body.Close()
	if !isStream(resp) {
		x.watch.recordFirstByte(time.Now())
	}
	reply := platform.DecodeResponse(resp.Status, resp.Header)
	x.reply, x.repliedAt = reply, repliedAt
	end := classify(resp.Status, reply)
	switch end {
	case declined:
		x.evidence.Declined(id)
		resp.Body.Discard()
		return declined
	case failed:
		if x.mayRetry(failed) && x.keepFailure(resp) {
			return failed
		}
	case broken:
		return broken
	}
	if !x.mayRetry(cut) {
		x.body.drop()
	}
	return x.forward(resp)
}

// failure is a failure response of an endpoint, kept until another attempt gets a
// response.
type failure struct {
	resp *upstream.Response
	body buffer
}

const (
	maxFailureBody = 16 << 10 // bytes
	// maxFailureWait is how long the body of a failure delays the next attempt.
	maxFailureWait = 100 * time.Millisecond
)

// keepFailure reads a failure response, to be forwarded if no other attempt
// succeeds. It returns false for one that is too long to buffer, which is
// forwarded as it arrives. One whose body stalls is dropped.
func (x *exchange) keepFailure(resp *upstream.Response) bool {
	if resp.Length < 0 || resp.Length > maxFailureBody {
		return false
	}
	body := buffer{hold: x.hold}
	if !body.reserve(resp.Length) {
		return false
	}
	resp.Body.LimitTime(maxFailureWait)
	if body.readAll(resp) != nil {
		return true // there is nothing to forward
	}
	x.failure = &failure{resp: resp, body: body}
	return true
}

// mayRetry reports whether another attempt would follow an attempt with this
// result. A failure response is forwarded if it is the last one.
func (x *exchange) mayRetry(end attemptResult) bool {
	return x.policy().mayRetry(end, x.sends, len(x.exclude))
}

func (x *exchange) policy() retryPolicy {
	return retryPolicy{idempotent: x.route.Idempotent() && !x.stream.unrepeatable && !x.stream.unnamed, attempts: x.route.Attempts}
}

// unanswered handles an attempt that got no response, and returns its result.
func (x *exchange) unanswered(id coordination.Attempt, p Placement, err error) attemptResult {
	if upstream.Withheld(err) {
		x.evidence.NothingSent(id)
		return withheld
	}
	if !upstream.MayHaveSent(err) {
		x.evidence.NothingSent(id)
		x.server.reportUnreachable(p, err)
		x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", err.Error()))
		return unsent
	}
	x.sends++
	x.evidence.Written(id)
	x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", err.Error()))
	return x.watch.result(broken)
}

// classify returns the result of an attempt from the status and headers of the
// response. A status alone does not prove that the request has not run: the
// endpoint must say so in its headers. A success counts only with the endpoint's
// signature.
func classify(status int, reply platform.Response) attemptResult {
	switch {
	case reply.NotExecuted:
		return declined
	case status < http.StatusBadRequest && !reply.Signed:
		return broken
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		return broken
	case status >= http.StatusInternalServerError:
		return failed
	default:
		return delivered
	}
}

// request returns the request for the endpoint of p.
func (x *exchange) request(p Placement) *upstream.Request {
	h := withoutHopByHop(x.r.Header)
	f := platform.Forward{
		Endpoint:           p.Endpoint,
		Deadline:           x.remaining(),
		Account:            x.account,
		StripAuthorization: x.table.KeysInUse,
		LastEvent:          x.stream.lastEventID,
	}
	f.Fetch = p.CacheSource
	if x.route.Sticky {
		f.HasPriorityRank, f.PriorityRank = true, platform.PriorityRank(x.priority)
	}
	f.Apply(h)
	return &upstream.Request{
		Method:     x.r.Method,
		Target:     x.r.RequestURI,
		Host:       x.r.Host,
		Header:     h,
		Body:       x.body.beginSend(),
		Sent:       x.body.endSend,
		AtMostOnce: !x.route.Idempotent(),
		Group:      string(x.pool),
		Proceed: func(via coordination.Instance) bool {
			x.sentAt = time.Now()
			return x.convicted() == nil && x.server.Placer.MaySend(p.Endpoint, p.Incarnation, via)
		},
		Heard: func(via coordination.Instance, status int, h http.Header) {
			x.heard(p, via, platform.DecodeResponse(status, h))
		},
		Leaving: func() bool { return !x.server.Placer.Serving(p.Endpoint, p.Incarnation) },
		Matches: x.matches,
	}
}

// heard records what a response says of its endpoint.
func (x *exchange) heard(p Placement, via coordination.Instance, reply platform.Response) {
	if reply.Leaving {
		x.server.Placer.Leaving(p.Endpoint, p.Incarnation)
	}
	if reply.Pause > 0 {
		x.server.Placer.Pause(p.Endpoint, p.Incarnation, via, reply.Pause)
	}
	if reply.RejectionLimit > 0 {
		x.server.Placer.LimitRejections(x.pool, reply.RejectionLimit)
	}
}

// matches reports whether a response belongs to this request. One without the request id
// may be left of an earlier response, unless it is the first on its connection. A refusal
// counts nevertheless if the request may run again, whatever it proves.
func (x *exchange) matches(h upstream.ResponseHead) bool {
	reply := platform.DecodeResponse(h.Status, h.Header)
	if reply.Attempt != "" || h.Status < http.StatusBadRequest || x.metadata.Attempt == "" {
		return reply.Attempt == x.metadata.Attempt
	}
	return h.First || reply.NotExecuted && x.route.Idempotent()
}

// defaultDeadline is the deadline passed to an endpoint if neither the caller nor
// the operator sets a limit.
const defaultDeadline = time.Minute

func (x *exchange) remaining() time.Duration {
	if x.deadline.IsZero() {
		return defaultDeadline
	}
	return time.Until(x.deadline)
}

// maxBufferedBody is the size in bytes up to which a response is read completely
// before it is forwarded, so that a truncated one can be requested again.
const maxBufferedBody = 256 << 10

// forward forwards a response to the caller.
func (x *exchange) forward(resp *upstream.Response) attemptResult {
	if isStream(resp) {
		return x.forwardStream(resp)
	}
	if x.stream.headSent {
		return cut // the caller has received part of a stream, and this response is not one
	}
	body := buffer{hold: x.hold}
	if resp.Length > maxBufferedBody {
		return x.forwardLong(resp, &body)
	}
	switch err := body.readAll(resp); {
	case errors.Is(err, errTooLong), errors.Is(err, errNoMemory):
		return x.forwardLong(resp, &body)
	case err != nil:
		return x.watch.result(broken)
	case x.endedByDeath(resp):
		return broken
	}
	x.write(resp, &body)
	return delivered
}

// isStream reports whether a response is a stream of server-sent events.
func isStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// write forwards a buffered response.
func (x *exchange) write(resp *upstream.Response, body *buffer) {
	x.copyHeader(resp)
	x.w.Header().Set("Content-Length", strconv.FormatInt(body.size, 10))
	x.w.WriteHeader(resp.Status)
	_ = body.writeTo(x.w) // the caller may have disconnected
}

// forwardLong forwards a response as it arrives, after the bytes already read.
func (x *exchange) forwardLong(resp *upstream.Response, read *buffer) attemptResult {
	x.copyHeader(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	x.stream.headSent, x.stream.unrepeatable = true, true
	if read.writeTo(x.w) != nil {
		return cut
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil || x.endedByDeath(resp) {
		return cut
	}
	return delivered
}

// endedByDeath reports whether an undelimited response has probably ended because the
// endpoint's process has: the kernel closes the connections of a process in order, so
// that the response looks complete. A router that is cut off from the endpoint does not see
// the refusal itself, but another one confirms it. An endpoint that shuts down refuses
// connections before its last responses end, which only what was seen meanwhile can tell.
func (x *exchange) endedByDeath(resp *upstream.Response) bool {
	if !resp.Undelimited {
		return false
	}
	x.ending = http1.Accepting
	// The kernel may close the connections of a process before its listener.
	if x.processGone() || coordination.Sleep(x.watch.ctx, http1.ExitTime) && x.processGone() {
		x.ending = resp.Body.Ending(x.watch.ctx)
	}
	x.server.Metrics.undelimited(x)
	return !x.ending.Complete()
}

// processGone reports whether the endpoint's process has probably ended: connections are
// refused, also if no other router confirms that this one is not cut off. Nothing else shows
// that the response is complete.
func (x *exchange) processGone() bool {
	err := x.server.Sender.Check(x.watch.ctx, x.watch.placement.Address)
	return upstream.Unreachable(err) || upstream.Refused(err)
}

// copyHeader copies the headers of a response to the caller's.
func (x *exchange) copyHeader(resp *upstream.Response) {
	h := x.w.Header()
	maps.Copy(h, withoutHopByHop(resp.Header))
	h.Del("Content-Length")
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // prevents content sniffing by net/http
	}
	if x.server.Stopping != nil && x.server.Stopping() {
		h.Set("Connection", "close")
	}
}

// logPlacement logs the endpoint of an attempt and what determined the choice.
func (x *exchange) logPlacement(p Placement, took time.Duration) {
	x.server.Metrics.sent(x, p)
	x.emit(event.RelayPlaced,
		event.F("attempt", x.evidence.Attempts()+1),
		event.F("endpoint", p.Endpoint),
		event.F("address", p.Address),
		event.F("software-version", p.Version),
		event.F("resumes", x.metadata.Resumes),
		event.F("after-event", x.resumesAfter()),
		event.F("key", x.routingKey()),
		event.F("rank", p.Rank),
		event.F("cold", p.Cold),
		event.F("fetch", p.CacheSource),
		event.F("account", x.account),
		event.F("place-ms", took.Milliseconds()),
		event.F("left-ms", x.remaining().Milliseconds()),
	)
}

// missedTarget returns which of the route's targets the response missed: "first"
// for the time to first byte, "pause" for the longest pause between events, or ""
// for none.
func (x *exchange) missedTarget() string {
	first := time.Now()
	if !x.stream.firstEventAt.IsZero() {
		first = x.stream.firstEventAt
	}
	switch {
	case x.route.FirstTarget > 0 && first.Sub(x.arrived) > x.route.FirstTarget:
		return "first"
	case x.route.GapTarget > 0 && x.stream.longestPause > x.route.GapTarget:
		return "pause"
	default:
		return ""
	}
}

// sharedTokens returns how many tokens of the prompt are shared with other
// requests.
func (x *exchange) sharedTokens() (tokens int) {
	for _, p := range x.metadata.Parts[:max(len(x.metadata.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// logAttempt logs the result of an attempt.
func (x *exchange) logAttempt(p Placement, end attemptResult) {
	x.emit(event.RelayAttempt, append(x.paceFields(),
		event.F("attempt", x.evidence.Attempts()),
		event.F("endpoint", p.Endpoint),
		event.F("software-version", p.Version),
		event.F("ended", end.String()),
		event.F("status", x.status),
		event.F("ms", time.Since(x.arrived).Milliseconds()),
		event.F("first-ms", x.stream.firstMs(x.arrived)),
		event.F("pause-ms", x.stream.longestPause.Milliseconds()),
		event.F("last-event", x.stream.lastEventID),
		event.F("undelimited", x.undelimited),
		event.F("ending", x.ending.String()),
		event.F("partial-bytes", x.stream.partial),
		event.F("leaving", x.reply.Leaving),
		event.F("rejection-limit", x.reply.RejectionLimit),
		event.F("asked-pause-ms", x.reply.Pause.Milliseconds()),
		event.F("late", x.missedTarget()),
		event.F("endpoint-liveness", x.liveness.String()),
	)...)
}
