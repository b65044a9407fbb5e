// Package relay serves callers over plain HTTP/1.1. It matches a request to a
// route of the operators' desired state, has it placed at an endpoint, and
// forwards the endpoint's response unchanged. It decides which requests may be
// retried, when to give up and what the caller is told. Package placement
// decides how much load an endpoint may carry.
package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// PlacementRequest describes the placement that an attempt needs.
type PlacementRequest struct {
	Pool            coordination.Pool
	Key             string // routing key of the shared prompt prefix; equal keys prefer the same endpoint
	Account         coordination.Account
	Priority        coordination.Priority
	Deadline        time.Time     // latest start; zero for none
	FirstByteTarget time.Duration // time to first byte, counted from Arrived, that counts as on time; zero for no target
	Arrived         time.Time
	Exclude         []coordination.Endpoint
	PrefixCached    bool   // endpoints cache the shared prefix of the request
	Isolated        bool   // the request is suspected of crashing endpoints
	Kind            string // requests of one kind have similar latency and failure rates
	// Continues reports that the attempt goes on with a stream that Version of the
	// software began. What two versions write does not fit together.
	Continues bool
	Version   coordination.SoftwareVersion
	// Residency says in which regions the request may run.
	Residency route.Residency
	// NonRetryable reports that a failure of this attempt cannot be retried.
	NonRetryable bool
	// NoWait reports that the attempt must not wait in a queue for capacity.
	NoWait bool
}

// Placement is capacity reserved at an endpoint. Release returns it and may be
// called more than once.
type Placement struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Version     coordination.SoftwareVersion // of the incarnation; empty if it is not known
	Address     string
	// Rank is the endpoint's position in the order in which requests with this
	// key try endpoints; 0 is the one that has the shared prefix cached.
	Rank int
	// Cold reports that the endpoint has started a short time ago, so that it crashes
	// more often than others.
	Cold bool
	// CacheSource is the address of another endpoint that probably has the shared
	// prefix cached when this one has not; empty if there is none.
	CacheSource string
	Release     func()
	// FirstByteLimit is the longest time that a healthy endpoint takes to the
	// first byte of the response to such a request; zero if it is not known.
	FirstByteLimit time.Duration
	// Observer records the attempt's evidence of the endpoint's health; nil if it
	// is not tracked.
	Observer Observer
}

// Observer records what an attempt shows of its endpoint's health. It is called
// before the placement is released.
type Observer interface {
	// RecordFirstByte records the time to the first byte of the response.
	RecordFirstByte(took time.Duration)
	// Overdue records at once that the first byte is overdue, and reports whether
	// the endpoint is known to fail. It may be called again.
	Overdue(ctx context.Context) (failing bool)
	// RecordRejection records that the endpoint had no room for the request. It is
	// called beside the following ones.
	RecordRejection()
	// RecordSuccess and RecordFailure record how the attempt ended. Neither is
	// called for an attempt that ended for reasons other than the endpoint's.
	RecordSuccess()
	RecordFailure()
	// RecordWork records how long the endpoint took for its work and what it reported
	// of its pace. It returns the measured pace, or zero if it is not known.
	RecordWork(w Work) capacity.Pace
}

// Placer reserves capacity at endpoints.
type Placer interface {
	// Place returns a placement for an attempt, or a refusal, which is final.
	Place(ctx context.Context, r PlacementRequest) (Placement, *outcome.Refusal)
	// Serving reports whether an incarnation of an endpoint is listed and not known to
	// be leaving.
	Serving(e coordination.Endpoint, n coordination.Incarnation) bool
	// HasVersion reports whether a pool has an endpoint that does not leave and whose
	// software has a version.
	HasVersion(pool coordination.Pool, v coordination.SoftwareVersion) bool
	// HasLeft reports whether an incarnation of an endpoint is known to be leaving, listed
	// or not.
	HasLeft(e coordination.Endpoint, n coordination.Incarnation) bool
	// Leaving records that an endpoint has said that it is shutting down.
	Leaving(e coordination.Endpoint, n coordination.Incarnation)
	// Pause records that an endpoint wants no requests for a time from this router,
	// or from the one through which the last request went if via is not empty.
	Pause(e coordination.Endpoint, n coordination.Incarnation, via coordination.Instance, d time.Duration)
	// LimitRejections records that each endpoint of a pool may crash if it rejects
	// more than n requests within a second.
	LimitRejections(pool coordination.Pool, n int)
	// MaySend reports whether a request may be sent to an endpoint now, through
	// another router if via is not empty: whether this incarnation is serving and does
	// not pause.
	MaySend(e coordination.Endpoint, n coordination.Incarnation, via coordination.Instance) bool
	// PauseLeft returns when a request may return because all endpoints that could
	// take it pause, or zero if one does not.
	PauseLeft(r PlacementRequest) time.Duration
	// Dead records that an endpoint cannot be reached.
	Dead(e coordination.Endpoint, n coordination.Incarnation)
}

// DesiredState is the operators' desired state in force.
type DesiredState interface {
	// Table returns the current table, or nil before the first one.
	Table() *route.Table
	// Known returns a channel that is closed when the first table is available.
	Known() <-chan struct{}
	// Age returns the time since the store last confirmed the router's state.
	Age() time.Duration
}

// RetryBudget limits retries to a share of each pool's requests.
type RetryBudget interface {
	// RecordRequest counts a request towards the budget of its pool.
	RecordRequest(p coordination.Pool)
	// Take reports whether one more attempt may be made, and if so counts it.
	Take(p coordination.Pool) bool
}

// Sender sends requests to endpoints.
type Sender interface {
	Send(ctx context.Context, address string, r *upstream.Request) (*upstream.Response, error)
	// Check returns nil if an endpoint accepts connections. An error that is
	// upstream.CutOff says nothing about the endpoint.
	Check(ctx context.Context, address string) error
	// Recheck is like Check but makes no connection while an idle one is open.
	Recheck(ctx context.Context, address string) error
	// Doubtful reports whether this router may be cut off from an endpoint, so that
	// its attempts there say nothing about it.
	Doubtful(address string) bool
}

// Server is the HTTP handler for callers.
type Server struct {
	Desired  DesiredState
	Placer   Placer
	Sender   Sender
	Retries  RetryBudget
	Suspects SuspectTracker // nil if requests are not tracked
	Origins  Origins        // nil if endpoints have one version of their software
	Log      event.Log
	Metrics  *Metrics
	Memory   *memory.Budget // what requests may hold; nil for no limit
	// Stopping reports whether responses close their connections.
	Stopping func() bool
	// ShutdownIn returns the time until ShutdownContext is done for a router that accepts
	// no new connections; false if it is not shutting down.
	ShutdownIn func() (time.Duration, bool)

	// ShutdownContext is done when requests in flight must be answered because the
	// router is shutting down; nil if that never happens.
	ShutdownContext context.Context

	durations durationTracker
	aftermath aftermath
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &exchange{server: s, w: w, r: r, arrived: arrived, metadata: platform.DecodeRequest(r.Header)}
	x.serve()
}

// A starting router reads the desired state within about 50 ms, or up to 0.3 s
// after the store is back if it was unavailable. Until then a request can neither
// be placed nor be refused for good. If requests were refused at once, all callers
// of a restarting fleet would retry before it knows the state and give up after a
// few retries. A request therefore waits for a fraction of its time, which leaves
// its caller time to ask another router. A request that has not been read within a second
// counts as ignored.
const (
	stateWaitShare = 8                      // fraction 1/n of the deadline set by the caller
	maxStateWait   = 500 * time.Millisecond // also for requests without a deadline
)

// retryAfterState is the Retry-After of a request that waited for the desired
// state in vain: the router has asked the store twice more by then.
const retryAfterState = 500 * time.Millisecond

// stateWait returns how long a request may wait for the first desired state, given
// its deadline (zero if there is none).
func stateWait(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return maxStateWait
	}
	return min(deadline/stateWaitShare, maxStateWait)
}

// table returns the table in force. It waits up to stateWait for the first one and
// returns nil if there is none by then.
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
