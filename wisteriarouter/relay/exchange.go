package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// exchange is the state of one request, from its arrival to its end.
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
	regions  route.Residency
	pool     coordination.Pool
	hold     *memory.Hold // what the request holds besides its body
	body     requestBody
	bodyRead bool      // nothing more is read of the body
	deadline time.Time // by which the response must be complete; zero for no limit

	evidence      outcome.Evidence
	exclude       []coordination.Endpoint
	sends         int               // number of attempts that may have reached an endpoint
	status        int               // of the last response; 0 if there is none
	reply         platform.Response // what the last response says of the endpoint and the request
	sentAt        time.Time         // of the last attempt; zero if nothing was sent
	repliedAt     time.Time         // arrival of the last response's headers
	gaps          eventGaps         // between the events of the last response
	pace          capacity.Pace     // measured in the last attempt; zero if it is not known
	undelimited   bool              // the last response had neither a length nor chunks
	ending        http1.Ending      // of the last such response; 0 if there is none
	liveness      liveness          // of the last attempt's endpoint
	stream        stream
	failure       *failure              // failure response that was not forwarded; nil if there is none
	watch         *responseWatch        // on the current attempt
	nextPlacement *Placement            // reserved for the next attempt after an overdue one; nil if there is none
	tracked       TrackedRequest        // nil for a request that is not tracked
	fingerprint   suspicion.Fingerprint // of the request, with its caller and its body
}

// giveUpSlack is how long the router waits beyond the deadline given to the
// endpoint. The endpoint's own timeout response tells more than the router's; it
// needs one network trip of about 5 ms and time to be scheduled.
const giveUpSlack = 100 * time.Millisecond

func (x *exchange) serve() {
	if !x.matchRoute() || !x.authenticate() || !x.fitsBeforeShutdown() {
		return
	}
	defer x.releaseMemory()
	if !x.holdOverhead() || !x.readBody() {
		return
	}
	// The shutdown may have begun while the body was read.
	if !x.fitsBeforeShutdown() {
		return
	}
	ctx, stop := x.server.withShutdown(x.r.Context())
	defer stop()
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, x.deadline.Add(giveUpSlack))
		defer cancel()
	}
	x.identify()
	x.server.Retries.RecordRequest(x.pool)
	if !x.findOrigin(ctx) || !x.track(ctx) {
		return
	}
	finished := false
	defer func() { x.endTracking(finished) }()
	// An endpoint that returns a failure may not have run the request.
	finished = x.run(ctx) && !isEndpointFailure(x.status)
}

// matchRoute finds the route and the pool of the request, or refuses it.
func (x *exchange) matchRoute() bool {
	x.table = x.server.table(x.r.Context(), x.metadata.Deadline)
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no desired state is known yet", retryAfterState)
		return false
	}
	if !x.useRoute() {
		x.refuse(http.StatusNotFound, "no route serves this host and path", 0)
		return false
	}
	return true
}

// useRoute sets what the route of the request determines, and reports whether there is
// one.
func (x *exchange) useRoute() bool {
	x.route = x.table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return false
	}
	x.pool = x.route.Pool(xxhash.Sum64String(string(x.metadata.Attempt)))
	x.priority = x.table.Priority(x.route, nil)
	x.regions = route.NewResidency(x.route, route.Tenant{})
	x.deadline = x.requestDeadline()
	return true
}

// requestDeadline returns the earlier of the caller's deadline and the route's
// timeout; the zero time if there is neither.
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

// authenticate finds the client account that holds the caller's API key, or refuses the
// request. A public route needs no key, but a request that has one is of its account.
func (x *exchange) authenticate() bool {
	tenant, ok := x.table.Tenant(x.metadata.Key)
	switch {
	case ok:
		x.useTenant(tenant)
	case x.table.Accounts != nil && !x.route.Public:
		x.refuse(http.StatusUnauthorized, "the key is not known", 0)
		return false
	}
	return true
}

// useTenant sets what the client account of the request determines.
func (x *exchange) useTenant(tenant route.Tenant) {
	x.account = tenant.Account
	x.regions = route.NewResidency(x.route, tenant)
	x.priority = x.table.Priority(x.route, tenant.Priority)
}

// retryAfterStop is the Retry-After of a router that is shutting down. It is short
// because the load balancer already directs callers to other routers.
const retryAfterStop = 50 * time.Millisecond

// aboutToStop is the message of a request that a router refuses before it stops.
const aboutToStop = "the router is about to stop"

// fitsBeforeShutdown refuses a request that a router which is shutting down may have
// to cut off. Only the deadline of a request bounds how long its response takes: those
// before it say nothing of an endpoint that has just become slow. Asking another router
// now costs the caller less than a truncated response, or one of unknown outcome.
func (x *exchange) fitsBeforeShutdown() bool {
	left, ends := x.shutdownIn()
	if !ends || x.remaining()+giveUpSlack <= left {
		return true
	}
	x.refuse(http.StatusServiceUnavailable, aboutToStop, retryAfterStop)
	return false
}

// beginsTooLate reports whether an attempt that begins now would probably be cut off. It
// is for requests that arrived before the router began to refuse those which may take
// too long, and have waited since.
func (x *exchange) beginsTooLate() bool {
	left, ends := x.shutdownIn()
	if !ends {
		return false
	}
	needs, known := x.server.durations.expected(x.route.Name)
	return known && min(needs, x.remaining()) > left
}

// shutdownIn is Server.ShutdownIn, and reports false if that is not set.
func (x *exchange) shutdownIn() (time.Duration, bool) {
	if x.server.ShutdownIn == nil {
		return 0, false
	}
	return x.server.ShutdownIn()
}

// routingKey returns the key that routes the request to the endpoint that has its
// prompt cached: the id of the longest part that other requests share, which is
// the last but one part. A request without parts may go to any endpoint.
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

// run makes attempts until one delivers a response or no further attempt is
// allowed. It reports whether a response was delivered.
func (x *exchange) run(ctx context.Context) bool {
	defer x.releaseNextPlacement()
	for {
		place, ok := x.acquire(ctx)
		if !ok {
			return false
		}
		end := x.attempt(ctx, place)
		x.liveness = notChecked
		if end == broken || end == cut {
			x.liveness = x.checkLiveness(ctx, place, end)
		}
		x.observe(ctx, place, end)
		x.recordWork(place, end)
		place.Release()
		x.logAttempt(place, end)
		if end == delivered {
			x.server.Metrics.delivered(x)
			x.server.durations.record(x.route.Name, time.Since(x.sentAt))
			return true
		}
		if x.unsettled(end) {
			x.recordUnsettled(place)
		}
		mayContinue := x.liveness != dead || x.recordCrash(ctx, place)
		if ctx.Err() != nil {
			x.expire(ctx)
			return false
		}
		if refusal := x.convicted(); refusal != nil {
			x.respondWithoutResult(refusal.Message, refusal.RetryAfter)
			return false
		}
		if !mayContinue || x.mayHaveCrashed() || !x.takeRetry(end) {
			x.fail(end)
			return false
		}
		x.exclude = append(x.exclude, place.Endpoint)
	}
}

// releaseNextPlacement releases a placement that was reserved for an attempt that is
// not made.
func (x *exchange) releaseNextPlacement() {
	if x.nextPlacement != nil {
		x.nextPlacement.Release()
		x.nextPlacement = nil
	}
}

// acquire gets a placement for the next attempt. If there is none it ends the request
// and returns false.
func (x *exchange) acquire(ctx context.Context) (Placement, bool) {
	asked := time.Now()
	if x.nextPlacement != nil {
		place := *x.nextPlacement
		x.nextPlacement = nil
		x.logPlacement(place, 0)
		return place, true
	}
	place, refusal := x.server.Placer.Place(ctx, x.placementRequest())
	x.server.Metrics.placed(x.pool, time.Since(asked))
	if refusal != nil && ctx.Err() == nil && (x.failure != nil || x.stream.began && x.liveness == alive) && len(x.exclude) > 0 {
		// No other endpoint is available. An endpoint that returned a failure may
		// succeed on a retry: 14 in 100 responses of a plain service are
		// transient failures. One that broke off a stream is better than none.
		x.exclude = nil
		place, refusal = x.server.Placer.Place(ctx, x.placementRequest())
	}
	switch {
	case refusal != nil && ctx.Err() != nil:
		x.expire(ctx)
		return Placement{}, false
	case refusal != nil:
		x.respondWithoutResult(refusal.Message, refusal.RetryAfter)
		return Placement{}, false
	case x.sends == 0 && x.beginsTooLate():
		place.Release()
		x.refuse(http.StatusServiceUnavailable, aboutToStop, retryAfterStop)
		return Placement{}, false
	}
	x.logPlacement(place, time.Since(asked))
	return place, true
}

func (x *exchange) placementRequest() PlacementRequest {
	return PlacementRequest{
		Pool:            x.pool,
		Key:             x.routingKey(),
		Account:         x.account,
		Priority:        x.priority,
		Deadline:        x.deadline,
		FirstByteTarget: x.route.FirstTarget,
		Arrived:         x.arrived,
		Exclude:         slices.Clip(x.exclude),
		PrefixCached:    x.route.Sticky,
		Isolated:        x.isSuspect(),
		Continues:       x.stream.began,
		Version:         x.stream.version,
		Residency:       x.regions,
		Kind:            x.route.Name,
		NonRetryable:    !x.policy().mayRetry(broken, x.sends+1, len(x.exclude)+1),
	}
}

// takeRetry reports whether another attempt may be made, and takes it from the
// budget.
func (x *exchange) takeRetry(end attemptResult) bool {
	if !x.mayRetry(end) {
		return false
	}
	if end == unsent || end == withheld || x.nextPlacement != nil || x.server.Retries.Take(x.pool) {
		x.server.Metrics.retried(x.pool, end)
		return true
	}
	x.emit(event.RelayBudgetSpent)
	return false
}

// errShutdown is the cause of cancelling the requests in flight at the end of a
// shutdown.
var errShutdown = errors.New("relay: the router is shutting down")

// withShutdown returns a context that is also cancelled when the router must
// answer requests in flight because it shuts down, and a function that releases
// it.
func (s *Server) withShutdown(ctx context.Context) (context.Context, func()) {
	if s.ShutdownContext == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ShutdownContext, func() { cancel(errShutdown) })
	return ctx, func() { stop(); cancel(nil) }
}

// expire ends a request whose deadline has passed, whose caller has disconnected or
// whose router is shutting down.
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

// retryAfterFull is the Retry-After of a request that no endpoint accepted. A full
// endpoint completes some requests in that time, at 60 ms of work each.
const retryAfterFull = 250 * time.Millisecond

// fail ends a request after its last attempt, whose result was end.
func (x *exchange) fail(end attemptResult) {
	if end == cut {
		x.abortResponse("the response was truncated")
	}
	x.respondWithoutResult("no endpoint has answered", max(x.server.Placer.PauseLeft(x.placementRequest()), retryAfterFull))
}

// respondWithoutResult ends a request that has no response to deliver. Only a
// request that certainly has not run gets the status that says so.
func (x *exchange) respondWithoutResult(why string, after time.Duration) {
	if x.stream.headSent {
		x.abortResponse(why)
	}
	if x.failure != nil {
		x.write(x.failure.resp, &x.failure.body)
		x.server.Metrics.ended(x, strconv.Itoa(x.failure.resp.Status))
		return
	}
	if x.evidence.Outcome() != outcome.NotRun {
		x.respond(http.StatusBadGateway, why, 0)
		return
	}
	x.refuse(http.StatusServiceUnavailable, why, after)
}

// abortResponse closes the connection of a partially sent response, so that the
// caller does not take it for complete.
func (x *exchange) abortResponse(why string) {
	x.emit(event.RelayCut, event.F("why", why), event.F("last-event", x.stream.lastEventID))
	x.server.Metrics.ended(x, "cut")
	panic(http.ErrAbortHandler)
}

// refuse answers a request that no endpoint has run.
func (x *exchange) refuse(status int, why string, after time.Duration) {
	x.respond(status, why, after)
}

// respond sends a response generated by the router.
func (x *exchange) respond(status int, why string, after time.Duration) {
	if x.stream.headSent {
		x.abortResponse(why)
	}
	x.server.Metrics.refused(x, status)
	x.emit(event.RelayRefused, event.F("account", x.account), event.F("status", status), event.F("why", why), event.F("retry-after-ms", after.Milliseconds()))
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	if after > 0 {
		platform.SetRetryAfter(h, after)
	}
	x.sendRefusal(status, why+"\n")
}

// emit logs an event with the fields of the request.
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

// hopByHop lists the headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHop returns a copy of h without the hop-by-hop headers, including
// those that its Connection header names.
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
