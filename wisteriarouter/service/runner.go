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

// Plan is what the settings in force say about one action.
type Plan struct {
	Pool          coordination.Pool
	Priority      coordination.Priority
	StartTimeout  time.Duration // limit for the start of the action; zero for none
	Timeout       time.Duration // limit for the service's answer
	NonIdempotent bool
	Rules         execution.Rules
}

// ActionPlanner tells what the settings in force say.
type ActionPlanner interface {
	// PlanAction returns the plan for an action, or a refusal.
	PlanAction(a caller.Action) (Plan, *outcome.Refusal)
}

// Placer grants places at endpoints.
type Placer interface {
	// Place returns a place for an attempt, or the final refusal.
	Place(ctx context.Context, w caller.PlacementRequest) (caller.Placement, *outcome.Refusal)
	// Leaving takes in that an endpoint has said that it is stopping.
	Leaving(e coordination.Endpoint, n coordination.Incarnation)
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

// defaultRetryAfter is when to come back after a refusal that another try may avoid.
const defaultRetryAfter = time.Second

// Run implements caller.Actions.
//
// The place comes before the record: an action that no endpoint has room for
// costs the platform nothing, so that a surge does not use up its writes.
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

// executionRequest returns what is put on record of a non-idempotent action.
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

// issuedAt returns when the action's key was made. A UUIDv7 tells it itself;
// then X-Issued-At does not count, since it may differ from try to try.
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

// fingerprint covers all that makes a request the same as an earlier one. The
// client account is part of it, so that nobody gets the answer to another
// account's action by its key; the time of issue is, so that a caller that
// stamps each try anew, and so would have its key accepted for ever, is found
// out at once.
func fingerprint(a caller.Action, issued time.Time) execution.Fingerprint {
	return execution.FingerprintOf(
		[]byte(a.Account), []byte(a.Service), []byte(a.Action), []byte(a.ContentType), a.Body,
		[]byte(issued.UTC().Format(time.RFC3339Nano)),
	)
}
