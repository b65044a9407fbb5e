package placement

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/outlier"
)

// Topics of the messages between entries and owners.
const (
	TopicAdmit    = "place-admit"
	TopicRelease  = "place-release"
	TopicRegister = "place-register"
	TopicSum      = "place-sum"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("placement")

// ErrMalformed is the error type for a message that cannot be decoded.
var ErrMalformed = Errors.NewType("malformed")

// Sequence numbers the requests of one incarnation of an entry, starting at 1.
type Sequence uint64

// EntryID identifies one incarnation of an entry.
type EntryID struct {
	_           struct{} `cbor:",toarray"`
	Instance    coordination.Instance
	Incarnation coordination.Incarnation
}

// GrantID identifies a grant. The entry assigns it, which makes admitting,
// registering and releasing idempotent.
type GrantID struct {
	Entry    EntryID
	Sequence Sequence
}

// Millis is a duration in milliseconds.
type Millis uint32

// AdmitRequest asks the owner of an endpoint to admit a request.
type AdmitRequest struct {
	Entry       EntryID                  `cbor:"1,keyasint"`
	Sequence    Sequence                 `cbor:"2,keyasint"`
	Endpoint    coordination.Endpoint    `cbor:"3,keyasint"`
	Incarnation coordination.Incarnation `cbor:"4,keyasint,omitempty"` // of the endpoint
	Account     coordination.Account     `cbor:"5,keyasint,omitempty"`
	Priority    coordination.Priority    `cbor:"6,keyasint,omitempty"`

	// Deadline is the time left until the request must start. Zero means no
	// deadline.
	Deadline Millis `cbor:"7,keyasint,omitempty"`

	// Wait is how long the owner may queue the request for this endpoint before
	// it answers Next, because the endpoint has the chat's context cached or
	// because no other candidate is left.
	Wait Millis `cbor:"8,keyasint,omitempty"`

	// Final says that the entry has no other candidate. The owner queues or
	// refuses the request and does not answer Next.
	Final bool `cbor:"9,keyasint,omitempty"`

	// Isolated says that the request is suspected of crashing endpoints. At
	// most one isolated request runs at an endpoint.
	Isolated bool `cbor:"10,keyasint,omitempty"`

	// Releases holds ended grants of this entry at any endpoints of this owner.
	Releases []Release `cbor:"11,keyasint,omitempty"`

	// NonRetryable says that the request cannot be retried after a failure. It
	// avoids endpoints that are suspected of failing.
	NonRetryable bool `cbor:"12,keyasint,omitempty"`

	// AllowOutlier says that too many endpoints of the pool are outliers to
	// avoid them all, so that the request may be placed at one.
	AllowOutlier bool `cbor:"13,keyasint,omitempty"`

	// Evidence holds the outcome weight of each element of Releases. It is
	// empty if no release has one.
	Evidence []outlier.Weight `cbor:"14,keyasint,omitempty"`

	// Target is the time left until the answer must begin to meet its
	// objective. Zero means no objective.
	Target Millis `cbor:"15,keyasint,omitempty"`

	// Ran holds for how long the entry held the grant of each element of Releases.
	// It is empty if that is not known.
	Ran []Millis `cbor:"16,keyasint,omitempty"`

	// Rejected holds the indexes of the elements of Releases whose requests were
	// rejected by their endpoints.
	Rejected []int `cbor:"17,keyasint,omitempty"`

	// Work holds what elements of Releases show of the capacity of their endpoints.
	Work []WorkReport `cbor:"18,keyasint,omitempty"`
}

// Decision is an owner's answer to an AdmitRequest.
type Decision uint8

// The possible decisions.
const (
	Refused Decision = iota
	Granted
	Next // try the next candidate
)

// String returns the name of d used in logs and metrics.
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

// Code is the reason for a decision other than Granted.
type Code uint8

// The reasons for Refused and Next.
const (
	None              Code = iota
	Overloaded             // no capacity and the queue is full
	Deadline               // cannot start before its deadline
	EndpointLeaving        // the endpoint is leaving
	Poison                 // the request was found to crash endpoints
	NotOwner               // the receiver does not own the endpoint, or not yet
	OverBound              // the endpoint is at its multiple of the mean load
	Full                   // the endpoint is at its capacity
	Settling               // a new owner does not yet know what the endpoint runs
	Cancelled              // the entry has already released the request
	Unreachable            // the owner is unreachable and the fallback declined
	EndpointLost           // the endpoint died, restarted or was removed
	NoKnownEndpoint        // no endpoint of the pool is known
	Outlier                // the endpoint fails requests that others of its pool serve
	EndpointEvacuated      // the availability zone of the endpoint is evacuated
	Cold                   // the endpoint is cold and takes requests at a low rate
	ZoneNotAllowed         // the request may not run in the zone of any endpoint of its pool
	TooManyRounds          // the request has asked all candidates too many times
	VersionGone            // no endpoint has the version of the software that began the stream
	Slow                   // the endpoint is slow and has its share of the load
)

var codeNames = [...]string{
	None: "none", Overloaded: "overloaded", Deadline: "deadline", EndpointLeaving: "leaving",
	Poison: "poison", NotOwner: "not-owner", OverBound: "over-bound", Full: "full",
	Settling: "settling", Cancelled: "cancelled", Unreachable: "unreachable", EndpointLost: "endpoint-lost",
	NoKnownEndpoint: "no-endpoint-known", Outlier: "outlier", EndpointEvacuated: "evacuated", Cold: "cold",
	ZoneNotAllowed: "zone-not-allowed", TooManyRounds: "too-many-rounds",
	VersionGone: "version-gone", Slow: "slow",
}

// String returns the name of c used in logs, metrics and responses.
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

	// RetryAfter is the delay before a new attempt after Refused, or the
	// expected queueing time at the endpoint with Next.
	RetryAfter Millis `cbor:"3,keyasint,omitempty"`

	// Owner is the router that owns the endpoint, if the receiver does not.
	Owner coordination.Instance `cbor:"4,keyasint,omitempty"`

	// Limit is the number of requests that an endpoint of the pool may run now,
	// whatever its share of load. The entry uses it if it cannot reach the owner later.
	Limit int `cbor:"5,keyasint,omitempty"`

	// Cold says that the endpoint that granted the request is cold.
	Cold bool `cbor:"6,keyasint,omitempty"`

	// Pace is how long work takes at the endpoint, zero if that is not measured. Capacity
	// is how many requests at once it takes well, zero if that is not limited.
	Pace     Percent `cbor:"7,keyasint,omitempty"`
	Capacity int     `cbor:"8,keyasint,omitempty"`
}

// Release ends a grant or withdraws a queued request.
type Release struct {
	_        struct{} `cbor:",toarray"`
	Endpoint coordination.Endpoint
	Sequence Sequence
	// Evidence is the outcome weight of the request, Ran for how long its entry held
	// the grant, zero if that is not known, and Rejected whether the endpoint rejected
	// the request. Work is what it showed of the endpoint's capacity. They are sent
	// outside of the release, because older routers decode a release with exactly two
	// fields.
	Evidence outlier.Weight       `cbor:"-"`
	Ran      Millis               `cbor:"-"`
	Rejected bool                 `cbor:"-"`
	Work     capacity.Observation `cbor:"-"`
	Queued   time.Time            `cbor:"-"` // when its entry queued it
}

// Notice carries the outcome weight of a request that is still running.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint coordination.Endpoint
	Sequence Sequence
	Evidence outlier.Weight
}

// LostEndpoint identifies an incarnation of an endpoint that an entry found
// dead.
type LostEndpoint struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
}

// lostOf returns the LostEndpoint of d.
func lostOf(d *Descriptor) LostEndpoint {
	return LostEndpoint{Endpoint: d.ID, Incarnation: d.Incarnation}
}

// ReleaseBatch ends grants of one entry and lists endpoints that it found dead.
type ReleaseBatch struct {
	Entry    EntryID        `cbor:"1,keyasint"`
	Releases []Release      `cbor:"2,keyasint,omitempty"`
	Lost     []LostEndpoint `cbor:"3,keyasint,omitempty"`
	// Evidence is described in AdmitRequest.
	Evidence []outlier.Weight `cbor:"4,keyasint,omitempty"`
	Notices  []Notice         `cbor:"5,keyasint,omitempty"`
	// Ran is described in AdmitRequest.
	Ran []Millis `cbor:"6,keyasint,omitempty"`
	// Rejected is described in AdmitRequest.
	Rejected []int `cbor:"7,keyasint,omitempty"`
	// Work is described in AdmitRequest.
	Work []WorkReport `cbor:"8,keyasint,omitempty"`
}

// ReleaseReply answers a ReleaseBatch that has notices. The reply of older
// routers is empty.
type ReleaseReply struct {
	// Ejected lists the endpoints of the notices that are ejected for the
	// entry's availability zone.
	Ejected []coordination.Endpoint `cbor:"1,keyasint,omitempty"`
}

// Encode returns m as CBOR.
func (m ReleaseReply) Encode() []byte { return encode(m) }

// DecodeReleaseReply returns the reply in b, which may be empty. The error is
// of type [ErrMalformed].
func DecodeReleaseReply(b []byte) (m ReleaseReply, err error) {
	if len(b) == 0 {
		return m, nil
	}
	err = decode(b, &m)
	return m, err
}

// evidenceOf returns the outcome weights of releases, or nil if all are zero.
func evidenceOf(rs []Release) []outlier.Weight {
	if !lo.SomeBy(rs, func(r Release) bool { return r.Evidence != 0 }) {
		return nil
	}
	return lo.Map(rs, func(r Release, _ int) outlier.Weight { return r.Evidence })
}

// ranOf returns for how long the grants of releases were held, or nil if that is
// known of none.
func ranOf(rs []Release) []Millis {
	if !lo.SomeBy(rs, func(r Release) bool { return r.Ran != 0 }) {
		return nil
	}
	return lo.Map(rs, func(r Release, _ int) Millis { return r.Ran })
}

// rejectedOf returns the indexes of the releases whose requests were rejected.
func rejectedOf(rs []Release) (indexes []int) {
	for i, r := range rs {
		if r.Rejected {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// attachDetails sets what a decoded message tells of its releases. One that was sent by
// an older router lacks it.
func attachDetails(rs []Release, seen []outlier.Weight, ran []Millis, rejected []int) {
	for _, i := range rejected {
		if i >= 0 && i < len(rs) {
			rs[i].Rejected = true
		}
	}
	for i := range rs {
		if len(seen) == len(rs) {
			rs[i].Evidence = seen[i]
		}
		if len(ran) == len(rs) {
			rs[i].Ran = ran[i]
		}
	}
}

// Register lists all grants that an entry holds or has requested at endpoints
// that it takes the receiver to own. Grants of this entry with a sequence up to
// UpTo that are not listed have ended. This corrects lost releases and tells a
// new owner what its endpoints run.
type Register struct {
	Entry EntryID      `cbor:"1,keyasint"`
	UpTo  Sequence     `cbor:"2,keyasint"`
	Held  []HeldGrants `cbor:"3,keyasint,omitempty"`
	// Known holds what the entry last heard of the capacity of endpoints that it takes
	// the receiver to own.
	Known []KnownCapacity `cbor:"4,keyasint,omitempty"`
}

// HeldGrants lists the grants that an entry holds at one endpoint.
type HeldGrants struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	Grants      []HeldGrant
}

// HeldGrant is a live grant in a Register message.
type HeldGrant struct {
	_        struct{} `cbor:",toarray"`
	Sequence Sequence
	Age      Millis // since it was granted
	Flags    HeldFlags
}

// HeldFlags holds the properties of a grant in a Register message.
type HeldFlags uint8

// The flags of a HeldGrant.
const (
	HeldIsolated HeldFlags = 1 << iota // isolated, see AdmitRequest
	HeldPending                        // requested, but not known to be granted
)

// Encode returns m as CBOR.
func (m AdmitRequest) Encode() []byte {
	m.Evidence, m.Ran, m.Rejected = evidenceOf(m.Releases), ranOf(m.Releases), rejectedOf(m.Releases)
	m.Work = workOf(m.Releases)
	return encode(m)
}

// Encode returns m as CBOR.
func (m AdmitReply) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m ReleaseBatch) Encode() []byte {
	m.Evidence, m.Ran, m.Rejected = evidenceOf(m.Releases), ranOf(m.Releases), rejectedOf(m.Releases)
	m.Work = workOf(m.Releases)
	return encode(m)
}

// Encode returns m as CBOR.
func (m Register) Encode() []byte { return encode(m) }

// DecodeAdmitRequest returns the request in b. The error is of type
// [ErrMalformed].
func DecodeAdmitRequest(b []byte) (m AdmitRequest, err error) {
	err = decode(b, &m)
	attachDetails(m.Releases, m.Evidence, m.Ran, m.Rejected)
	attachWork(m.Releases, m.Work)
	return m, err
}

// DecodeAdmitReply returns the reply in b. The error is of type [ErrMalformed].
func DecodeAdmitReply(b []byte) (m AdmitReply, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeReleaseBatch returns the batch in b. The error is of type
// [ErrMalformed].
func DecodeReleaseBatch(b []byte) (m ReleaseBatch, err error) {
	err = decode(b, &m)
	attachDetails(m.Releases, m.Evidence, m.Ran, m.Rejected)
	attachWork(m.Releases, m.Work)
	return m, err
}

// DecodeRegister returns the registration in b. The error is of type
// [ErrMalformed].
func DecodeRegister(b []byte) (m Register, err error) {
	err = decode(b, &m)
	return m, err
}

// encode panics on failure. The messages are plain data, so that a failure is
// an error in their declaration.
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

// millis converts d to milliseconds, rounding up so that a positive duration
// never becomes zero.
func millis(d time.Duration) Millis {
	if d <= 0 {
		return 0
	}
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}
