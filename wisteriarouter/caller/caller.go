// Package caller serves callers: it checks their requests, follows each one
// through its attempts at endpoints, and tells what became of it.
package caller

import (
	"context"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// Plan is what the settings in force say about one chat request.
type Plan struct {
	Pool         coordination.Pool
	Priority     coordination.Priority
	StartTimeout time.Duration // limit for the start of the answer; zero for none
	StallTimeout time.Duration // silence of an endpoint after which an attempt is lost
	MaxTokens    coordination.Tokens
}

// ChatPlanner tells what the settings in force say.
type ChatPlanner interface {
	// PlanChat returns the plan for a chat request, or a refusal.
	PlanChat(team coordination.Team, account coordination.Account, model coordination.Model, want coordination.Priority) (Plan, *outcome.Refusal)
}

// PlacementRequest describes the place that an attempt needs.
type PlacementRequest struct {
	Team        coordination.Team
	Account     coordination.Account
	Pool        coordination.Pool
	Chat        coordination.Chat
	Hint        string // as the caller sent it; never trusted
	Priority    coordination.Priority
	Deadline    time.Time // latest start; zero for none
	Exclude     []coordination.Endpoint
	Fingerprint uint64 // of the conversation
	Alone       bool   // the request is suspected of crashing endpoints
}

// Placement is a granted place at an endpoint. Release gives it back and may be
// called again.
type Placement struct {
	Endpoint      coordination.Endpoint
	Incarnation   coordination.Incarnation
	Address       string
	Hint          string // leads the chat's next request back here
	Release       func()
	DeadEndpoints []coordination.Endpoint // found dead on the way
}

// Placer grants places.
type Placer interface {
	// Place returns a place for an attempt, or the final refusal.
	Place(ctx context.Context, w PlacementRequest) (Placement, *outcome.Refusal)
	// Adopt returns the place of an attempt that already runs at e.
	Adopt(e coordination.Endpoint) (Placement, bool)
	// Dead takes in that an endpoint cannot be reached or has restarted.
	Dead(e coordination.Endpoint, n coordination.Incarnation)
	// Leaving takes in that an endpoint has said that it is stopping.
	Leaving(e coordination.Endpoint, n coordination.Incarnation)
}

// Engines are the calls to model engines that an answer needs.
type Engines interface {
	Start(ctx context.Context, address string, req engine.Request) (*engine.Stream, error)
	Resume(ctx context.Context, address string, req engine.Request) (*engine.Stream, error)
	Cancel(ctx context.Context, address string, id coordination.Attempt) (int, error)
	Load(ctx context.Context, address string) (engine.Load, error)
}

// SuspectTracker keeps requests that crash endpoints from taking one after another.
type SuspectTracker interface {
	// Track begins to follow a request, or refuses it. It may wait until
	// another copy of a suspect has ended.
	Track(ctx context.Context, fingerprint uint64, p coordination.Pool) (TrackedRequest, *outcome.Refusal)
}

// TrackedRequest follows one request. End is called once, at the end.
type TrackedRequest interface {
	// Alone reports whether the next attempt must run apart from suspects.
	Alone() bool
	// Crashed tells that the endpoint which ran the request has died. It
	// returns when the request may go on, or with its refusal.
	Crashed(ctx context.Context, e coordination.Endpoint, n coordination.Incarnation) *outcome.Refusal
	// FoundDead tells that an endpoint was dead before the request reached it.
	FoundDead(ctx context.Context, e coordination.Endpoint) *outcome.Refusal
	// End tells whether the request has run to its end.
	End(finished bool)
}

// RetryBudget limits second attempts to a share of each team's requests.
type RetryBudget interface {
	// RecordRequest counts a first attempt.
	RecordRequest(team coordination.Team)
	// Take reports whether one more attempt may be made, and counts it.
	Take(team coordination.Team) bool
}

// Limits are the limits of one router towards callers and endpoints.
type Limits struct {
	MaxBodyBytes  int64         // largest body of a request
	WriteTimeout  time.Duration // longest wait for a caller to take an event
	CancelTimeout time.Duration // how long a cancel is tried
}

// Server answers callers.
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

// retryAfterStop is when a caller is told to come back to a router that
// stops: the balancer has another one by then.
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
