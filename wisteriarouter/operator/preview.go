package operator

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"wisteriaspool/coordination"
)

// PreviewQuery names the request whose placement is asked for.
type PreviewQuery struct {
	Host    string               `query:"host" required:"true" minLength:"1" maxLength:"256"`
	Path    string               `query:"path" required:"true" minLength:"1" maxLength:"4096"`
	Account coordination.Account `query:"account" maxLength:"256" doc:"Name of the client account; it takes the place of a key."`
	Parts   string               `query:"parts" maxLength:"16384" doc:"Parts of the prompt as ID:TOKENS, separated by commas."`
	Request coordination.Attempt `query:"request" maxLength:"256" doc:"Id of the request."`
}

// PreviewCandidate is an endpoint that the router would ask for.
type PreviewCandidate struct {
	Endpoint coordination.Endpoint `json:"endpoint"`
	Zone     coordination.Zone     `json:"availability_zone"`
	Owner    coordination.Instance `json:"owner,omitempty"`
	Rank     int                   `json:"rank"`
	Cached   bool                  `json:"cached" doc:"The endpoint that has the prefix of the key cached, as a rule."`
	Skip     string                `json:"skip,omitempty" doc:"Why the router would not ask its owner; with not-reached the owner was asked for the preview only."`
	Answer   string                `json:"answer,omitempty" doc:"answered, no-answer, not-asked or not-handled. Decisions without an answer are the router's own."`
	Final    bool                  `json:"final,omitempty" doc:"The decision is that of a request without another candidate."`
	Decision string                `json:"decision,omitempty" doc:"granted, next, refused or waits"`
	Code     string                `json:"code,omitempty"`
	State    *PreviewState         `json:"state,omitempty" doc:"As its owner knows it."`
}

// PreviewState is the state of an endpoint at its owner.
type PreviewState struct {
	Load          int    `json:"load"`
	Bound         int    `json:"bound" doc:"Largest load that the bound of the pool allows."`
	Capacity      int    `json:"capacity" doc:"Requests that may be sent to it; 0 for any number."`
	Queue         int    `json:"queue"`
	WaitMs        int64  `json:"wait_ms" doc:"Expected time until the request would start if it waited."`
	Cold          bool   `json:"cold"`
	SumsAgeMs     *int64 `json:"sums_age_ms,omitempty" doc:"Missing if the sums of the pool are not known."`
	Pace          int    `json:"pace" doc:"In percent; 0 if not measured."`
	Measured      int    `json:"measured_limit" doc:"0 if not measured."`
	EstimateAgeMs int64  `json:"estimate_age_ms"`
}

// Preview is what would become of a request now.
type Preview struct {
	Route        string                `json:"route"`
	Pool         coordination.Pool     `json:"pool"`
	Key          string                `json:"key"`
	Candidates   []PreviewCandidate    `json:"candidates"`
	Endpoint     coordination.Endpoint `json:"endpoint,omitempty" doc:"That would run the request, or where it would wait."`
	Code         string                `json:"code,omitempty" doc:"Of the refusal."`
	RetryAfterMs int64                 `json:"retry_after_ms,omitempty"`
	Explanation  string                `json:"explanation"`
}

// PreviewServer implements the operators' API for previews of placements.
type PreviewServer struct {
	// Preview returns what would become of a request, or why it would not be placed.
	Preview func(ctx context.Context, q PreviewQuery) (p Preview, problem string)
}

// Register adds the operation to api.
func (s *PreviewServer) Register(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "preview-placement", Method: http.MethodGet, Path: "/operator/v1/placement", Tags: []string{"operators"},
		Summary: "Where a request would go now, and why; nothing is sent to an endpoint",
	}, s.get)
}

type previewOutput struct{ Body Preview }

func (s *PreviewServer) get(ctx context.Context, q *PreviewQuery) (*previewOutput, error) {
	p, problem := s.Preview(ctx, *q)
	if problem != "" {
		return nil, &Failure{Code: CodeNoPlacement, Message: problem}
	}
	return &previewOutput{Body: p}, nil
}
