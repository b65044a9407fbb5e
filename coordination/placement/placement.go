// Package placement selects the endpoint for each request. It keeps the load of
// every endpoint within a configured multiple of its pool's mean and returns a
// chat to the endpoint that has its context cached.
//
// Every router is an entry: it accepts requests from callers and tries the
// candidate endpoints of a chat in order ([Set.Candidates]). Some routers also
// own endpoints ([Routers.Owner]). Only the owner counts the requests of an
// endpoint and admits or rejects new ones ([Owner.Admit]). The package does no
// I/O; an [Entry] reaches owners through a [Transport].
package placement

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// State is the availability of an endpoint for new requests.
type State uint8

// The states of an endpoint. Leaving is final for an incarnation. An evacuated
// endpoint takes no new requests until its availability zone is restored.
const (
	Live State = iota
	Suspect
	Leaving
	Evacuated
)

// String returns the name of s used in logs and metrics.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Evacuated:
		return "evacuated"
	default:
		return "state-" + strconv.Itoa(int(s))
	}
}

// Descriptor describes an endpoint to the placement algorithm.
type Descriptor struct {
	ID          coordination.Endpoint
	Zone        coordination.Zone
	Pool        coordination.Pool
	Incarnation coordination.Incarnation
	State       State

	// Version is the version of the incarnation's software; empty if it is not known.
	Version coordination.SoftwareVersion

	// Capacity is the maximum number of concurrent requests. Zero means that
	// the endpoint's own report determines it.
	Capacity int

	// Weight is the endpoint's relative share of the chats of its pool. Zero
	// means 1.
	Weight float64

	// WeightFactor scales Weight, between 0 and 1, while the endpoint's cache
	// is cold or it restarts often. Zero means 1.
	WeightFactor float64

	// ColdUntil is the time until which the endpoint reports that it is cold. Zero
	// means that it does not.
	ColdUntil time.Time

	// Restored is when the evacuation of the endpoint's availability zone last
	// ended. Its endpoints may have become cold then. Zero means never.
	Restored time.Time
}

// takesRequests reports whether new requests may be placed at the endpoint.
func (d *Descriptor) takesRequests() bool { return d.State != Leaving && d.State != Evacuated }

// weight returns the effective weight of d in its pool.
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

// suspectShare is the fraction of its chats that a suspect endpoint keeps. It
// is not zero, because a partitioned router may suspect the whole pool.
const suspectShare = 1.0 / 64

// Key is the hash that places a request among the endpoints of a pool. Equal
// keys get the same candidates in the same order.
type Key uint64

// KeyOf returns the key of a chat.
func KeyOf(chat coordination.Chat) Key {
	return Key(xxhash.Sum64String(string(chat)))
}

// Hint identifies the incarnation of an endpoint that has a chat's context
// cached. It is a hash, so that it is short, reveals nothing to callers and no
// longer matches after the endpoint restarts. Zero means no hint.
type Hint uint64

// HintOf returns the hint for an incarnation of an endpoint.
func HintOf(id coordination.Endpoint, n coordination.Incarnation) Hint {
	return Hint(mix(xxhash.Sum64String(string(id)), uint64(n)))
}

// String returns h as sent to callers: 11 characters of unpadded base64url, or
// the empty string for zero.
func (h Hint) String() string {
	if h == 0 {
		return ""
	}
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(h))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// ParseHint returns the hint encoded in s, or zero if s is malformed. Callers
// may send arbitrary values; a wrong hint costs the chat only its cached
// context.
func ParseHint(s string) Hint {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != 8 {
		return 0
	}
	return Hint(binary.BigEndian.Uint64(b))
}

// mix hashes two integers into one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
