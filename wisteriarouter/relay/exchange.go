package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// exchange is one request of a caller from its arrival to its end.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	metadata platform.Request

	table    *route.Table
	route    *route.Route
	account  coordination.Account
	priority coordination.Priority
	pool     coordination.Pool
	body     []byte
	deadline time.Time // by when the answer has to be complete; zero for no limit

	evidence  outcome.Evidence
	exclude   []coordination.Endpoint
	sends     int // requests that may have reached an endpoint
	status    int // of the last endpoint's answer; 0 if none came
	stream    stream
	failure   *failure       // of an endpoint, that the caller has not got
	watch     *responseWatch // of the endpoint that is asked
	nextPlace *Place         // for the next attempt, where the last one met silence
	tracked   TrackedRequest // nil for a request that is not followed
}

// giveUpSlack is how long the router waits beyond the time that an endpoint
// was given. The endpoint's own word that the time is up says more than the
// router's; it needs one way back, of some 5 ms, and its turn.
const giveUpSlack = 100 * time.Millisecond

func (x *exchange) serve() {
	if !x.matchRoute() || !x.authenticate() || !x.fitsBeforeShutdown() || !x.readBody() {
		return
	}
	ctx, stop := x.server.withShutdown(x.r.Context())
	defer stop()
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, x.deadline.Add(giveUpSlack))
		defer cancel()
	}
	x.server.Retries.RecordRequest(x.pool)
	if !x.track(ctx) {
		return
	}
	finished := false
	defer func() { x.endTracking(finished) }()
	finished = x.run(ctx)
}

// matchRoute finds the request's route and pool.
func (x *exchange) matchRoute() bool {
	x.table = x.server.table(x.r.Context(), x.metadata.Deadline)
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no desired state is known yet", retryAfterState)
		return false
	}
	x.route = x.table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no route serves this host and path", 0)
		return false
	}
	x.pool = x.route.Pool(xxhash.Sum64String(string(x.metadata.Attempt)))
	x.priority = x.table.Priority(x.route, nil)
	x.deadline = x.requestDeadline()
	return true
}

// requestDeadline returns when the caller, or the operator, no longer wants an answer.
func (x *exchange) requestDeadline() time.Time {
	wait := x.metadata.Deadline
	if t := x.route.Timeout; t > 0 && (wait == 0 || t < wait) {
		wait = t
	}
	if wait == 0 {
		return time.Time{}
	}
	return x.arrived.Add(wait)
}

// authenticate checks the caller's key.
func (x *exchange) authenticate() bool {
	if x.table.Accounts == nil || x.route.Public {
		return true
	}
	tenant, ok := x.table.Tenant(x.metadata.Key)
	if !ok {
		x.refuse(http.StatusUnauthorized, "the key is not known", 0)
		return false
	}
	x.account = tenant.Account
	x.priority = x.table.Priority(x.route, tenant.Priority)
	return true
}

// retryAfterStop is when a caller may come back whose router is about to stop: the
// balancer has sent callers to others for long, and they are served there.
const retryAfterStop = 50 * time.Millisecond

// fitsBeforeShutdown refuses a request that is not likely to be complete when the router ends.
// Its caller loses less by asking another router now than by an answer that breaks
// off.
func (x *exchange) fitsBeforeShutdown() bool {
	if x.server.ShutdownIn == nil {
		return true
	}
	left, ends := x.server.ShutdownIn()
	if !ends {
		return true
	}
	needs, known := x.server.durations.longest(x.route.Name)
	if limit := x.remaining(); !known || limit < needs {
		needs = limit
	}
	if needs <= left {
		return true
	}
	x.refuse(http.StatusServiceUnavailable, "the router is about to stop", retryAfterStop)
	return false
}

// defaultBodyBytes bounds a body if the desired state does not.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body, so that the request can be sent again where that
// is allowed, and so that a slow caller occupies no endpoint.
func (x *exchange) readBody() bool {
	limit := int64(x.table.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	case err != nil:
		x.refuse(http.StatusBadRequest, "the body cannot be read", 0)
		return false
	}
	x.body = body
	return true
}

// routingKey returns what leads the request to the endpoint that has its prompt
// cached: the longest part of the prompt that other requests share, which is
// the one before the request's own. A request without parts goes anywhere.
func (x *exchange) routingKey() string {
	parts := x.metadata.Parts
	switch {
	case !x.route.Sticky || len(parts) == 0:
		return string(x.metadata.Attempt)
	case len(parts) == 1:
		return parts[0].ID
	default:
		return parts[len(parts)-2].ID
	}
}

// run makes attempts until the request has its answer or there is no more to
// be done. It reports whether an endpoint has answered.
func (x *exchange) run(ctx context.Context) bool {
	defer x.releaseNextPlace()
	for {
		place, ok := x.acquire(ctx)
		if !ok {
			return false
		}
		end := x.attempt(ctx, place)
		x.observe(ctx, place, end)
		place.Release()
		x.logAttempt(place, end)
		if end == delivered {
			x.server.Metrics.delivered(x)
			x.server.durations.record(x.route.Name, time.Since(x.arrived))
			return true
		}
		goOn := end != broken && end != cut || x.checkCrash(ctx, place)
		if ctx.Err() != nil {
			x.expire(ctx)
			return false
		}
		if !goOn || !x.takeRetry(end) {
			x.fail(end)
			return false
		}
		x.exclude = append(x.exclude, place.Endpoint)
	}
}

// releaseNextPlace gives back a place that was got for an attempt that is not made.
func (x *exchange) releaseNextPlace() {
	if x.nextPlace != nil {
		x.nextPlace.Release()
		x.nextPlace = nil
	}
}

// acquire gets a place for the next attempt. If there is none it ends the
// request.
func (x *exchange) acquire(ctx context.Context) (Place, bool) {
	asked := time.Now()
	if x.nextPlace != nil {
		place := *x.nextPlace
		x.nextPlace = nil
		x.logPlacement(place, 0)
		return place, true
	}
	place, refusal := x.server.Placer.Place(ctx, x.placeRequest())
	x.server.Metrics.placed(x.pool, time.Since(asked))
	if refusal != nil && ctx.Err() == nil && x.failure != nil && len(x.exclude) > 0 {
		// There is no other endpoint. One that has failed by itself often
		// does not fail again: 14 in 100 answers of a plain service are
		// failures of the moment.
		x.exclude = nil
		place, refusal = x.server.Placer.Place(ctx, x.placeRequest())
	}
	switch {
	case refusal != nil && ctx.Err() != nil:
		x.expire(ctx)
		return Place{}, false
	case refusal != nil:
		x.respondWithoutResult(refusal.Message, refusal.RetryAfter)
		return Place{}, false
	}
	x.logPlacement(place, time.Since(asked))
	return place, true
}

func (x *exchange) placeRequest() PlaceRequest {
	return PlaceRequest{
		Pool:            x.pool,
		Key:             x.routingKey(),
		Account:         x.account,
		Priority:        x.priority,
		StartBy:         x.deadline,
		FirstByteTarget: x.route.FirstByteTarget,
		Arrived:         x.arrived,
		Exclude:         slices.Clip(x.exclude),
		PrefixCached:    x.route.Sticky,
		RunAlone:        x.tracked != nil && x.tracked.Alone(),
		Kind:            x.route.Name,
		LastAttempt:     !x.policy().mayRetry(broken, x.sends+1, len(x.exclude)+1),
	}
}

// takeRetry decides whether another attempt may be made, and takes it from the
// budget.
func (x *exchange) takeRetry(end attemptResult) bool {
	if !x.mayRetry(end) {
		return false
	}
	if end == unsent || x.nextPlace != nil || x.server.Retries.Take(x.pool) {
		x.server.Metrics.retried(x.pool, end)
		return true
	}
	x.emit(event.RelayBudgetSpent)
	return false
}

// errShutdown is why requests are cancelled that the end of a stop meets.
var errShutdown = errors.New("relay: the router stops")

// withShutdown returns a context that is also cancelled when the router has to answer
// what is in flight since it ends, and what releases it.
func (s *Server) withShutdown(ctx context.Context) (context.Context, func()) {
	if s.ShutdownContext == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ShutdownContext, func() { cancel(errShutdown) })
	return ctx, func() { stop(); cancel(nil) }
}

// expire ends a request whose time is up, whose caller has gone or whose router
// ends.
func (x *exchange) expire(ctx context.Context) {
	ends := errors.Is(context.Cause(ctx), errShutdown)
	if errors.Is(ctx.Err(), context.Canceled) && !ends {
		x.emit(event.RelayCallerGone, event.F("after-ms", time.Since(x.arrived).Milliseconds()))
		x.server.Metrics.ended(x, "caller-gone")
		return
	}
	switch notRun := x.evidence.Outcome() == outcome.NotRun; {
	case notRun && ends:
		x.refuse(http.StatusServiceUnavailable, "the router stops", retryAfterStop)
	case notRun:
		x.refuse(http.StatusServiceUnavailable, "no endpoint was free in time", retryAfterFull)
	case ends:
		x.respond(http.StatusGatewayTimeout, "the router stops", 0)
	default:
		x.respond(http.StatusGatewayTimeout, "no endpoint has answered in time", 0)
	}
}

// retryAfterFull is when a caller may come back whose endpoint has declined:
// some requests of a full endpoint have ended by then, at 60 ms of work each.
const retryAfterFull = 250 * time.Millisecond

// fail ends a request after its last attempt.
func (x *exchange) fail(end attemptResult) {
	if end == cut {
		x.abortResponse("the answer broke off")
	}
	x.respondWithoutResult("no endpoint has answered", retryAfterFull)
}

// respondWithoutResult tells the caller that there is no answer. Only a request that certainly
// has not run gets the status that promises so.
func (x *exchange) respondWithoutResult(why string, after time.Duration) {
	if x.stream.headSent {
		x.abortResponse(why)
	}
	if x.failure != nil {
		x.write(x.failure.resp, x.failure.body)
		x.server.Metrics.ended(x, strconv.Itoa(x.failure.resp.Status))
		return
	}
	if x.evidence.Outcome() != outcome.NotRun {
		x.respond(http.StatusBadGateway, why, 0)
		return
	}
	x.refuse(http.StatusServiceUnavailable, why, after)
}

// abortResponse breaks off an answer of which the caller has got a part, so that it does
// not look complete.
func (x *exchange) abortResponse(why string) {
	x.emit(event.RelayCut, event.F("why", why), event.F("last-event", x.stream.lastEventID))
	x.server.Metrics.ended(x, "cut")
	panic(http.ErrAbortHandler)
}

// refuse answers a request that has reached no endpoint.
func (x *exchange) refuse(status int, why string, after time.Duration) {
	x.respond(status, why, after)
}

// respond answers in the router's own name.
func (x *exchange) respond(status int, why string, after time.Duration) {
	if x.stream.headSent {
		x.abortResponse(why)
	}
	x.server.Metrics.refused(x, status)
	x.emit(event.RelayRefused, event.F("status", status), event.F("why", why), event.F("retry-after-ms", after.Milliseconds()))
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		platform.SetRetryAfter(h, after)
	}
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, why+"\n") // a caller that has gone needs no answer
}

// emit logs an event of the request.
func (x *exchange) emit(k event.Kind, fields ...event.Field) {
	fields = append(fields, event.F("request", x.metadata.Attempt))
	if x.table != nil {
		fields = append(fields, event.F("version", x.table.Version), event.F("age-ms", x.server.Desired.Age().Milliseconds()))
	}
	if x.route != nil {
		fields = append(fields, event.F("route", x.route.Name))
	}
	x.server.Log.Emit(k, fields...)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHop returns a copy of h without the headers that concern one
// connection only.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
