package execution

import (
	"context"

	"wisteriaspool/coordination/outcome"
)

// Result is the result of an action.
type Result struct {
	Outcome  outcome.Outcome
	Answer   *Answer          // response of the endpoint; nil if there is none
	Refusal  *outcome.Refusal // set if Answer is nil
	Repeated bool             // taken from the record of an earlier attempt
}

// Sender sends an action to an endpoint.
type Sender interface {
	// Send sends the action at most once. It may return the outcome NotRun only
	// if it is certain that the action did not and will not run: the key is
	// then freed, and a repeat is sent.
	Send(ctx context.Context) Result
}

// Run runs req through s if no other attempt has run it, is running it, or can
// still run it. Otherwise it returns the result without calling s. Nothing is
// sent after ctx has ended.
func (l *Ledger) Run(ctx context.Context, req Request, s Sender) Result {
	d := l.Begin(ctx, req)
	switch d.Verdict {
	case Execute:
		return l.dispatch(ctx, d.Token, s)
	case Done:
		return d.Record.result()
	default:
		return Result{Outcome: d.Refusal.Outcome, Refusal: d.Refusal}
	}
}

func (l *Ledger) dispatch(ctx context.Context, t *Token, s Sender) Result {
	if ctx.Err() != nil || !t.Dispatch() {
		l.cfg.Observe(NotDispatched)
		l.Abandon(t)
		return Result{Outcome: outcome.NotRun, Refusal: tooLate()}
	}
	settled := false
	defer func() {
		if !settled { // s panicked: it may have sent the action
			l.Finish(t, outcome.Unknown, nil)
		}
	}()
	res := s.Send(ctx)
	settled = true
	if res.Outcome == outcome.NotRun {
		l.Abandon(t)
		return res
	}
	l.Finish(t, res.Outcome, res.Answer)
	return res
}

// result returns the result of a finished action for a repeat.
func (r Record) result() Result {
	res := Result{Outcome: r.Outcome, Answer: r.Answer, Repeated: true}
	switch {
	case r.Answer == nil:
		res.Refusal = lostAnswer()
	case r.Answer.NotKept:
		res.Answer = nil
		res.Refusal = answerNotKept()
		res.Refusal.Outcome = r.Outcome
	}
	return res
}
