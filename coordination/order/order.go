// Package order keeps the model engines of a pool in the state that the
// settings ask for: which model, version and adapters they have loaded, and
// which role they play.
//
// One router at a time issues the orders of a pool. It holds a lease in the
// platform's key-value service, whose fencing token is sent with each order, so
// that an engine can refuse orders from a holder that was paused past the
// expiry of its lease. Some engines ignore the token. Orders are therefore
// idempotent pieces of desired state, and a new holder sends all of them again:
// once immediately, and once more when no call of an earlier holder can still
// be in transit.
package order

import (
	"slices"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	SetVersion  Kind = "set-version"
	SetRole     Kind = "set-role"
)

// ReadsWeights reports whether carrying out an order of kind k reads from the
// weight store, whose rate is limited.
func (k Kind) ReadsWeights() bool { return k != SetRole }

// Order asks an engine for one piece of its state. Orders are idempotent.
type Order struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// FencingToken identifies a holder of the lease; a later holder has a higher
// token. It is the revision at which the platform granted the pool to the
// holder. A holder raises it if engines have seen a higher one although it holds
// the lease, as after a restore of the platform from a copy.
type FencingToken kv.Revision

// Target is an engine that orders are sent to.
type Target struct {
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Address     string
}

// Result is the result of sending one order.
type Result int

// Results of sending an order.
const (
	// Unknown means that no answer arrived; the order may be carried out.
	Unknown Result = iota
	// Taken means that the engine accepted the order.
	Taken
	// Fenced means that the engine has seen a higher fencing token.
	Fenced
	// Declined means that the engine cannot carry out the order.
	Declined
)

// String returns the name of r as used in logs and metrics.
func (r Result) String() string {
	return [...]string{"unknown", "taken", "fenced", "declined"}[r]
}

// Plan is the desired state of the engines of a pool. Its orders are sent in
// sequence.
type Plan []Order

// Equal reports whether both plans contain the same orders in the same
// sequence.
func (p Plan) Equal(q Plan) bool { return slices.Equal(p, q) }
