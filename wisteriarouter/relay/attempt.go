package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// attempt sends the request to one endpoint and hands on its answer.
func (x *exchange) attempt(ctx context.Context, p Place) attemptResult {
	id := coordination.Attempt(strconv.Itoa(x.evidence.Attempts()))
	x.status = 0
	x.evidence.Begin(id)
	ctx, stop := x.watchFirstByte(ctx, p)
	defer stop()
	resp, err := x.server.Sender.Send(ctx, p.Address, x.request(p))
	if err != nil {
		return x.unanswered(id, p, err)
	}
	x.sends++
	x.status = resp.Status
	x.evidence.Written(id)
	defer resp.Body.Close()
	if !isStream(resp) {
		x.watch.recordFirstByte(time.Now())
	}
	says := platform.DecodeAnswer(resp.Status, resp.Header)
	end := classify(resp.Status, says)
	switch end {
	case declined:
		x.evidence.Declined(id)
		drain(resp.Body)
		return declined
	case failed:
		if x.mayRetry(failed) && x.keepFailure(resp) {
			return failed
		}
	case broken:
		return broken
	}
	return x.forward(resp)
}

// failure is an endpoint's own failure, kept until another attempt has an
// answer.
type failure struct {
	resp *upstream.Response
	body []byte
}

// keepFailure reads an endpoint's failure, to be handed on if no other attempt comes
// about. A long one is handed on as it comes.
func (x *exchange) keepFailure(resp *upstream.Response) bool {
	if resp.Length < 0 || resp.Length > maxDrainBytes {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return true // there is nothing to hand on
	}
	x.failure = &failure{resp: resp, body: body}
	return true
}

// mayRetry reports whether another attempt would be made after such an end, so
// that an endpoint's own failure is handed on if it is the last word.
func (x *exchange) mayRetry(end attemptResult) bool {
	return x.policy().mayRetry(end, x.sends, len(x.exclude))
}

func (x *exchange) policy() retryPolicy {
	return retryPolicy{idempotent: x.route.Idempotent() && !x.stream.unrepeatable, attempts: x.route.Attempts}
}

// unanswered ends an attempt that got no answer.
func (x *exchange) unanswered(id coordination.Attempt, p Place, err error) attemptResult {
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

// classify tells what an answer is worth. A status that promises that the
// request has not run is taken only from an endpoint that says so in its own
// words; a success only if the endpoint vouches for it.
func classify(status int, says platform.Answer) attemptResult {
	switch {
	case says.NotRun:
		return declined
	case status < http.StatusBadRequest && !says.Signed:
		return broken
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		return broken
	case status >= http.StatusInternalServerError:
		return failed
	default:
		return delivered
	}
}

// request returns what is sent to an endpoint.
func (x *exchange) request(p Place) *upstream.Request {
	h := withoutHopByHop(x.r.Header)
	f := platform.Forward{
		Endpoint:  p.Endpoint,
		Deadline:  x.remaining(),
		Account:   x.account,
		Keyed:     x.account != "",
		LastEvent: x.stream.lastEventID,
	}
	f.Fetch = p.CacheSource
	if x.route.Sticky {
		f.Urgent, f.Urgency = true, platform.Urgency(x.priority)
	}
	f.Apply(h)
	return &upstream.Request{
		Method:     x.r.Method,
		Target:     x.r.RequestURI,
		Host:       x.r.Host,
		Header:     h,
		Body:       x.body,
		AtMostOnce: !x.route.Idempotent(),
		Group:      string(x.pool),
		Matches:    x.matches,
	}
}

// matches reports whether an answer is to this request. A refusal may come
// without the request's id, but not behind another answer.
func (x *exchange) matches(status int, h http.Header) bool {
	says := platform.DecodeAnswer(status, h)
	return says.Attempt == x.metadata.Attempt || says.Attempt == "" && status >= http.StatusBadRequest
}

// defaultDeadline is what an endpoint is given if neither the caller nor the
// operator sets a limit.
const defaultDeadline = time.Minute

func (x *exchange) remaining() time.Duration {
	if x.deadline.IsZero() {
		return defaultDeadline
	}
	return time.Until(x.deadline)
}

// maxDrainBytes is how much of an answer that is not handed on is read to save
// its connection.
const maxDrainBytes = 16 << 10

func drain(b *upstream.Body) {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDrainBytes)) // the connection is closed if this fails
}

// maxBufferedBody is the size up to which an answer is read in full before it is
// handed on. One that breaks off can then be asked for again.
const maxBufferedBody = 256 << 10

// forward hands an answer on to the caller.
func (x *exchange) forward(resp *upstream.Response) attemptResult {
	if isStream(resp) {
		return x.forwardStream(resp)
	}
	if x.stream.headSent {
		return cut // the caller is in the middle of a stream, and this is none
	}
	if resp.Length > maxBufferedBody {
		return x.forwardLong(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err != nil {
		return x.watch.result(broken)
	}
	if len(body) > maxBufferedBody {
		return x.forwardLong(&upstream.Response{
			Status: resp.Status, Header: resp.Header, Length: resp.Length, Body: resp.Body,
		}, body...)
	}
	x.write(resp, body)
	return delivered
}

// isStream reports whether an answer is a series of events.
func isStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// write writes an endpoint's whole answer.
func (x *exchange) write(resp *upstream.Response, body []byte) {
	x.copyHeader(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(body) // a caller that has gone needs no answer
}

// forwardLong hands on an answer as it comes, behind what was read already.
func (x *exchange) forwardLong(resp *upstream.Response, read ...byte) attemptResult {
	x.copyHeader(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	x.stream.headSent, x.stream.unrepeatable = true, true
	if _, err := x.w.Write(read); err != nil {
		return cut
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		return cut
	}
	return delivered
}

// copyHeader copies the copyHeader of an answer.
func (x *exchange) copyHeader(resp *upstream.Response) {
	h := x.w.Header()
	maps.Copy(h, withoutHopByHop(resp.Header))
	h.Del("Content-Length")
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // net/http would guess one
	}
	if x.server.Stopping != nil && x.server.Stopping() {
		h.Set("Connection", "close")
	}
}

// logPlacement logs where a request is sent and what decided it.
func (x *exchange) logPlacement(p Place, took time.Duration) {
	x.server.Metrics.sent(x, p)
	x.emit(event.RelayPlaced,
		event.F("attempt", x.evidence.Attempts()+1),
		event.F("endpoint", p.Endpoint),
		event.F("address", p.Address),
		event.F("key", x.routingKey()),
		event.F("rank", p.Rank),
		event.F("fetch", p.CacheSource),
		event.F("account", x.account),
		event.F("place-ms", took.Milliseconds()),
		event.F("left-ms", x.remaining().Milliseconds()),
	)
}

// missedTarget tells by which of the route's targets an answer came missedTarget: "first" for
// the time to its first byte, "pause" for a pause between its events, or "" for
// none.
func (x *exchange) missedTarget() string {
	first := time.Now()
	if !x.stream.firstEventAt.IsZero() {
		first = x.stream.firstEventAt
	}
	switch {
	case x.route.FirstByteTarget > 0 && first.Sub(x.arrived) > x.route.FirstByteTarget:
		return "first"
	case x.route.GapTarget > 0 && x.stream.longestPause > x.route.GapTarget:
		return "pause"
	default:
		return ""
	}
}

// sharedTokens returns how many tokens of the prompt other requests share.
func (x *exchange) sharedTokens() (tokens int) {
	for _, p := range x.metadata.Parts[:max(len(x.metadata.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// logAttempt logs how an attempt ended.
func (x *exchange) logAttempt(p Place, end attemptResult) {
	x.emit(event.RelayAttempt,
		event.F("attempt", x.evidence.Attempts()),
		event.F("endpoint", p.Endpoint),
		event.F("ended", end.String()),
		event.F("status", x.status),
		event.F("ms", time.Since(x.arrived).Milliseconds()),
		event.F("first-ms", x.stream.firstMs(x.arrived)),
		event.F("pause-ms", x.stream.longestPause.Milliseconds()),
		event.F("last-event", x.stream.lastEventID),
		event.F("late", x.missedTarget()),
	)
}
