// Package transfer decides which chats' KV caches are moved away from an
// engine that is leaving as planned, so that the chats find them at the engine
// which takes their next request.
//
// A [Plan] holds the decisions for one leaving engine. It does no I/O and
// starts nothing: the router reads the engine's cache events into it, asks it
// for the next step and tells it what became of each move. All of it is soft
// state. A chat that is not moved has its prompt computed anew, nothing else.
package transfer

import (
	"time"

	"wisteriaspool/coordination"
)

// Sequence numbers the cache events of one life of an engine.
type Sequence uint64

// Kind tells what a cache event is about.
type Kind string

// The kinds of cache events. Others are ignored.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is an engine's word that the KV cache of a chat was stored, or that
// nothing of it is left.
type Event struct {
	Seq  Sequence          `json:"seq"`
	Chat coordination.Chat `json:"chat"`
	Kind Kind              `json:"kind"`
}

// Config holds the settings of a plan. A zero field means its default.
type Config struct {
	// Bandwidth is the bytes a second that may be moved away from one leaving
	// engine, default 1.25e9: a link of 10 Gbit/s. It is also the rate that a
	// move is taken to have when it is compared with computing.
	Bandwidth float64

	// MaxConcurrent is the number of chats on their way at a time, default 2.
	MaxConcurrent int

	// Window is the longest time for which chats are moved away from an
	// engine, default 30 s. The engine may be gone long before.
	Window time.Duration

	// PrefillPerToken is the time in which an engine computes one token of a prompt,
	// default 200 µs.
	PrefillPerToken time.Duration

	// BytesPerToken is the size of the KV cache of one token, default 128 KiB.
	BytesPerToken int

	// Overhead is the time that a move takes besides its bytes, default 5 ms.
	Overhead time.Duration

	// MoveTimeout is the longest time of one move, default 2 s. An engine whose
	// process waits for its open connections is held up by at most that, and
	// only by a move that was under way when everything else had ended.
	MoveTimeout time.Duration

	// Bound is the multiple of the mean load, rounded up, above which an engine
	// gets no chats; default 1.1, which is below the bound of placement, since
	// a moved chat brings its next request along.
	Bound float64

	// CapacityShare is the part of its capacity above which an engine gets no
	// chats, default 0.8.
	CapacityShare float64

	// Interval is the time between two reads of cache events, default 250 ms.
	Interval time.Duration

	// MaxFailures is the number of failures in a row behind which the engine is
	// taken to have gone, default 3.
	MaxFailures int
}

// WithDefaults returns c with the zero fields filled in.
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

// reservedShare is the part of the room between the mean load and the bound of
// placement that moves leave to requests.
const reservedShare = 0.6

// WithPlacementBound returns c for a pool with that bound of placement; zero says nothing.
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

// Worthwhile reports whether moving a KV cache of that many bytes takes less time
// than computing its tokens, and can be done in time. If the size is not known,
// it is below zero, and the cache of a long chat is assumed.
func (c Config) Worthwhile(size int64) bool {
	perToken := c.linkTime(int64(c.BytesPerToken))
	if size < 0 {
		return perToken < c.PrefillPerToken
	}
	move := c.Overhead + c.linkTime(size)
	computing := time.Duration(size/int64(c.BytesPerToken)) * c.PrefillPerToken
	// The bytes pass the link twice: to the router and from it.
	return move < computing && move+c.linkTime(size) < c.MoveTimeout
}

// linkTime returns the time that bytes take on the link.
func (c Config) linkTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / c.Bandwidth * float64(time.Second))
}
