// Package origin remembers at which version of the software each stream began. Callers
// take up a stream that broke off at any router, and what two versions write does not
// fit together.
//
// The router that forwards the first event of a stream tells a few other routers, its
// keepers, which follow from the id of the caller's attempt. Any router asks them when
// a caller takes the stream up. When routers come and go, those that know of a stream
// tell the new keepers.
package origin

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
)

// Topics of messages between routers.
const (
	// TopicRecord is the topic of records for a keeper.
	TopicRecord = "origin-record"
	// TopicFind is the topic of questions to a keeper.
	TopicFind = "origin-find"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("origin")

// ErrMalformed means that a message cannot be decoded.
var ErrMalformed = Errors.NewType("malformed")

// Record says at which version of a pool's software a stream began.
type Record struct {
	// Attempt is the caller's attempt that brought the first event.
	Attempt coordination.Attempt         `cbor:"1,keyasint"`
	Pool    coordination.Pool            `cbor:"2,keyasint"`
	Version coordination.SoftwareVersion `cbor:"3,keyasint"`
	LeftMs  uint32                       `cbor:"4,keyasint"` // how much longer the caller may take the stream up
}

// maxLeft bounds how long a record is kept, whatever its sender says.
const maxLeft = 10 * time.Minute

func (r Record) left() time.Duration {
	return min(time.Duration(r.LeftMs)*time.Millisecond, maxLeft)
}

// recordBatch is the payload of TopicRecord. It has no reply, or an empty one.
type recordBatch struct {
	Records []Record `cbor:"1,keyasint"`
}

// question is the payload of TopicFind, and answer its reply.
type question struct {
	Attempt coordination.Attempt `cbor:"1,keyasint"`
	Pool    coordination.Pool    `cbor:"2,keyasint"`
}

type answer struct {
	Known   bool                         `cbor:"1,keyasint,omitempty"`
	Version coordination.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("origin: encoding a message: " + err.Error()) // all fields are plain
	}
	return b
}
