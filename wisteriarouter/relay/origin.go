package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// Origin is what is known of the beginning of a stream.
type Origin struct {
	Known bool                  // a router knew at which version the stream began
	From  coordination.Instance // that router
	// Single reports that all endpoints of the stream's pool have had one version of their
	// software for as long as the stream can have lasted.
	Single    bool
	Confirmed bool                         // the store has confirmed Single
	Version   coordination.SoftwareVersion // at which the stream began, if it is Known or Single
	Asked     int                          // routers that were asked
	Silent    int                          // routers among them that did not reply
}

// StreamID identifies a stream.
type StreamID struct {
	Attempt coordination.Attempt // of its caller, that brought the first event; empty if the caller does not name it
	Content origin.Content       // of the request
}

// Origins knows at which version of the software streams began.
type Origins interface {
	// Record records the beginning of a stream that its caller may take up for some more
	// time.
	Record(s StreamID, p coordination.Pool, v coordination.SoftwareVersion, left time.Duration)
	// Find returns what is known of a stream.
	Find(ctx context.Context, s StreamID, p coordination.Pool) Origin
}

const (
	// retryAfterUnknown is the Retry-After of a stream that no router knows: a router
	// that is just starting to keep it has been told of it by then.
	retryAfterUnknown = 100 * time.Millisecond
	// retryAfterVersionGone is the Retry-After of a stream whose version no endpoint has.
	retryAfterVersionGone = 500 * time.Millisecond
	// takeUpSlack is how much longer than its caller waits a stream is remembered. A
	// request that takes it up may have been delayed on its way.
	takeUpSlack = time.Second
)

// findOrigin finds out at which version of the software the stream began whose rest the
// request asks for, or refuses the request. What two versions write does not fit together.
func (x *exchange) findOrigin(ctx context.Context) bool {
	if x.server.Origins == nil || !platform.Resumes(x.r.Header) {
		return true
	}
	asked := time.Now()
	o := x.server.Origins.Find(ctx, StreamID{x.metadata.Resumes, x.content()}, x.pool)
	x.emit(event.RelayTakenUp,
		event.F("resumes", x.metadata.Resumes),
		event.F("after-event", x.resumesAfter()),
		event.F("known", o.Known),
		event.F("single-version", o.Single),
		event.F("confirmed", o.Confirmed),
		event.F("software-version", o.Version),
		event.F("from", o.From),
		event.F("asked", o.Asked),
		event.F("silent", o.Silent),
		event.F("find-ms", time.Since(asked).Milliseconds()),
	)
	switch {
	case !o.Known && !o.Single:
	case !x.server.Placer.HasVersion(x.pool, o.Version):
		// A suspect would wait before its placement is refused.
		x.refuse(http.StatusServiceUnavailable, "no endpoint has the version of the software that began the stream", retryAfterVersionGone)
		return false
	default:
		x.stream.began, x.stream.version = true, o.Version
		return true
	}
	x.refuse(http.StatusServiceUnavailable, "no router knows at which version of the software the stream began", retryAfterUnknown)
	return false
}

// recordOrigin records at which version of the software the stream began, when its first
// event is about to be sent, and again when the first event after it was taken up is.
func (x *exchange) recordOrigin() {
	if x.stream.recorded {
		return
	}
	if !x.stream.began {
		x.stream.began, x.stream.version = true, x.watch.placement.Version
	}
	x.stream.recorded = true
	if x.server.Origins == nil || !x.route.Idempotent() {
		return
	}
	first := x.metadata.Resumes
	if first == "" || !platform.Resumes(x.r.Header) {
		first = x.metadata.Attempt
	}
	x.server.Origins.Record(StreamID{first, x.content()}, x.pool, x.stream.version, x.remaining()+takeUpSlack)
}

// content identifies the content of the request: its caller, path, body and prompt.
func (x *exchange) content() origin.Content {
	return origin.Content(suspicion.FingerprintOfCall(nil, x.fingerprint.String(), platform.PromptID(x.r.Header)))
}
