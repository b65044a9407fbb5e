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
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/samber/lo"

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

// Content identifies the content of a request, among those of all client accounts. A caller
// that does not name the attempt which brought the first event of a stream repeats the request.
// Zero means that it is not known.
type Content uint64

// contentPrefix begins the key under which a stream is kept by its content. Several streams
// of the same content share it. No header of a caller may hold the first byte, so that no
// attempt has such an id.
const contentPrefix = "\x00content "

// attempt returns the key of the streams with a content.
func (c Content) attempt() coordination.Attempt {
	return coordination.Attempt(contentPrefix + strconv.FormatUint(uint64(c), 16))
}

// isContent reports whether a is the key of a content.
func isContent(a coordination.Attempt) bool { return strings.HasPrefix(string(a), contentPrefix) }

// Record says at which version of a pool's software a stream began.
type Record struct {
	// Attempt is the caller's attempt that brought the first event.
	Attempt coordination.Attempt `cbor:"1,keyasint"`
	Pool    coordination.Pool    `cbor:"2,keyasint"` // empty in the record of a content: its route may have several
	// Version is severalVersions in the record of a content whose streams began at several.
	Version coordination.SoftwareVersion `cbor:"3,keyasint"`
	LeftMs  uint32                       `cbor:"4,keyasint"` // how much longer the caller may take the stream up
	Content Content                      `cbor:"5,keyasint,omitempty"`
}

// severalVersions stands for streams of the same content that began at several versions. Which
// of them a caller takes up is not known.
const severalVersions coordination.SoftwareVersion = ""

// ByContent returns the records under which callers that do not name their streams find them.
func ByContent(records []Record) []Record {
	return lo.FilterMap(records, func(r Record, _ int) (Record, bool) {
		if r.Content == 0 {
			return Record{}, false
		}
		return Record{Attempt: r.Content.attempt(), Version: r.Version, LeftMs: r.LeftMs}, true
	})
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
