// Package caller serves callers over HTTP: it validates their requests, runs
// each one through its attempts at endpoints, and reports the outcome.
package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// Plan holds what the settings in force say about one chat request.
type Plan struct {
	Pool         coordination.Pool
	Priority     coordination.Priority
	StartTimeout time.Duration // time limit for the start of the answer; zero for none
	StallTimeout time.Duration // silence of an endpoint after which its attempt is lost
	MaxTokens    coordination.Tokens
}

// ChatPlanner applies the settings in force to chat requests.
type ChatPlanner interface {
	// PlanChat returns the plan for a chat request, or its refusal.
	PlanChat(team coordination.Team, account coordination.Account, model coordination.Model, want coordination.Priority) (Plan, *outcome.Refusal)
}

// PlacementRequest describes the placement that an attempt needs.
type PlacementRequest struct {
	Team        coordination.Team
	Account     coordination.Account
	Pool        coordination.Pool
	Chat        coordination.Chat
	Hint        string // route hint sent by the caller; untrusted
	Priority    coordination.Priority
	Deadline    time.Time // latest start; zero for none
	Exclude     []coordination.Endpoint
	Fingerprint uint64 // of the conversation
	Isolated    bool   // the request is suspected of crashing endpoints
}

// Placement is capacity reserved at an endpoint. Release returns it and may be
// called more than once.
type Placement struct {
	Endpoint      coordination.Endpoint
	Incarnation   coordination.Incarnation
	Address       string
	Hint          string // route hint to this endpoint for the chat's next request
	Release       func()
	DeadEndpoints []coordination.Endpoint // found dead during placement
}

// Placer reserves capacity at endpoints.
type Placer interface {
	// Place returns a placement for an attempt, or the refusal to send to the
	// caller.
	Place(ctx context.Context, r PlacementRequest) (Placement, *outcome.Refusal)
	// Adopt returns a placement for an attempt that already runs at e.
	Adopt(e coordination.Endpoint) (Placement, bool)
	// Dead records that an endpoint cannot be reached or has restarted.
	Dead(e coordination.Endpoint, n coordination.Incarnation)
	// Leaving records that an endpoint has reported that it is stopping.
	Leaving(e coordination.Endpoint, n coordination.Incarnation)
	// Pause records that an endpoint wants no requests for a time.
	Pause(e coordination.Endpoint, n coordination.Incarnation, d time.Duration)
}

// Engines are the calls to model engines that a chat request needs.
type Engines interface {
	Start(ctx context.Context, address string, req engine.Request) (*engine.Stream, error)
	Resume(ctx context.Context, address string, req engine.Request) (*engine.Stream, error)
	Cancel(ctx context.Context, address string, id coordination.Attempt) (int, error)
	Load(ctx context.Context, address string) (engine.Load, error)
}

// SuspectTracker prevents a request that crashes endpoints from crashing one
// after another.
type SuspectTracker interface {
	// Track starts tracking a request, or refuses it. It may block until
	// another copy of a suspected request has ended.
	Track(ctx context.Context, fingerprint uint64, p coordination.Pool) (TrackedRequest, *outcome.Refusal)
}

// TrackedRequest is the tracking of one request. End must be called once, when
// the request ends.
type TrackedRequest interface {
	// Alone reports whether the next attempt must run at an endpoint without
	// other suspects.
	Alone() bool
	// Crashed records that the endpoint that ran the request has died. It
	// blocks until the request may run again and returns nil, or returns its
	// refusal.
	Crashed(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) *outcome.Refusal
	// FoundDead records that an endpoint was dead before the request reached
	// it. It returns a refusal if the request may not run again.
	FoundDead(ctx context.Context, e coordination.Endpoint) *outcome.Refusal
	// End ends the tracking. Finished is true if the request ran to
	// completion.
	End(finished bool)
}

// RetryBudget limits retries to a share of each team's requests.
type RetryBudget interface {
	// RecordRequest counts the first attempt of a request.
	RecordRequest(team coordination.Team)
	// Take reports whether another attempt may be made, and counts it.
	Take(team coordination.Team) bool
}

// Limits are the limits on callers and on calls to endpoints.
type Limits struct {
	MaxBodyBytes  int64         // maximum size of a request body, in bytes
	WriteTimeout  time.Duration // maximum time for a caller to read one write
	CancelTimeout time.Duration // how long cancelling an attempt is retried
}

// Server serves the requests of callers.
type Server struct {
	Planner  ChatPlanner
	Placer   Placer
	Engines  Engines
	Suspects SuspectTracker
	Retries  RetryBudget
	Actions  Actions
	Limits   Limits
	Log      event.Log
	Metrics  *Metrics
	Stopping func() bool // reports whether new requests are refused
}

// retryAfterStop is the Retry-After of a router that is stopping. By then the
// load balancer sends requests to other routers.
const retryAfterStop = time.Second

func (s *Server) refuseWhenStopping() *outcome.Refusal {
	if s.Stopping == nil || !s.Stopping() {
		return nil
	}
	return &outcome.Refusal{
		Code:       outcome.Stopping,
		Message:    "this router is stopping; send the request again",
		Outcome:    outcome.NotRun,
		RetryAfter: retryAfterStop,
	}
}
