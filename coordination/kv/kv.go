// Package kv describes the platform's key-value service as the fleet uses it:
// compare-and-swap, leases and watches, with answers that can be lost after
// the write took effect.
package kv

import (
	"context"
	"time"
)

// Revision is the service's global, rising revision of a write. Zero means
// that a key does not exist.
type Revision int64

// Lease identifies a lease of the service. Zero means no lease.
type Lease int64

// Pair is a key with its value.
type Pair struct {
	Key      string
	Value    []byte
	Revision Revision // of the last write to the key
	Lease    Lease
}

// Status tells how a call to the service ended.
type Status int

// The ways in which a call ends.
const (
	// Unknown means that no answer came: a write may have taken effect.
	Unknown Status = iota
	// Applied means that the call took effect, or that a read was answered.
	Applied
	// Conflict means that the comparison failed and nothing was written.
	Conflict
	// Unavailable means that the call certainly never took effect: the
	// service refused it, or no connection to it could be made.
	Unavailable
	// Throttled means that the service or our own call budget refused the
	// call for its rate, before it took effect.
	Throttled
)

// String returns the name of s as logs and metrics show it.
func (s Status) String() string {
	switch s {
	case Applied:
		return "applied"
	case Conflict:
		return "conflict"
	case Unavailable:
		return "unavailable"
	case Throttled:
		return "throttled"
	default:
		return "unknown"
	}
}

// Result is the outcome of a call.
type Result struct {
	Status   Status
	Revision Revision // of the write, or of the service at the read
	Pairs    []Pair   // what was read; on Conflict, what stands there now
	Err      error    // detail for logs when Status is not Applied or Conflict
}

// Event is one change that a watch reports.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Batch is what a watch delivers at a time. Gap means that revisions before
// these events may have been missed, so the watcher has to read again.
type Batch struct {
	Events   []Event
	Revision Revision
	Gap      bool
}

// Store is the service as the adapter in wisteriarouter/platform and the fake
// in kvtest offer it. Users of the service declare the part that they need.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) Result
	// List reads all keys that start with prefix.
	List(ctx context.Context, prefix string) Result
	// CompareAndSwap writes value if the key's revision is expect; zero
	// expects that the key does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease Lease) Result
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect Revision) Result
	// Grant makes a lease that lapses after ttl without KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (Lease, Result)
	// KeepAlive renews the lease.
	KeepAlive(ctx context.Context, lease Lease) Result
	// Watch reports changes under prefix after revision from, until ctx ends
	// or the connection breaks; it then closes the channel.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan Batch, Result)
}
