package execution

import (
	"context"

	"wisteriaspool/coordination/outcome"
)

// Result is how an action ended.
type Result struct {
	Outcome  outcome.Outcome
	Answer   *Answer          // what the endpoint answered; nil if it did not
	Refusal  *outcome.Refusal // set if Answer is nil
	Repeated bool             // taken from the record of an earlier try
}

// Sender sends an action to an endpoint.
type Sender interface {
	// Send sends the action once at most. Its outcome is NotRun only if that
	// is certain: the key is freed then, and a repeat will be sent.
	Send(ctx context.Context) Result
}

// Run runs req by s if no other try of it has run, is running, or can still
// run. Everything else is answered without s. Once ctx has ended nothing is
// sent any more.
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

// result returns the end of a finished action as a repeat gets it.
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
