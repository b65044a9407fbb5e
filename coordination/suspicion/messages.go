package suspicion

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
)

// The topics of the messages. TopicGate is a request to the gate of a
// fingerprint, TopicRecord a rumour for all.
const (
	TopicGate   = "suspicion-gate"
	TopicRecord = "suspicion-record"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("suspicion")

// ErrMalformed is the type of the error for a message that cannot be decoded.
var ErrMalformed = Errors.NewType("malformed")

// Copy names one copy of a request: the entry that runs it and its number
// there.
type Copy struct {
	_           struct{} `cbor:",toarray"`
	Instance    coordination.Instance
	Incarnation coordination.Incarnation
	Number      uint64
}

// Step is what an entry tells or asks the gate.
type Step uint8

// The steps of a copy.
const (
	Enter     Step = iota // asks to run
	Claim                 // runs already, or still
	Crashed               // its endpoint died
	Finished              // it ran to its end
	Abandoned             // it ended without telling anything
)

// GateRequest is a step of a copy.
type GateRequest struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Copy        Copy        `cbor:"2,keyasint"`
	Step        Step        `cbor:"3,keyasint,omitempty"`
	Crash       *Crash      `cbor:"4,keyasint,omitempty"`
}

// Verdict is the gate's answer.
type Verdict uint8

// The verdicts of a gate.
const (
	Allowed      Verdict = iota // nothing is known against it
	AllowedAlone                // it may run, with no other suspect beside it
	Busy                        // another copy runs, or the crash is too recent
	Poison
)

// GateReply answers a GateRequest. RetryAfter goes with Busy and Poison.
type GateReply struct {
	Verdict    Verdict `cbor:"1,keyasint,omitempty"`
	RetryAfter Millis  `cbor:"2,keyasint,omitempty"`
}

// Millis is a span of time in milliseconds.
type Millis uint32

// Duration returns m as a duration.
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

// DecodeGateRequest returns the request in b.
func DecodeGateRequest(b []byte) (m GateRequest, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeGateReply returns the reply in b.
func DecodeGateReply(b []byte) (m GateReply, err error) {
	err = decode(b, &m)
	return m, err
}

// DecodeRecord returns the record in b.
func DecodeRecord(b []byte) (r Record, err error) {
	err = decode(b, &r)
	return r, err
}

// encode panics on failure: the messages are plain data, so a failure is a
// mistake in their declaration.
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
