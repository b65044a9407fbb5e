// Package order keeps the model engines of a pool in the state that settings
// ask for: which model, version and adapters they have loaded and which role
// they play.
//
// One router at a time gives the orders of a pool. It holds a lease of the
// platform's service, whose fencing number goes with each order, so that an
// engine can refuse what a holder sends that was frozen past its lease. Some
// engines ignore the number; so an order is a piece of desired state, and a new
// holder gives all of them again, once at once and once more when no call of
// an earlier holder can still be on its way.
package order

import (
	"slices"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Kind is what an order asks for.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	SetVersion  Kind = "set-version"
	SetRole     Kind = "set-role"
)

// ReadsWeights reports whether carrying out k reads from the weight store, whose rate
// is limited.
func (k Kind) ReadsWeights() bool { return k != SetRole }

// Order asks an engine for one piece of its state. Giving it again changes
// nothing.
type Order struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// FencingToken is the number of a holder; a later holder has a higher one. Its
// source is the revision at which the platform granted the pool to the holder.
type FencingToken kv.Revision

// Target is one engine that orders are given to.
type Target struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Address     string
}

// Result is how the giving of one order ended.
type Result int

// The results of giving an order.
const (
	// Unknown means that no answer came; the order may be carried out.
	Unknown Result = iota
	// Taken means that the engine has taken the order.
	Taken
	// Fenced means that the engine knows a later holder.
	Fenced
	// Declined means that the engine cannot carry out the order.
	Declined
)

// String returns the name of r as logs and metrics show it.
func (r Result) String() string {
	return [...]string{"unknown", "taken", "fenced", "declined"}[r]
}

// Plan is the state that the engines of a pool should have: orders in the order
// in which they are to be given.
type Plan []Order

// Equal reports whether two plans ask for the same.
func (p Plan) Equal(q Plan) bool { return slices.Equal(p, q) }
