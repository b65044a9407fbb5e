package relay

import (
	"net/http"
	"net/url"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
)

// PreviewRequest names a request whose placement an operator asks for.
type PreviewRequest struct {
	Host    string
	Path    string
	Account coordination.Account // empty for a request without a key
	Parts   string               // of the prompt, as callers write them
	Attempt coordination.Attempt
}

// PreviewProblem is why a request would be refused before it is placed; empty if it would not.
type PreviewProblem string

// The problems of a request.
const (
	NoState        PreviewProblem = "no desired state is known yet"
	NoRoute        PreviewProblem = "no route serves this host and path"
	UnknownAccount PreviewProblem = "no account has this name"
	KeyRequired    PreviewProblem = "the route requires an account"
	InvalidParts   PreviewProblem = "the parts are not of the form ID:TOKENS,..."
)

// Preview returns the name of the route and the placement that a request would need, with
// the functions that serve requests. Nothing is counted.
func (s *Server) Preview(p PreviewRequest) (string, PlacementRequest, PreviewProblem) {
	h := platform.RequestHeader(p.Attempt, p.Parts)
	r := &http.Request{Host: p.Host, URL: &url.URL{Path: p.Path}, Header: h}
	x := &exchange{server: s, r: r, arrived: time.Now(), metadata: platform.DecodeRequest(h)}
	if x.table = s.Desired.Table(); x.table == nil {
		return "", PlacementRequest{}, NoState
	}
	if !x.useRoute() {
		return "", PlacementRequest{}, NoRoute
	}
	if p.Parts != "" && len(x.metadata.Parts) == 0 {
		return x.route.Name, PlacementRequest{}, InvalidParts
	}
	if problem := x.previewAccount(p.Account); problem != "" {
		return x.route.Name, PlacementRequest{}, problem
	}
	return x.route.Name, x.placementRequest(), ""
}

// previewAccount sets the account by its name instead of a key.
func (x *exchange) previewAccount(name coordination.Account) PreviewProblem {
	switch {
	case x.table.Accounts == nil, x.route.Public && name == "":
		return ""
	case name == "":
		return KeyRequired
	}
	key, ok := lo.FindKeyBy(x.table.Accounts, func(_ route.Key, t route.Tenant) bool { return t.Account == name })
	if !ok {
		return UnknownAccount
	}
	x.useTenant(x.table.Accounts[key])
	return ""
}
