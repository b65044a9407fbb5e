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

// recordVersion is the version of the records that this package writes.
const recordVersion = 1

// Nonce tells the records of two calls of Begin apart, also of one router.
type Nonce [16]byte

func newNonce() Nonce { return Nonce(uuid.New()) }

// Fingerprint identifies what a caller asked for under a key.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of the parts of a request. It tells
// ("ab", "c") from ("a", "bc").
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// State is where an execution record stands.
type State uint8

// The states of a record. A pending record becomes abandoned or done by its
// holder only; an abandoned one becomes pending by anybody.
const (
	Pending   State = 1
	Abandoned State = 2
	Finished  State = 3
)

// UnixMilli is a time in milliseconds since the epoch.
type UnixMilli int64

func toUnixMilli(t time.Time) UnixMilli { return UnixMilli(t.UnixMilli()) }

// Answer is what an endpoint answered.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// NotKept tells that the answer was too large to be kept for repeats.
	NotKept bool `cbor:"4,keyasint,omitempty"`
}

// Record is an execution record as it stands in the service.
type Record struct {
	Version     int                      `cbor:"1,keyasint"`
	State       State                    `cbor:"2,keyasint"`
	Nonce       Nonce                    `cbor:"3,keyasint"`
	Fingerprint Fingerprint              `cbor:"4,keyasint"`
	Holder      coordination.Instance    `cbor:"5,keyasint"`
	Incarnation coordination.Incarnation `cbor:"6,keyasint"`
	Created     UnixMilli                `cbor:"7,keyasint"`
	Deadline    UnixMilli                `cbor:"8,keyasint"` // when the holder should have finished
	Outcome     outcome.Outcome          `cbor:"9,keyasint,omitempty"`
	Answer      *Answer                  `cbor:"10,keyasint,omitempty"`
}

// abandoned returns r as its holder marks it when it will never dispatch.
func (r Record) abandoned() Record {
	r.State = Abandoned
	return r
}

// omitAnswer is a limit that leaves out any answer.
const omitAnswer = -1

// finished returns r as its holder marks it at the end of the action. An
// answer longer than limit bytes is left out.
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

// DecodeRecord decodes a record of the service.
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
