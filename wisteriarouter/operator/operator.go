// Package operator serves the HTTP API with which operators read and change
// their teams' settings and query the status of a router.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/event"
)

// Editor reads and changes the settings of teams. *settings.Editor implements
// it.
type Editor interface {
	Put(ctx context.Context, p settings.Put) settings.Outcome
	Read(ctx context.Context, team coordination.Team) (settings.Current, bool)
}

// Replica holds the settings in force on this router. *settings.Replica
// implements it.
type Replica interface {
	Snapshot(team coordination.Team) (*settings.Snapshot, bool)
	Status() []settings.TeamStatus
}

// Peers lists the routers of the fleet, this one included, and carries calls
// between them.
type Peers interface {
	Members() []settings.Member
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
	Handle(topic string, fn func(ctx context.Context, from coordination.Instance, payload []byte) ([]byte, error))
}

// Server implements the operators' API. All fields except Log are required.
type Server struct {
	Self    coordination.Instance
	Editor  Editor
	Replica Replica
	Peers   Peers
	// Status returns the status of this router; Server fills in Settings.
	Status func() Status
	Log    event.Log
}

// maxBody limits the body of a put request, in bytes: twice the largest text, as
// JSON escapes can double it, and 8 KiB for the other fields.
const maxBody = 2*settings.MaxText + 8<<10

// Register adds the operators' operations to api and handles the in-force
// requests of other routers.
func (s *Server) Register(api huma.API) {
	s.Peers.Handle(topicInForce, s.handleInForce)
	tags := []string{"operators"}
	huma.Register(api, huma.Operation{
		OperationID: "get-settings", Method: http.MethodGet, Path: "/operator/v1/settings/{team}", Tags: tags,
		Summary: "The settings that stand in the platform, or else those in force here",
	}, s.getSettings)
	huma.Register(api, huma.Operation{
		OperationID: "put-settings", Method: http.MethodPut, Path: "/operator/v1/settings/{team}", Tags: tags,
		Summary: "Change a team's settings", MaxBodyBytes: maxBody, BodyReadTimeout: 5 * time.Second,
	}, s.putSettings)
	huma.Register(api, huma.Operation{
		OperationID: "get-settings-history", Method: http.MethodGet, Path: "/operator/v1/settings/{team}/history", Tags: tags,
		Summary: "The change records of a team, newest first",
	}, s.getHistory)
	huma.Register(api, huma.Operation{
		OperationID: "get-settings-in-force", Method: http.MethodGet, Path: "/operator/v1/settings/{team}/in-force", Tags: tags,
		Summary: "On how many routers a revision or a later one is in force",
	}, s.getInForce)
	huma.Register(api, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/operator/v1/status", Tags: tags,
		Summary: "This router, its peers, endpoints and settings",
	}, s.getStatus)
}

// Status is the status of a router.
type Status struct {
	Instance    coordination.Instance    `json:"instance"`
	Incarnation coordination.Incarnation `json:"incarnation"`
	Zone        coordination.Zone        `json:"availability_zone"`
	State       string                   `json:"state" doc:"starting, ready or stopping"`
	Started     time.Time                `json:"started"`
	InFlight    int                      `json:"in_flight" doc:"Requests being served."`
	Platform    PlatformStatus           `json:"platform"`
	Peers       []PeerStatus             `json:"peers"`
	Endpoints   []EndpointStatus         `json:"endpoints"`
	Settings    []settings.TeamStatus    `json:"settings"`
	Calls       []CallStatus             `json:"calls" doc:"By kind, as far as calls were made."`
}

// CallStatus tells how a router's calls of one kind to a peer have ended since its start.
type CallStatus struct {
	Call      string `json:"call"`
	Problem   string `json:"problem" enum:"none,failing,rejected"`
	Succeeded int    `json:"succeeded"`
	Failed    int    `json:"failed"`
	Rejected  int    `json:"rejected" doc:"Calls that the peer found wrong."`
	FailingMs int64  `json:"failing_ms" doc:"Since when none has succeeded, counted from the first failure."`
}

// PlatformStatus describes a router's connection to the platform's key-value
// service.
type PlatformStatus struct {
	Watching       bool  `json:"watching" doc:"Whether this router is one of those that watch the platform."`
	ConfirmedMsAgo int64 `json:"confirmed_ms_ago" doc:"Since when no router has heard from the platform; -1 if none ever did."`
}

// PeerStatus is the state of another router as this router sees it.
type PeerStatus struct {
	Instance coordination.Instance `json:"instance"`
	Zone     coordination.Zone     `json:"availability_zone"`
	State    string                `json:"state"`
}

// EndpointStatus is the state of an endpoint as this router sees it.
type EndpointStatus struct {
	Endpoint coordination.Endpoint `json:"endpoint"`
	Pool     coordination.Pool     `json:"pool"`
	Zone     coordination.Zone     `json:"availability_zone"`
	State    string                `json:"state"`
	Running  int                   `json:"running" doc:"As the endpoint last reported; 0 if it reports no load."`
	Capacity int                   `json:"capacity"`
	Owner    coordination.Instance `json:"owner,omitempty"`
}

type statusOutput struct{ Body Status }

func (s *Server) getStatus(context.Context, *struct{}) (*statusOutput, error) {
	st := s.Status()
	st.Settings = s.Replica.Status()
	return &statusOutput{Body: st}, nil
}
