package caller

import (
	"bytes"
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
)

// Action is one call of an action of a plain service.
type Action struct {
	Team        coordination.Team
	Account     coordination.Account
	Service     coordination.Service
	Action      coordination.Action
	Key         string // Idempotency-Key, empty if the caller sent none
	IssuedAt    string // X-Issued-At, unparsed
	Priority    coordination.Priority
	Deadline    time.Time // latest start; zero for none
	Body        []byte
	ContentType string // Content-Type of the body
}

// Answer is the response of a plain service.
type Answer struct {
	Status      int
	ContentType string // Content-Type of the body
	Body        []byte
	Outcome     outcome.Outcome
	Replayed    bool // recorded answer of an earlier run with the same key
}

// Actions runs actions of plain services.
type Actions interface {
	// Run returns the answer of the service, or the refusal to send to the
	// caller.
	Run(ctx context.Context, a Action) (Answer, *outcome.Refusal)
}

// headerReplay marks the recorded answer of an earlier run with the same key.
const headerReplay = "X-Idempotent-Replay"

// actionInput is an action request as decoded by huma.
type actionInput struct {
	Service    string `path:"service" doc:"Plain service."`
	Action     string `path:"action" doc:"Action of the service."`
	Team       string `header:"X-Team" doc:"Team whose settings serve the request. Required."`
	Account    string `header:"X-Client-Account" doc:"Client account. Required."`
	Key        string `header:"Idempotency-Key" maxLength:"200" doc:"Required for a non-idempotent action. A UUIDv7, or any key with X-Issued-At."`
	IssuedAt   string `header:"X-Issued-At" doc:"RFC 3339 time at which the key was made."`
	Priority   int    `header:"X-Priority" doc:"Higher goes first."`
	DeadlineMs int    `header:"X-Deadline-Ms" minimum:"0" doc:"Milliseconds in which the action must start."`
	Type       string `header:"Content-Type"`
	RawBody    []byte
}

func (in *actionInput) action() Action {
	a := Action{
		Team:     coordination.Team(in.Team),
		Account:  coordination.Account(in.Account),
		Service:  coordination.Service(in.Service),
		Action:   coordination.Action(in.Action),
		Key:      in.Key,
		IssuedAt: in.IssuedAt,
		Priority: coordination.Priority(in.Priority),
		// The body is copied because huma reuses its buffer for another
		// request once the handler returns, while the rest of it may still be
		// being sent to a service that answered early.
		Body:        bytes.Clone(in.RawBody),
		ContentType: in.Type,
	}
	if in.DeadlineMs > 0 {
		a.Deadline = time.Now().Add(time.Duration(in.DeadlineMs) * time.Millisecond)
	}
	return a
}

func (s *Server) runAction(_ context.Context, in *actionInput) (*huma.StreamResponse, error) {
	if r := s.refuseWhenStopping(); r != nil {
		return s.refused("action", r), nil
	}
	if in.Team == "" {
		return s.refused("action", refuse(outcome.UnknownTeam, "the X-Team header is missing")), nil
	}
	if in.Account == "" {
		return s.refused("action", refuse(outcome.MissingAccount, "the X-Client-Account header is missing")), nil
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		_, w := humago.Unwrap(ctx)
		s.serveAction(ctx.Context(), in.action(), newWriter(w, s.Limits.WriteTimeout))
	}}, nil
}

func (s *Server) serveAction(ctx context.Context, a Action, w writer) {
	s.Metrics.inFlight.Inc()
	defer s.Metrics.inFlight.Dec()
	ans, refusal := s.Actions.Run(ctx, a)
	if refusal != nil {
		s.Metrics.requestEnded("action", refusal.Outcome, string(refusal.Code))
		w.refuse(refusal)
		return
	}
	s.Metrics.requestEnded("action", ans.Outcome, "")
	h := w.w.Header()
	h.Set(outcome.Header, ans.Outcome.String())
	if ans.ContentType != "" {
		h.Set("Content-Type", ans.ContentType)
	}
	if ans.Replayed {
		h.Set(headerReplay, "true")
	}
	w.w.WriteHeader(ans.Status)
	_ = w.write(ans.Body)
}
