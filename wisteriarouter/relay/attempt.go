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
func (x *exchange) attempt(ctx context.Context, p Place) ending {
	id := coordination.Attempt(strconv.Itoa(x.evidence.Attempts()))
	x.status = 0
	x.evidence.Begin(id)
	ctx, stop := x.listen(ctx, p)
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
		x.silence.answered(time.Now())
	}
	says := platform.DecodeAnswer(resp.Status, resp.Header)
	end := classify(resp.Status, says)
	switch end {
	case declined:
		x.evidence.Declined(id)
		drain(resp.Body)
		return declined
	case failed:
		if x.mayRetry(failed) && x.keep(resp) {
			return failed
		}
	case broken:
		return broken
	}
	return x.hand(resp)
}

// failure is an endpoint's own failure, kept until another attempt has an
// answer.
type failure struct {
	resp *upstream.Response
	body []byte
}

// keep reads an endpoint's failure, to be handed on if no other attempt comes
// about. A long one is handed on as it comes.
func (x *exchange) keep(resp *upstream.Response) bool {
	if resp.Length < 0 || resp.Length > longestDrain {
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
func (x *exchange) mayRetry(end ending) bool {
	return x.policy().again(end, x.sends, len(x.exclude))
}

func (x *exchange) policy() policy {
	return policy{idempotent: x.route.Idempotent() && !x.stream.unrepeatable, attempts: x.route.Attempts}
}

// unanswered ends an attempt that got no answer.
func (x *exchange) unanswered(id coordination.Attempt, p Place, err error) ending {
	if !upstream.Sent(err) {
		x.evidence.NothingSent(id)
		x.server.unreachable(p, err)
		x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", err.Error()))
		return unsent
	}
	x.sends++
	x.evidence.Written(id)
	x.emit(event.RelayAttemptLost, event.F("endpoint", p.Endpoint), event.F("error", err.Error()))
	return x.silence.ending(broken)
}

// classify tells what an answer is worth. A status that promises that the
// request has not run is taken only from an endpoint that says so in its own
// words; a success only if the endpoint vouches for it.
func classify(status int, says platform.Answer) ending {
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
	h := withoutHops(x.r.Header)
	f := platform.Forward{
		Endpoint:  p.Endpoint,
		Deadline:  x.left(),
		Account:   x.account,
		Keyed:     x.account != "",
		LastEvent: x.stream.last,
	}
	f.Fetch = p.Cache
	if x.route.Sticky {
		f.Urgent, f.Urgency = true, platform.Urgency(x.rank)
	}
	f.Apply(h)
	return &upstream.Request{
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: h,
		Body:   x.body,
		Once:   !x.route.Idempotent(),
		Group:  string(x.pool),
		Mine:   x.mine,
	}
}

// mine reports whether an answer is to this request. A refusal may come
// without the request's id, but not behind another answer.
func (x *exchange) mine(status int, h http.Header) bool {
	says := platform.DecodeAnswer(status, h)
	return says.Attempt == x.asked.Attempt || says.Attempt == "" && status >= http.StatusBadRequest
}

// defaultDeadline is what an endpoint is given if neither the caller nor the
// operator sets a limit.
const defaultDeadline = time.Minute

func (x *exchange) left() time.Duration {
	if x.until.IsZero() {
		return defaultDeadline
	}
	return time.Until(x.until)
}

// longestDrain is how much of an answer that is not handed on is read to save
// its connection.
const longestDrain = 16 << 10

func drain(b *upstream.Body) {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, longestDrain)) // the connection is closed if this fails
}

// longestWhole is the size up to which an answer is read in full before it is
// handed on. One that breaks off can then be asked for again.
const longestWhole = 256 << 10

// hand hands an answer on to the caller.
func (x *exchange) hand(resp *upstream.Response) ending {
	if isStream(resp) {
		return x.handStream(resp)
	}
	if x.stream.begun {
		return cut // the caller is in the middle of a stream, and this is none
	}
	if resp.Length > longestWhole {
		return x.handLong(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, longestWhole+1))
	if err != nil {
		return x.silence.ending(broken)
	}
	if len(body) > longestWhole {
		return x.handLong(&upstream.Response{
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
	x.head(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(body) // a caller that has gone needs no answer
}

// handLong hands on an answer as it comes, behind what was read already.
func (x *exchange) handLong(resp *upstream.Response, read ...byte) ending {
	x.head(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	x.stream.begun, x.stream.unrepeatable = true, true
	if _, err := x.w.Write(read); err != nil {
		return cut
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		return cut
	}
	return delivered
}

// head copies the head of an answer.
func (x *exchange) head(resp *upstream.Response) {
	h := x.w.Header()
	maps.Copy(h, withoutHops(resp.Header))
	h.Del("Content-Length")
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // net/http would guess one
	}
	if x.server.Stopping != nil && x.server.Stopping() {
		h.Set("Connection", "close")
	}
}

// place logs where a request is sent and what decided it.
func (x *exchange) place(p Place, took time.Duration) {
	x.server.Metrics.sent(x, p)
	x.emit(event.RelayPlaced,
		event.F("attempt", x.evidence.Attempts()+1),
		event.F("endpoint", p.Endpoint),
		event.F("address", p.Address),
		event.F("key", x.key()),
		event.F("rank", p.Rank),
		event.F("fetch", p.Cache),
		event.F("account", x.account),
		event.F("place-ms", took.Milliseconds()),
		event.F("left-ms", x.left().Milliseconds()),
	)
}

// late tells by which of the route's targets an answer came late: "first" for
// the time to its first byte, "pause" for a pause between its events, or "" for
// none.
func (x *exchange) late() string {
	first := time.Now()
	if !x.stream.first.IsZero() {
		first = x.stream.first
	}
	switch {
	case x.route.FirstByteTarget > 0 && first.Sub(x.arrived) > x.route.FirstByteTarget:
		return "first"
	case x.route.GapTarget > 0 && x.stream.pause > x.route.GapTarget:
		return "pause"
	default:
		return ""
	}
}

// shared returns how many tokens of the prompt other requests share.
func (x *exchange) shared() (tokens int) {
	for _, p := range x.asked.Parts[:max(len(x.asked.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// note logs how an attempt ended.
func (x *exchange) note(p Place, end ending) {
	x.emit(event.RelayAttempt,
		event.F("attempt", x.evidence.Attempts()),
		event.F("endpoint", p.Endpoint),
		event.F("ended", end.String()),
		event.F("status", x.status),
		event.F("ms", time.Since(x.arrived).Milliseconds()),
		event.F("first-ms", x.stream.firstMs(x.arrived)),
		event.F("pause-ms", x.stream.pause.Milliseconds()),
		event.F("last-event", x.stream.last),
		event.F("late", x.late()),
	)
}
