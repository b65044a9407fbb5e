// Package placement decides which endpoint runs a request, so that no endpoint
// carries more than a set multiple of the mean load of its pool and a chat
// that returns finds its earlier context still cached.
//
// Every router is an entry: it takes requests from callers and walks the
// candidate endpoints of a chat ([Set.Candidates]). Some routers own endpoints
// ([Routers.Owner]): the owner alone counts the requests of an endpoint and
// grants or declines each new one ([Owner.Admit]). The package does no I/O; an
// [Entry] reaches owners through a [Transport].
package placement

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// State is what is known of an endpoint's willingness to take new work.
type State uint8

// The states of an endpoint. Leaving is final for an incarnation.
const (
	Live State = iota
	Suspect
	Leaving
)

// String returns the name of s as logs and metrics show it.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "state-" + strconv.Itoa(int(s))
	}
}

// Descriptor describes an endpoint to the placement decisions.
type Descriptor struct {
	ID          coordination.Endpoint
	Zone        coordination.Zone
	Pool        coordination.Pool
	Incarnation coordination.Incarnation
	State       State

	// Capacity is the number of requests that the endpoint may run at a time.
	// Zero leaves that to the endpoint's own report.
	Capacity int

	// Weight is the endpoint's share of chats against the others of its pool.
	// Zero means 1.
	Weight float64

	// WeightFactor scales Weight while the endpoint's cache is cold or its
	// membership unsteady, between 0 and 1. Zero means 1.
	WeightFactor float64
}

// weight returns the effective weight of d among the endpoints of its pool.
func (d *Descriptor) weight() float64 {
	w := d.Weight
	if w <= 0 {
		w = 1
	}
	if d.WeightFactor > 0 && d.WeightFactor < 1 {
		w *= d.WeightFactor
	}
	if d.State == Suspect {
		w *= suspectShare
	}
	return w
}

// suspectShare is the share of its chats that an endpoint keeps while its
// death is suspected: small, but not nothing, since the whole pool may be
// suspected by a router that is itself cut off.
const suspectShare = 1.0 / 64

// Key places a request among the endpoints of a pool: equal keys meet the
// same candidates in the same order.
type Key uint64

// KeyOf returns the key of a chat.
func KeyOf(chat coordination.Chat) Key {
	return Key(xxhash.Sum64String(string(chat)))
}

// Hint names the incarnation of an endpoint where a chat is warm. It is a hash,
// so that it is short, tells a caller nothing and is simply not found once the
// endpoint has restarted. Zero names none.
type Hint uint64

// HintOf returns the hint for an incarnation of an endpoint.
func HintOf(id coordination.Endpoint, n coordination.Incarnation) Hint {
	return Hint(mix(xxhash.Sum64String(string(id)), uint64(n)))
}

// String returns h as callers see and echo it: 11 characters, or none for zero.
func (h Hint) String() string {
	if h == 0 {
		return ""
	}
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(h))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// ParseHint returns the hint that s spells, or zero: a caller may send
// anything, and a hint that says nothing costs the chat only its cache.
func ParseHint(s string) Hint {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != 8 {
		return 0
	}
	return Hint(binary.BigEndian.Uint64(b))
}

// mix hashes two words into one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
