package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// The topics of the messages between entries and owners.
const (
	TopicAdmit    = "place-admit"
	TopicRelease  = "place-release"
	TopicRegister = "place-register"
	TopicSum      = "place-sum"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("placement")

// ErrMalformed is the type of the error for a message that cannot be decoded.
var ErrMalformed = Errors.NewType("malformed")

// Sequence numbers the requests of one incarnation of an entry, from 1.
type Sequence uint64

// EntryID names one incarnation of an entry.
type EntryID struct {
	_           struct{} `cbor:",toarray"`
	Instance    coordination.Instance
	Incarnation coordination.Incarnation
}

// GrantID names a grant for as long as anybody remembers it. The entry makes
// it, so that asking, registering and releasing are idempotent.
type GrantID struct {
	Entry    EntryID
	Sequence Sequence
}

// Millis is a span of time in milliseconds.
type Millis uint32

// AdmitRequest asks the owner of an endpoint for a grant.
type AdmitRequest struct {
	Entry       EntryID                  `cbor:"1,keyasint"`
	Sequence    Sequence                 `cbor:"2,keyasint"`
	Endpoint    coordination.Endpoint    `cbor:"3,keyasint"`
	Incarnation coordination.Incarnation `cbor:"4,keyasint,omitempty"` // of the endpoint
	Account     coordination.Account     `cbor:"5,keyasint,omitempty"`
	Priority    coordination.Priority    `cbor:"6,keyasint,omitempty"`

	// Deadline is the time left in which the request must start. Zero means
	// no deadline of its own.
	Deadline Millis `cbor:"7,keyasint,omitempty"`

	// Wait is how long the owner may hold the request back for this endpoint
	// rather than answer Next: because the chat is warm there, or because no
	// other candidate is left.
	Wait Millis `cbor:"8,keyasint,omitempty"`

	// Final says that the entry has no other candidate: the request is queued
	// or refused, never passed on.
	Final bool `cbor:"9,keyasint,omitempty"`

	// Isolated says that the request is suspected of crashing endpoints, so that
	// no other suspect may run beside it.
	Isolated bool `cbor:"10,keyasint,omitempty"`

	// Releases are grants of this entry that have ended, at any endpoint of
	// this owner.
	Releases []Release `cbor:"11,keyasint,omitempty"`

	// NonRetryable says that a failure of the request could not be mended by another
	// attempt, so that it keeps away from endpoints in doubt.
	NonRetryable bool `cbor:"12,keyasint,omitempty"`

	// AllowOutlier says that so much of the pool is in doubt that the request is to
	// be placed there all the same.
	AllowOutlier bool `cbor:"13,keyasint,omitempty"`

	// Evidence tells for each of Releases what the request showed of its endpoint.
	// It is empty if none showed anything.
	Evidence []outlier.Weight `cbor:"14,keyasint,omitempty"`

	// Target is the time left until the answer has to begin to be on time. Zero
	// means no objective.
	Target Millis `cbor:"15,keyasint,omitempty"`
}

// Decision is an owner's answer to a request for a grant.
type Decision uint8

// The decisions of an owner.
const (
	Refused Decision = iota
	Granted
	Next // try the next candidate
)

// String returns the name of d as logs and metrics show it.
func (d Decision) String() string {
	switch d {
	case Granted:
		return "granted"
	case Next:
		return "next"
	default:
		return "refused"
	}
}

// Code tells why a request got no grant.
type Code uint8

// The codes of refusals and of Next.
const (
	None            Code = iota
	Overloaded           // no capacity, and no room in the queue
	Deadline             // cannot start in time
	EndpointLeaving      // the endpoint is leaving
	Poison               // convicted of crashing endpoints
	NotOwner             // the asked router does not own the endpoint
	OverBound            // the endpoint carries its multiple of the mean
	Full                 // the endpoint runs as many as it can
	Settling             // a new owner does not yet know what the endpoint runs
	Cancelled            // the entry has released the request already
	Unreachable          // the owner could not be reached, and the fallback declined
	EndpointLost         // the endpoint has died, restarted or is unknown
	NoKnownEndpoint      // the pool has no endpoint that is known
	Outlier              // the endpoint fails requests that others of its pool serve
)

var codeNames = [...]string{
	None: "none", Overloaded: "overloaded", Deadline: "deadline", EndpointLeaving: "leaving",
	Poison: "poison", NotOwner: "not-owner", OverBound: "over-bound", Full: "full",
	Settling: "settling", Cancelled: "cancelled", Unreachable: "unreachable", EndpointLost: "endpoint-lost",
	NoKnownEndpoint: "no-endpoint-known", Outlier: "outlier",
}

// String returns the name of c as logs, metrics and callers see it.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// AdmitReply answers an AdmitRequest.
type AdmitReply struct {
	Decision Decision `cbor:"1,keyasint,omitempty"`
	Code     Code     `cbor:"2,keyasint,omitempty"`

	// RetryAfter is when to come back after a refusal, or the expected wait in
	// the queue of the endpoint with Next.
	RetryAfter Millis `cbor:"3,keyasint,omitempty"`

	// Owner is the router that owns the endpoint, if the asked one does not.
	Owner coordination.Instance `cbor:"4,keyasint,omitempty"`

	// Limit is what the endpoint may run now. An entry that later cannot reach
	// the owner decides by it.
	Limit int `cbor:"5,keyasint,omitempty"`
}

// Release ends a grant, or a request that is still queued.
type Release struct {
	_        struct{} `cbor:",toarray"`
	Endpoint coordination.Endpoint
	Sequence Sequence
	// Evidence is what the request showed of its endpoint. It travels beside the
	// releases, since older routers know a release by its two fields.
	Evidence outlier.Weight `cbor:"-"`
}

// Notice tells what a request shows of its endpoint while it still runs there.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint coordination.Endpoint
	Sequence Sequence
	Evidence outlier.Weight
}

// LostEndpoint names an incarnation of an endpoint that an entry found dead.
type LostEndpoint struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
}

// lostOf returns the name of a dead incarnation of an endpoint.
func lostOf(d *Descriptor) LostEndpoint {
	return LostEndpoint{Endpoint: d.ID, Incarnation: d.Incarnation}
}

// ReleaseBatch ends grants of one entry, and tells of endpoints that it found
// dead.
type ReleaseBatch struct {
	Entry    EntryID        `cbor:"1,keyasint"`
	Releases []Release      `cbor:"2,keyasint,omitempty"`
	Lost     []LostEndpoint `cbor:"3,keyasint,omitempty"`
	// Evidence is as in AdmitRequest.
	Evidence []outlier.Weight `cbor:"4,keyasint,omitempty"`
	Notices  []Notice         `cbor:"5,keyasint,omitempty"`
}

// ReleaseReply answers a ReleaseBatch that has notices. Older routers answer with
// nothing.
type ReleaseReply struct {
	// Ejected lists the endpoints of the notices that are taken out for the entry's
	// availability zone.
	Ejected []coordination.Endpoint `cbor:"1,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func (m ReleaseReply) Encode() []byte { return encode(m) }

// DecodeReleaseReply returns the reply in b, which may be empty.
func DecodeReleaseReply(b []byte) (m ReleaseReply, err error) {
	if len(b) == 0 {
		return m, nil
	}
	err = decode(b, &m)
	return m, err
}

// evidenceOf returns what releases say of their endpoints, or nil for nothing.
func evidenceOf(rs []Release) []outlier.Weight {
	if !lo.SomeBy(rs, func(r Release) bool { return r.Evidence != 0 }) {
		return nil
	}
	return lo.Map(rs, func(r Release, _ int) outlier.Weight { return r.Evidence })
}

// attachEvidence gives releases what was told beside them.
func attachEvidence(rs []Release, seen []outlier.Weight) {
	if len(seen) != len(rs) {
		return // an older router tells nothing
	}
	for i := range rs {
		rs[i].Evidence = seen[i]
	}
}

// Register lists all that an entry holds or has asked for at endpoints which
// it believes the receiver to own. Whatever the receiver counts for this entry
// with a sequence up to UpTo and does not find here has ended: this mends lost
// releases, and it tells a new owner what its endpoints run.
type Register struct {
	Entry EntryID      `cbor:"1,keyasint"`
	UpTo  Sequence     `cbor:"2,keyasint"`
	Held  []HeldGrants `cbor:"3,keyasint,omitempty"`
}

// HeldGrants lists the grants that an entry holds at one endpoint.
type HeldGrants struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Grants      []HeldGrant
}

// HeldGrant is a live grant in a Register.
type HeldGrant struct {
	_        struct{} `cbor:",toarray"`
	Sequence Sequence
	Age      Millis // since it was granted
	Flags    HeldFlags
}

// HeldFlags tells more of a grant in a Register.
type HeldFlags uint8

// The flags of a held grant.
const (
	HeldIsolated HeldFlags = 1 << iota // no other suspect may run beside it
	HeldPending                        // asked for, not known to be granted
)

// Encode returns m as CBOR.
func (m AdmitRequest) Encode() []byte {
	m.Evidence = evidenceOf(m.Releases)
	return encode(m)
}

// Encode returns m as CBOR.
func (m AdmitReply) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m ReleaseBatch) Encode() []byte {
	m.Evidence = evidenceOf(m.Releases)
	return encode(m)
}

// Encode returns m as CBOR.
func (m Register) Encode() []byte { return encode(m) }

// DecodeAdmitRequest returns the request in b.
func DecodeAdmitRequest(b []byte) (m AdmitRequest, err error) {
	err = decode(b, &m)
	attachEvidence(m.Releases, m.Evidence)
	return m, err
}

// DecodeAdmitReply returns the reply in b.
func DecodeAdmitReply(b []byte) (m AdmitReply, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeReleaseBatch returns the batch in b.
func DecodeReleaseBatch(b []byte) (m ReleaseBatch, err error) {
	err = decode(b, &m)
	attachEvidence(m.Releases, m.Evidence)
	return m, err
}

// DecodeRegister returns the registration in b.
func DecodeRegister(b []byte) (m Register, err error) {
	err = decode(b, &m)
	return m, err
}

// encode panics on failure: the messages are plain data, so a failure is a
// mistake in their declaration.
func encode(m any) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(errorx.Decorate(err, "placement: encode %T", m))
	}
	return b
}

func decode(b []byte, m any) error {
	if err := cbor.Unmarshal(b, m); err != nil {
		return ErrMalformed.Wrap(err, "decode %T", m)
	}
	return nil
}

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// millis returns d in milliseconds, rounded up so that a short span is not none.
func millis(d time.Duration) Millis {
	if d <= 0 {
		return 0
	}
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}
