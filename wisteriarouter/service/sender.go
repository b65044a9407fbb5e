package service

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/event"
)

// maxAttempts limits the attempts of one action, in addition to the retry
// budget.
const maxAttempts = 3

// retryAfterEndpointLost is the Retry-After of an action whose endpoint was
// lost.
const retryAfterEndpointLost = 2 * time.Second

// actionSender sends one action, over all its attempts. It implements
// execution.Sender.
type actionSender struct {
	runner    *Runner
	action    caller.Action
	plan      Plan
	deadline  time.Time // latest start; zero for none
	evidence  outcome.Evidence
	placement caller.Placement
	attempt   coordination.Attempt // last attempt; empty if nothing was sent
	exclude   []coordination.Endpoint
}

func (r *Runner) newActionSender(a caller.Action, p Plan) *actionSender {
	s := &actionSender{runner: r, action: a, plan: p, deadline: a.Deadline}
	if s.deadline.IsZero() && p.StartTimeout > 0 {
		s.deadline = time.Now().Add(p.StartTimeout)
	}
	return s
}

// withStartDeadline returns a context that bounds the time until the action is
// sent. It does not stop Send, which detaches its context.
func (s *actionSender) withStartDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, s.deadline)
}

// place reserves capacity at an endpoint that has not been tried yet.
func (s *actionSender) place(ctx context.Context) *outcome.Refusal {
	place, refusal := s.runner.Placer.Place(ctx, caller.PlacementRequest{
		Team:     s.action.Team,
		Account:  s.action.Account,
		Pool:     s.plan.Pool,
		Priority: s.plan.Priority,
		Deadline: s.deadline,
		Exclude:  s.exclude,
	})
	if refusal != nil {
		return refusal
	}
	s.placement = place
	return nil
}

// release releases the placement, once.
func (s *actionSender) release() {
	if s.placement.Release != nil {
		s.placement.Release()
		s.placement.Release = nil
	}
}

// Send implements execution.Sender. A non-idempotent action is sent to another
// endpoint only if it certainly did not reach the previous one, or that
// endpoint reported that it did not run it.
func (s *actionSender) Send(ctx context.Context) execution.Result {
	if s.plan.NonIdempotent {
		// A caller that disconnects does not undo the action. Its answer is
		// awaited and recorded, because the caller will repeat the request.
		ctx = context.WithoutCancel(ctx)
	}
	for n := 1; ; n++ {
		reply, err := s.try(ctx)
		if n == maxAttempts || ctx.Err() != nil || !s.mayRetry(reply, err) || !s.next(ctx) {
			return s.result(reply, err)
		}
	}
}

func (s *actionSender) try(ctx context.Context) (Reply, error) {
	defer s.release()
	ctx, cancel := context.WithTimeout(ctx, s.plan.Timeout)
	defer cancel()
	s.attempt = coordination.Attempt(uuid.NewString())
	place := s.placement
	reply, err := s.runner.Client.Do(ctx, &s.evidence, Call{
		Leaving:       func() bool { return !s.runner.Placer.Serving(place.Endpoint, place.Incarnation) },
		Attempt:       s.attempt,
		Address:       s.placement.Address,
		Action:        s.action.Action,
		ContentType:   s.action.ContentType,
		Body:          s.action.Body,
		NonIdempotent: s.plan.NonIdempotent,
	})
	if reply.Leaving {
		s.runner.Placer.Leaving(s.placement.Endpoint, s.placement.Incarnation)
	}
	if reply.RetryAfter > 0 && reply.Answer.Status == http.StatusServiceUnavailable {
		s.runner.Placer.Pause(s.placement.Endpoint, s.placement.Incarnation, reply.RetryAfter)
	}
	return reply, err
}

// mayRetry reports whether another attempt is safe and may succeed. It cannot
// succeed if the service rejected the action itself, rather than being busy.
func (s *actionSender) mayRetry(reply Reply, err error) bool {
	if err == nil && !busy(reply.Answer.Status) {
		return false
	}
	return s.evidence.Outcome() == outcome.NotRun || err != nil && !s.plan.NonIdempotent
}

// next takes a retry from the budget and places another attempt. It reports
// whether both succeeded.
func (s *actionSender) next(ctx context.Context) bool {
	if !s.runner.Retries.Take(s.action.Team) {
		return false
	}
	s.exclude = append(s.exclude, s.placement.Endpoint)
	return s.place(ctx) == nil
}

// result returns the result of all attempts, given the end of the last one.
func (s *actionSender) result(reply Reply, err error) execution.Result {
	o := s.evidence.Outcome()
	if err != nil {
		return execution.Result{Outcome: o, Refusal: lostRefusal(o)}
	}
	if o == outcome.NotRun && busy(reply.Answer.Status) {
		return execution.Result{Outcome: o, Refusal: declinedRefusal(reply)}
	}
	return execution.Result{Outcome: o, Answer: &reply.Answer}
}

// answer converts the result to the answer or refusal for the caller, and logs
// refused actions and unknown outcomes.
func (s *actionSender) answer(res execution.Result) (caller.Answer, *outcome.Refusal) {
	s.log(res)
	if res.Answer == nil {
		return caller.Answer{}, res.Refusal
	}
	return caller.Answer{
		Status:      res.Answer.Status,
		ContentType: res.Answer.ContentType,
		Body:        res.Answer.Body,
		Outcome:     res.Outcome,
		Replayed:    res.Repeated,
	}, nil
}

// log logs an unknown outcome only where it arose, and not for each repeat
// that receives it from the record.
func (s *actionSender) log(res execution.Result) {
	fields := []event.Field{
		event.F("team", s.action.Team), event.F("service", s.action.Service),
		event.F("action", s.action.Action), event.F("key", s.action.Key),
		event.F("attempt", s.attempt),
	}
	switch {
	case res.Outcome == outcome.Unknown && s.attempt != "":
		s.runner.Log.Emit(event.ActionUnknown, fields...)
	case res.Outcome == outcome.NotRun && res.Refusal != nil:
		s.runner.Log.Emit(event.ActionRefused, append(fields, event.F("code", res.Refusal.Code))...)
	}
}

func busy(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// declinedRefusal returns the refusal of an action that every endpoint tried
// refused to run.
func declinedRefusal(r Reply) *outcome.Refusal {
	return &outcome.Refusal{
		Code:       outcome.Overloaded,
		Message:    "the service takes no more actions now; repeat with the same key",
		Outcome:    outcome.NotRun,
		RetryAfter: max(r.RetryAfter, defaultRetryAfter),
	}
}

func lostRefusal(o outcome.Outcome) *outcome.Refusal {
	r := &outcome.Refusal{
		Code:       outcome.EndpointLost,
		Message:    "the service was lost before it answered; the action may have run",
		Outcome:    o,
		RetryAfter: retryAfterEndpointLost,
	}
	if o == outcome.NotRun {
		r.Message = "the service could not be reached; repeat with the same key"
	}
	return r
}
