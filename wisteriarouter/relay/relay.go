// Package relay serves callers over plain HTTP/1.1: it finds the route of a
// request in the operators' desired state, has it placed at an endpoint, and
// hands the endpoint's answer back as it is. What may be repeated, when to give
// up and what to tell the caller is decided here; how much an endpoint may
// carry is decided by package placement.
package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// PlaceRequest describes the place that an attempt needs.
type PlaceRequest struct {
	Pool            coordination.Pool
	Key             string // of what the request shares with others; equal keys prefer the same endpoint
	Account         coordination.Account
	Priority        coordination.Priority
	StartBy         time.Time     // by when the request has to start
	FirstByteTarget time.Duration // from Arrived, within which the answer has to begin to be on time; zero for no objective
	Arrived         time.Time
	Exclude         []coordination.Endpoint
	PrefixCached    bool   // endpoints keep what the request shares with others
	RunAlone        bool   // the request is suspected of crashing endpoints
	Kind            string // requests of one kind take alike and fail alike
	// LastAttempt says that no further attempt could mend a failure of this one.
	LastAttempt bool
	// NoWait says that the attempt is not to wait for a place.
	NoWait bool
}

// Place is a granted place at an endpoint. Release gives it back and may be
// called again.
type Place struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Address     string
	// Rank is the endpoint's place in the order in which requests with this
	// key try endpoints; 0 is the one that has their shared parts cached.
	Rank int
	// CacheSource is the address of another endpoint that is likely to have the
	// request's shared parts cached while this one has not; empty if there is
	// none.
	CacheSource string
	Release     func()
	// FirstByteLimit is how long a good endpoint takes for the first byte of an answer
	// to such a request, at most; zero if that is not known.
	FirstByteLimit time.Duration
	// Observer is told what the attempt shows of the endpoint; nil if nobody
	// wants to know.
	Observer Observer
}

// Observer takes in what an attempt shows of its endpoint, before the place is
// released.
type Observer interface {
	// RecordFirstByte tells when the first byte of the answer came.
	RecordFirstByte(took time.Duration)
	// Overdue tells at once that none has come within the place's patience, and
	// reports whether the endpoint is known to fail. It may be called again.
	Overdue(ctx context.Context) (out bool)
	// RecordSuccess and Failed tell how the attempt has ended. An attempt that ended
	// for other reasons than the endpoint's tells neither.
	RecordSuccess()
	RecordFailure()
}

// Placer grants places.
type Placer interface {
	// Place returns a place for an attempt, or the final refusal.
	Place(ctx context.Context, w PlaceRequest) (Place, *outcome.Refusal)
	// Dead takes in that an endpoint cannot be reached.
	Dead(e coordination.Endpoint, n coordination.Incarnation)
}

// DesiredState is the operators' desired state in force.
type DesiredState interface {
	// Table returns the present table, or nil before the first.
	Table() *route.Table
	// Known returns a channel that is closed with the first table.
	Known() <-chan struct{}
	// Age returns how long ago the store confirmed what this router knows.
	Age() time.Duration
}

// RetryBudget limits second attempts to a share of each pool's requests.
type RetryBudget interface {
	// RecordRequest counts a request.
	RecordRequest(p coordination.Pool)
	// Take reports whether one more attempt may be made, and counts it.
	Take(p coordination.Pool) bool
}

// Sender sends requests to endpoints.
type Sender interface {
	Send(ctx context.Context, address string, r *upstream.Request) (*upstream.Response, error)
	// Alive reports whether an endpoint takes connections.
	Alive(ctx context.Context, address string) bool
}

// Server answers callers.
type Server struct {
	Desired  DesiredState
	Placer   Placer
	Sender   Sender
	Retries  RetryBudget
	Suspects CrashGuard // nil if requests are not followed
	Log      event.Log
	Metrics  *Metrics
	// Stopping reports whether answers are to end their connections.
	Stopping func() bool
	// ShutdownIn reports how long a router that takes no new connections still serves
	// those that it has; false if it goes on.
	ShutdownIn func() (time.Duration, bool)

	// ShutdownContext is done when requests in flight have to be answered since the router ends;
	// nil if it never is.
	ShutdownContext context.Context

	durations durationTracker
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &exchange{server: s, w: w, r: r, arrived: arrived, metadata: platform.DecodeRequest(r.Header)}
	x.serve()
}

// A router that starts reads the desired state within some 50 ms, or up to
// 0.3 s behind the store's return if it was away. Until then a request can
// neither be placed nor be refused for good. Sent away at once, all callers of
// a fleet that starts anew would be back before it knows the state, and give up
// after a few such rounds. A request therefore waits, for no more than a part
// of its time: so long a wait still leaves its caller the time to ask elsewhere.
// Who has not been read within a second is taken to be ignored.
const (
	stateWaitShare = 8                      // of the time that the caller gives
	maxStateWait   = 500 * time.Millisecond // also of who names no time
)

// retryAfterState is when a caller may come back that has waited in vain: by
// then the router has asked the store twice more.
const retryAfterState = 500 * time.Millisecond

// stateWait returns how long a request may wait for the first desired state.
func stateWait(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return maxStateWait
	}
	return min(deadline/stateWaitShare, maxStateWait)
}

// table returns the table in force. It waits a moment for the first; nil if
// there is none by then.
func (s *Server) table(ctx context.Context, deadline time.Duration) *route.Table {
	if t := s.Desired.Table(); t != nil {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, stateWait(deadline))
	defer cancel()
	select {
	case <-s.Desired.Known():
	case <-ctx.Done():
	}
	return s.Desired.Table()
}
