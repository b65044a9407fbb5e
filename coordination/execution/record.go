package execution

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
)

// recordVersion is the format version of the records that this package writes.
const recordVersion = 1

// Nonce distinguishes the records of different calls of Begin, including calls
// on the same router.
type Nonce [16]byte

func newNonce() Nonce { return Nonce(uuid.New()) }

// Fingerprint is a hash of a request, which identifies what a caller asked for
// under a key.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of the parts of a request. Each part is
// hashed with its length, so that ("ab", "c") and ("a", "bc") differ.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// State is the state of an execution record.
type State uint8

// The states of a record. Only its holder changes a pending record to
// abandoned or finished; any router may change an abandoned one to pending.
const (
	Pending   State = 1
	Abandoned State = 2
	Finished  State = 3
)

// UnixMilli is a time in milliseconds since the Unix epoch.
type UnixMilli int64

func toUnixMilli(t time.Time) UnixMilli { return UnixMilli(t.UnixMilli()) }

// Answer is the response of an endpoint.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// NotKept reports that the body was too large to store for repeats.
	NotKept bool `cbor:"4,keyasint,omitempty"`
}

// Record is an execution record as stored in the key-value service.
type Record struct {
	Version     int                      `cbor:"1,keyasint"`
	State       State                    `cbor:"2,keyasint"`
	Nonce       Nonce                    `cbor:"3,keyasint"`
	Fingerprint Fingerprint              `cbor:"4,keyasint"`
	Holder      coordination.Instance    `cbor:"5,keyasint"`
	Incarnation coordination.Incarnation `cbor:"6,keyasint"`
	Created     UnixMilli                `cbor:"7,keyasint"`
	Deadline    UnixMilli                `cbor:"8,keyasint"` // when the holder is expected to have finished
	Outcome     outcome.Outcome          `cbor:"9,keyasint,omitempty"`
	Answer      *Answer                  `cbor:"10,keyasint,omitempty"`
}

// abandoned returns r in the state for an action that its holder will never
// send.
func (r Record) abandoned() Record {
	r.State = Abandoned
	return r
}

// omitAnswer is a size limit that excludes any answer.
const omitAnswer = -1

// finished returns r in its final state. The body of an answer longer than
// limit bytes is omitted.
func (r Record) finished(o outcome.Outcome, a *Answer, limit int) Record {
	r.State = Finished
	r.Outcome = o
	r.Answer = a
	if a != nil && len(a.Body) > limit {
		r.Answer = &Answer{Status: a.Status, ContentType: a.ContentType, NotKept: true}
	}
	return r
}

func (r Record) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("execution: encoding a record: %v", err))
	}
	return b
}

// DecodeRecord decodes a record read from the service. It returns an error if
// the format version or the state is unknown.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("execution: decoding a record: %w", err)
	}
	if r.Version != recordVersion {
		return Record{}, fmt.Errorf("execution: record of version %d, want %d", r.Version, recordVersion)
	}
	if r.State < Pending || r.State > Finished {
		return Record{}, fmt.Errorf("execution: record in state %d", r.State)
	}
	return r, nil
}
