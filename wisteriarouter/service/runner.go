package service

import (
	"context"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/event"
)

// Plan holds what the settings in force say about one action.
type Plan struct {
	Pool          coordination.Pool
	Priority      coordination.Priority
	StartTimeout  time.Duration // time limit for the start of the action; zero for none
	Timeout       time.Duration // time limit for the service's response
	NonIdempotent bool
	Rules         execution.Rules
}

// ActionPlanner applies the settings in force to actions.
type ActionPlanner interface {
	// PlanAction returns the plan for an action, or its refusal.
	PlanAction(a caller.Action) (Plan, *outcome.Refusal)
}

// Placer reserves capacity at endpoints.
type Placer interface {
	// Place returns a placement for an attempt, or the refusal to send to the
	// caller.
	Place(ctx context.Context, r caller.PlacementRequest) (caller.Placement, *outcome.Refusal)
	// Serving reports whether an incarnation of an endpoint is listed and not known to be
	// leaving.
	Serving(e coordination.Endpoint, n coordination.Incarnation) bool
	// Leaving records that an endpoint has reported that it is stopping.
	Leaving(e coordination.Endpoint, n coordination.Incarnation)
	// Pause records that an endpoint wants no requests for a time.
	Pause(e coordination.Endpoint, n coordination.Incarnation, d time.Duration)
}

// Runner runs actions. It implements caller.Actions.
type Runner struct {
	Planner ActionPlanner
	Placer  Placer
	Retries caller.RetryBudget
	Client  *Client
	Ledger  *execution.Ledger
	Log     event.Log
}

var _ caller.Actions = (*Runner)(nil)

// defaultRetryAfter is the Retry-After of refusals that a repeat may avoid.
const defaultRetryAfter = time.Second

// Run implements caller.Actions.
//
// The placement comes before the record: an action for which no endpoint has
// capacity makes no call to the platform, so that a surge does not exhaust its
// writes.
func (r *Runner) Run(ctx context.Context, a caller.Action) (caller.Answer, *outcome.Refusal) {
	plan, refusal := r.Planner.PlanAction(a)
	if refusal != nil {
		return caller.Answer{}, refusal
	}
	req, refusal := executionRequest(a, plan)
	if refusal != nil {
		return caller.Answer{}, refusal
	}
	r.Retries.RecordRequest(a.Team)
	s := r.newActionSender(a, plan)
	if refusal := s.place(ctx); refusal != nil {
		return caller.Answer{}, refusal
	}
	defer s.release()
	if !plan.NonIdempotent {
		return s.answer(s.Send(ctx))
	}
	ctx, cancel := s.withStartDeadline(ctx)
	defer cancel()
	return s.answer(r.Ledger.Run(ctx, req, s))
}

// executionRequest returns the request to record for a non-idempotent action,
// or a refusal if its key is missing or carries no time.
func executionRequest(a caller.Action, p Plan) (execution.Request, *outcome.Refusal) {
	if !p.NonIdempotent {
		return execution.Request{}, nil
	}
	issued, ok := issuedAt(a)
	if !ok {
		return execution.Request{}, &outcome.Refusal{
			Code:       outcome.MissingKey,
			Message:    "this action runs at most once: send an Idempotency-Key that is a UUIDv7, or any key with X-Issued-At in RFC 3339",
			Outcome:    outcome.NotRun,
			RetryAfter: defaultRetryAfter,
		}
	}
	return execution.Request{
		Team:        a.Team,
		Key:         execution.Key(a.Key),
		IssuedAt:    issued,
		Fingerprint: fingerprint(a, issued),
		Rules:       p.Rules,
		Timeout:     p.Timeout,
	}, nil
}

// issuedAt returns when the action's key was made. If the key is a UUIDv7, its
// time is used and X-Issued-At is ignored, since the latter may differ between
// repeats.
func issuedAt(a caller.Action) (time.Time, bool) {
	if a.Key == "" {
		return time.Time{}, false
	}
	if t, ok := execution.Key(a.Key).IssuedAt(); ok {
		return t, true
	}
	t, err := time.Parse(time.RFC3339, a.IssuedAt)
	return t, err == nil
}

// fingerprint returns the fingerprint by which a repeat is recognised as the
// same request. It covers the client account, so that a key does not give
// access to the answer of another account's action. It covers the time of
// issue, so that a caller that sets a new time for each repeat, whose key
// would never expire, gets a conflict at once.
func fingerprint(a caller.Action, issued time.Time) execution.Fingerprint {
	return execution.FingerprintOf(
		[]byte(a.Account), []byte(a.Service), []byte(a.Action), []byte(a.ContentType), a.Body,
		[]byte(issued.UTC().Format(time.RFC3339Nano)),
	)
}
