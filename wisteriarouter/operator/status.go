package operator

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
)

// StatusServer implements the operators' API for the status of a router without teams.
type StatusServer struct {
	Status func() Status
}

// Register adds the operation to api.
func (s *StatusServer) Register(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/operator/v1/status", Tags: []string{"operators"},
		Summary: "This router, its peers, endpoints and calls",
	}, s.get)
}

func (s *StatusServer) get(context.Context, *struct{}) (*statusOutput, error) {
	return &statusOutput{Body: s.Status()}, nil
}
