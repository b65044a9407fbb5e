package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/event"
)

// Suspect is a request, or a part of prompts, under which endpoints have ended.
type Suspect struct {
	Kind        string            `json:"kind" enum:"request,part"`
	Fingerprint string            `json:"fingerprint" doc:"Of the request; of a part its id."`
	State       string            `json:"state" doc:"clear, suspect, convicted or exempt. Requests are refused if it is convicted. An exempt one would be, but too many parts are."`
	Pool        coordination.Pool `json:"pool,omitempty" doc:"In which a part ended an endpoint first."`
	Crashes     int               `json:"crashes" doc:"Endpoints that ended."`
	Last        time.Time         `json:"last" doc:"When the last one ended."`
	Trials      int               `json:"trials" doc:"Requests that were let through to find out whether a part still ends endpoints."`
	NextTrial   *time.Time        `json:"next_trial,omitempty"`
	Expires     time.Time         `json:"expires"`
}

// SuspectServer implements the operators' API for suspects. All fields are required.
type SuspectServer struct {
	// List returns the suspects that this router knows.
	List func() []Suspect
	// Clear clears a suspect on all routers, and reports whether this one knew it.
	Clear func(ctx context.Context, kind, fingerprint string) bool
	Log   event.Log
}

// Register adds the operations to api.
func (s *SuspectServer) Register(api huma.API) {
	tags := []string{"operators"}
	huma.Register(api, huma.Operation{
		OperationID: "get-suspects", Method: http.MethodGet, Path: "/operator/v1/suspects", Tags: tags,
		Summary: "Requests and parts of prompts under which endpoints have ended",
	}, s.get)
	huma.Register(api, huma.Operation{
		OperationID: "clear-suspect", Method: http.MethodPost, Path: "/operator/v1/suspects/{kind}/{fingerprint}/clear", Tags: tags,
		Summary: "Let requests run again that are refused since endpoints have ended under them",
	}, s.clear)
}

type suspectsOutput struct {
	Body struct {
		Suspects []Suspect `json:"suspects"`
	}
}

func (s *SuspectServer) get(context.Context, *struct{}) (*suspectsOutput, error) {
	out := &suspectsOutput{}
	out.Body.Suspects = s.List()
	return out, nil
}

type clearInput struct {
	Kind        string `path:"kind" enum:"request,part"`
	Fingerprint string `path:"fingerprint" maxLength:"16" pattern:"^[0-9a-f]+$"`
	Body        struct {
		Author string `json:"author" minLength:"1" maxLength:"128"`
		Reason string `json:"reason" minLength:"1" maxLength:"1024"`
	}
}

type clearOutput struct {
	Body struct {
		Kind        string `json:"kind"`
		Fingerprint string `json:"fingerprint"`
	}
}

func (s *SuspectServer) clear(ctx context.Context, in *clearInput) (*clearOutput, error) {
	if !s.Clear(ctx, in.Kind, in.Fingerprint) {
		return nil, &Failure{Code: CodeUnknownSuspect, Message: "this router knows of no such suspect"}
	}
	s.Log.Emit(event.SuspectCleared, event.F("kind", in.Kind), event.F("fingerprint", in.Fingerprint), event.F("author", in.Body.Author), event.F("reason", in.Body.Reason))
	out := &clearOutput{}
	out.Body.Kind, out.Body.Fingerprint = in.Kind, in.Fingerprint
	return out, nil
}
