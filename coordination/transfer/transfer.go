// Package transfer decides which chats' KV caches are moved away from an engine
// that is shutting down as planned, so that the chats find them at the engine
// that serves their next request.
//
// A [Plan] holds the decisions for one leaving engine. It does no I/O and
// starts no goroutines: the router feeds it the engine's cache events, asks it
// for the next step, and reports the result of each move. All of its state is
// soft: a chat that is not moved only has its prompt computed again.
package transfer

import (
	"time"

	"wisteriaspool/coordination"
)

// Sequence numbers the cache events of one incarnation of an engine.
type Sequence uint64

// Kind is the kind of a cache event.
type Kind string

// Kinds of cache events. Events of other kinds are ignored.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is a report of an engine that the KV cache of a chat was stored or
// completely evicted.
type Event struct {
	Seq  Sequence          `json:"seq"`
	Chat coordination.Chat `json:"chat"`
	Kind Kind              `json:"kind"`
}

// Config configures a plan. Fields that are zero take their default.
type Config struct {
	// Bandwidth is the rate at which data may be moved away from one leaving
	// engine, in bytes a second; default 1.25e9, a link of 10 Gbit/s. Moves are
	// also assumed to run at this rate when they are compared with recomputing.
	Bandwidth float64

	// MaxConcurrent is the maximum number of chats being moved at a time,
	// default 2.
	MaxConcurrent int

	// Window is the maximum time for which chats are moved away from an engine,
	// default 30 s. The engine may be gone long before.
	Window time.Duration

	// PrefillPerToken is the time that an engine takes to compute one token of
	// a prompt, default 200 µs.
	PrefillPerToken time.Duration

	// BytesPerToken is the size of the KV cache of one token, default 128 KiB.
	BytesPerToken int

	// Overhead is the fixed time of a move, in addition to the transfer of its
	// bytes; default 5 ms.
	Overhead time.Duration

	// MoveTimeout is the maximum duration of one move, default 2 s. It bounds
	// the delay of the shutdown of an engine that waits for its open
	// connections, which only a move still in progress when everything else has
	// ended can cause.
	MoveTimeout time.Duration

	// Bound is the multiple of the mean load, rounded up, above which an engine
	// receives no chats; default 1.1. This is below the load bound of
	// placement, since a moved chat brings its next request along.
	Bound float64

	// CapacityShare is the share of its capacity above which an engine receives
	// no chats, default 0.8.
	CapacityShare float64

	// Interval is the time between two reads of cache events, default 250 ms.
	Interval time.Duration

	// MaxFailures is the number of consecutive failures after which the engine
	// is considered gone, default 3.
	MaxFailures int
}

// WithDefaults returns c with zero fields set to their defaults.
func (c Config) WithDefaults() Config {
	setFloat(&c.Bandwidth, 1.25e9)
	setInt(&c.MaxConcurrent, 2)
	setDuration(&c.Window, 30*time.Second)
	setDuration(&c.PrefillPerToken, 200*time.Microsecond)
	setInt(&c.BytesPerToken, 128<<10)
	setDuration(&c.Overhead, 5*time.Millisecond)
	setDuration(&c.MoveTimeout, 2*time.Second)
	setFloat(&c.Bound, 1.1)
	setFloat(&c.CapacityShare, 0.8)
	setDuration(&c.Interval, 250*time.Millisecond)
	setInt(&c.MaxFailures, 3)
	return c
}

// reservedShare is the share of the margin between the mean load and the load
// bound of placement that moves leave free for requests.
const reservedShare = 0.6

// WithPlacementBound returns c with Bound lowered to fit a pool whose load
// bound of placement is bound. A bound of 1 or less, such as zero for an
// unknown one, leaves c unchanged.
func (c Config) WithPlacementBound(bound float64) Config {
	if bound > 1 {
		c.Bound = min(c.Bound, 1+(1-reservedShare)*(bound-1))
	}
	return c
}

func setFloat(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}

func setInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// Worthwhile reports whether moving a KV cache of size bytes takes less time
// than recomputing its tokens and fits within MoveTimeout. A negative size
// means unknown; the cache of a long chat is then assumed.
func (c Config) Worthwhile(size int64) bool {
	perToken := c.linkTime(int64(c.BytesPerToken))
	if size < 0 {
		return perToken < c.PrefillPerToken
	}
	move := c.Overhead + c.linkTime(size)
	computing := time.Duration(size/int64(c.BytesPerToken)) * c.PrefillPerToken
	// The bytes are transferred twice: to the router and from it.
	return move < computing && move+c.linkTime(size) < c.MoveTimeout
}

// linkTime returns the time that a transfer of bytes takes at Bandwidth.
func (c Config) linkTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / c.Bandwidth * float64(time.Second))
}
