package suspicion

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
)

// Message topics. TopicGate carries a request to the gate of a fingerprint,
// TopicRecord a record gossiped to all routers, and TopicRecords a request for all
// records of a router.
const (
	TopicGate    = "suspicion-gate"
	TopicRecord  = "suspicion-record"
	TopicRecords = "suspicion-records"
)

// Topics of the same messages about parts of prompts.
const (
	TopicPartGate    = "part-suspicion-gate"
	TopicPartRecord  = "part-suspicion-record"
	TopicPartRecords = "part-suspicion-records"
)

// Topics holds the topics of one kind of fingerprints.
type Topics struct{ Gate, Record, Records string }

// Errors is the namespace of the package's errors.
var Errors = errorx.NewNamespace("suspicion")

// ErrMalformed is the type of the error for a message that cannot be decoded.
var ErrMalformed = Errors.NewType("malformed")

// Copy identifies one copy of a request: the router instance that handles it
// and its number there.
type Copy struct {
	_           struct{} `cbor:",toarray"`
	Instance    coordination.Instance
	Incarnation coordination.Incarnation
	Number      uint64
}

// Step is an event in the life of a copy that its router reports to the gate.
type Step uint8

// Steps of a copy.
const (
	Enter             Step = iota // requests admission
	Claim                         // is already running, or still running
	Crashed                       // its endpoint died
	Finished                      // ran to completion
	Abandoned                     // ended without evidence for or against the request
	Answering                     // still runs, and its endpoint has written its response for a while
	ClearedByOperator             // an operator has cleared the fingerprint
	PoolServes                    // other requests of the pool complete; says nothing of the copy
)

// GateRequest reports a step of a copy to the gate.
type GateRequest struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Copy        Copy        `cbor:"2,keyasint"`
	Step        Step        `cbor:"3,keyasint,omitempty"`
	Crash       *Crash      `cbor:"4,keyasint,omitempty"`
	// Known is the record of the router that asks, which the gate may lack.
	Known *Record `cbor:"5,keyasint,omitempty"`
	// Late reports that Crash was found some time after the attempt.
	Late bool `cbor:"6,keyasint,omitempty"`
	// ServedAgo is how long ago the reporting router saw a request of the pool run to
	// completion; zero if it has seen none. Clocks of routers differ.
	ServedAgo Millis `cbor:"7,keyasint,omitempty"`
	// Pool is the pool of the endpoint that crashed; set for parts.
	Pool coordination.Pool `cbor:"8,keyasint,omitempty"`
}

// Verdict is the gate's decision on a copy.
type Verdict uint8

// Verdicts of a gate.
const (
	Allowed      Verdict = iota // not a suspect; may run
	AllowedAlone                // may run on an endpoint that runs no other suspect
	Busy                        // another copy is running, or a crash or a change of routers is too recent
	Poison                      // convicted; must not run
)

// GateReply answers a GateRequest. RetryAfter is set for Busy and Poison.
type GateReply struct {
	Verdict    Verdict `cbor:"1,keyasint,omitempty"`
	RetryAfter Millis  `cbor:"2,keyasint,omitempty"`
	// Trial reports that the copy may run although its fingerprint is convicted.
	Trial bool `cbor:"3,keyasint,omitempty"`
}

// Millis is a duration in milliseconds.
type Millis uint32

// Duration returns m as a [time.Duration].
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

func millis(d time.Duration) Millis {
	return Millis(max(d+time.Millisecond-1, 0) / time.Millisecond)
}

// Encode returns m as CBOR.
func (m GateRequest) Encode() []byte { return encode(m) }

// Encode returns m as CBOR.
func (m GateReply) Encode() []byte { return encode(m) }

// Encode returns r as CBOR.
func (r Record) Encode() []byte { return encode(r) }

// DecodeGateRequest decodes a request. The error is of type [ErrMalformed].
func DecodeGateRequest(b []byte) (m GateRequest, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeGateReply decodes a reply. The error is of type [ErrMalformed].
func DecodeGateReply(b []byte) (m GateReply, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeRecord decodes a record. The error is of type [ErrMalformed].
func DecodeRecord(b []byte) (r Record, err error) {
	err = decode(b, &r)
	return r, err
}

// encode panics on failure: the messages are plain data, so a failure is a
// mistake in their type declarations.
func encode(m any) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(errorx.Decorate(err, "suspicion: encode %T", m))
	}
	return b
}

func decode(b []byte, m any) error {
	if err := cbor.Unmarshal(b, m); err != nil {
		return ErrMalformed.Wrap(err, "decode %T", m)
	}
	return nil
}
