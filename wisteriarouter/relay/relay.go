// Package relay serves callers over plain HTTP/1.1: it finds the route of a
// request in the operators' desired state, has it placed at an endpoint, and
// hands the endpoint's answer back as it is. What may be repeated, when to give
// up and what to tell the caller is decided here; how much an endpoint may
// carry is decided by package placement.
package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/upstream"
)

// Want describes the place that an attempt needs.
type Want struct {
	Pool     coordination.Pool
	Key      string // of what the request shares with others; equal keys prefer the same endpoint
	Account  coordination.Account
	Priority coordination.Priority
	Start    time.Time // by when the request has to start
	Exclude  []coordination.Endpoint
	Cached   bool // endpoints keep what the request shares with others
	Alone    bool // the request is suspected of crashing endpoints
}

// Place is a granted place at an endpoint. Release gives it back and may be
// called again.
type Place struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Address     string
	// Rank is the endpoint's place in the order in which requests with this
	// key try endpoints; 0 is the one that has their shared parts cached.
	Rank int
	// Cache is the address of another endpoint that is likely to have the
	// request's shared parts cached while this one has not; empty if there is
	// none.
	Cache   string
	Release func()
}

// Placer grants places.
type Placer interface {
	// Place returns a place for an attempt, or the final refusal.
	Place(ctx context.Context, w Want) (Place, *outcome.Refusal)
	// Dead takes in that an endpoint cannot be reached.
	Dead(e coordination.Endpoint, n coordination.Incarnation)
}

// Desired is the operators' desired state in force.
type Desired interface {
	// Table returns the present table, or nil before the first.
	Table() *route.Table
	// Age returns how long ago the store confirmed what this router knows.
	Age() time.Duration
}

// Retries limits second attempts to a share of each pool's requests.
type Retries interface {
	// Request counts a request.
	Request(p coordination.Pool)
	// Take reports whether one more attempt may be made, and counts it.
	Take(p coordination.Pool) bool
}

// Sender sends requests to endpoints.
type Sender interface {
	Send(ctx context.Context, address string, r *upstream.Request) (*upstream.Response, error)
	// Alive reports whether an endpoint takes connections.
	Alive(ctx context.Context, address string) bool
}

// Server answers callers.
type Server struct {
	Desired  Desired
	Placer   Placer
	Sender   Sender
	Retries  Retries
	Suspects Suspects // nil if requests are not followed
	Log      event.Log
	Metrics  *Metrics
	Stopping func() bool // reports whether the router is about to stop
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.Stopping != nil && s.Stopping() {
		// The caller's next request goes to another router.
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, w: w, r: r, arrived: arrived, asked: platform.DecodeRequest(r.Header)}
	x.serve()
}

// retryAfterState is when a caller may come back to a router that has no
// desired state yet. A router that starts reads it within some 50 ms.
const retryAfterState = 200 * time.Millisecond
