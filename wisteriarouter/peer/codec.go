package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspool/coordination/membership"
)

// kind is the type of a message.
type kind uint8

const (
	kindHello kind = iota + 1
	kindGossip
	kindRequest
	kindAnswer
	kindNotice
	kindPing
	kindPong
	kindGoodbye
	kinds
)

var kindNames = [kinds]string{"unknown", "hello", "gossip", "request", "answer", "notice", "ping", "pong", "goodbye"}

// String returns the name of k as used in metrics.
func (k kind) String() string {
	if k >= kinds {
		return kindNames[0]
	}
	return kindNames[k]
}

// message is the content of one WebSocket message.
type message struct {
	Kind    kind                `cbor:"1,keyasint"`
	ID      uint64              `cbor:"2,keyasint,omitempty"` // of a request and its answer
	Topic   string              `cbor:"3,keyasint,omitempty"`
	Payload []byte              `cbor:"4,keyasint,omitempty"`
	Failure Failure             `cbor:"5,keyasint,omitempty"` // of an answer
	Error   string              `cbor:"6,keyasint,omitempty"` // of an answer
	Timeout uint32              `cbor:"7,keyasint,omitempty"` // of a request, in milliseconds
	Hello   *hello              `cbor:"8,keyasint,omitempty"`
	Gossip  *membership.Message `cbor:"9,keyasint,omitempty"`
}

// hello is the first message that each side sends on a connection.
type hello struct {
	Major  uint32            `cbor:"1,keyasint"`
	Minor  uint32            `cbor:"2,keyasint,omitempty"`
	Fleet  string            `cbor:"3,keyasint"`
	Member membership.Member `cbor:"4,keyasint"`
	// Gossip is set if the connection was made for the gossip mesh.
	Gossip bool `cbor:"5,keyasint,omitempty"`
	// Replaces is set if the sender gets no replies on the connection that it has.
	Replaces bool `cbor:"6,keyasint,omitempty"`
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("peer: encoding options: " + err.Error())
	}
	return m
}

// mustDecoding limits the number of elements and the nesting of a message, so that
// a small message cannot make the decoder allocate large structures.
func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 4096,
		MaxMapPairs:      256,
		MaxNestedLevels:  12,
	}.DecMode()
	if err != nil {
		panic("peer: decoding options: " + err.Error())
	}
	return m
}

func encode(m *message) []byte {
	b, err := encoding.Marshal(m)
	if err != nil {
		panic("peer: encode: " + err.Error())
	}
	return b
}

var errKind = errors.New("message without kind")

// decode returns the message in b. It ignores unknown fields and accepts unknown
// kinds, which the caller has to ignore.
func decode(b []byte) (*message, error) {
	m := new(message)
	if err := decoding.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("peer: decode: %w", err)
	}
	if m.Kind == 0 {
		return nil, fmt.Errorf("peer: decode: %w", errKind)
	}
	return m, nil
}
