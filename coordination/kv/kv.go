// Package kv describes the platform's key-value service as its clients see it:
// compare-and-swap, leases and watches. A reply can be lost after the write
// took effect.
package kv

import (
	"context"
	"time"
)

// Revision numbers the writes to the service. It increases with every write,
// across all keys. Zero means that a key does not exist.
//
// A service that has been restored from a copy gives out the numbers since then
// again. Its era, in the upper bits, orders revisions all the same: any revision
// of a later era is greater.
type Revision int64

// Era counts how often the service has been restored from a copy. It is zero if
// the service does not tell.
type Era int32

// numberBits is the width of a number within an era.
const numberBits = 40

const (
	// MaxNumber is the largest number of a revision within an era.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the latest era.
	MaxEra Era = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision with a number, at most MaxNumber, in an era, at
// most MaxEra.
func NewRevision(era Era, n int64) Revision { return Revision(int64(era)<<numberBits | n) }

// ValidNumber reports whether n can be the number of a revision. A service may give greater
// numbers, which a Revision does not hold: they have to be refused, as it would cut them.
func ValidNumber(n int64) bool { return 0 <= n && n <= MaxNumber }

// Era returns the era in which r was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number of r within its era, as the service knows it.
func (r Revision) Number() int64 { return int64(r & MaxNumber) }

// Lease identifies a lease. The zero value means no lease. Number is as the service
// gave it, which may be any positive number.
type Lease struct {
	Era    Era // in which it was granted
	Number int64
}

// IsZero reports whether l is no lease.
func (l Lease) IsZero() bool { return l == Lease{} }

// Pair is a key with its value and the revision of its last write.
type Pair struct {
	Key      string
	Value    []byte
	Revision Revision // of the last write to the key
	Lease    Lease
}

// Status is the outcome of a call to the service.
type Status int

// The outcomes of a call.
const (
	// Unknown means that no reply was received. A write may have taken effect.
	Unknown Status = iota
	// Applied means that the call took effect or, for a read, was answered.
	Applied
	// Conflict means that the comparison failed and nothing was written.
	Conflict
	// Unavailable means that the call did not take effect: the service refused
	// it, or no connection could be made.
	Unavailable
	// Throttled means that the service or the client's own rate limit rejected
	// the call before it took effect.
	Throttled
	// Rejected means that the call did not take effect as the service found it to
	// be wrong: another call like it will not succeed either.
	Rejected
)

// String returns the name of s that logs and metrics use.
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
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Result is the result of a call.
type Result struct {
	Status   Status
	Revision Revision // of the write, or of the service at the time of the read
	Pairs    []Pair   // the pairs read; on Conflict, the current pair
	// TTL is for how long a lease was granted, which may be more or less than was asked
	// for. Zero if the service does not tell.
	TTL time.Duration
	Err error // details for logs if Status is neither Applied nor Conflict
}

// Event is one change reported by a watch.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Batch is a set of events delivered together. Gap means that changes before
// these events may have been missed, so that the watcher has to list the keys
// again.
type Batch struct {
	Events   []Event
	Revision Revision
	Gap      bool
}

// Store is the interface of the service. The adapter in wisteriarouter/platform
// and the fake in kvtest implement it. Clients declare interfaces with only the
// methods that they need.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) Result
	// List reads all keys that start with prefix.
	List(ctx context.Context, prefix string) Result
	// CompareAndSwap writes value if the revision of the key is expect. Zero
	// expects that the key does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease Lease) Result
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect Revision) Result
	// Grant creates a lease that expires after ttl unless KeepAlive renews it. The
	// service may apply another time, the TTL of the result.
	Grant(ctx context.Context, ttl time.Duration) (Lease, Result)
	// KeepAlive renews the lease.
	KeepAlive(ctx context.Context, lease Lease) Result
	// Watch reports changes under prefix after revision from. It closes the
	// channel when ctx ends or the connection breaks.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan Batch, Result)
}
