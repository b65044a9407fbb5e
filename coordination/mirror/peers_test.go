package mirror_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/mirror"
)

// The payload of a call comes from another process, which may run another
// version or not be a router at all.
func TestServerRejectsMalformedRequest(t *testing.T) {
	s := &mirror.Server{Mirrors: map[string]*mirror.Mirror{"": mirror.New()}}
	_, err := s.Handle(t.Context(), []byte{0xff, 0x00})
	assert.ErrorContains(t, err, "ask")
}

// A hint has no reply, and one that cannot be decoded must not change anything.
func TestFeedRejectsMalformedHints(t *testing.T) {
	f := mirror.NewFeed(mirror.FeedConfig{Self: "a", Prefix: "op/", Mirror: mirror.New()})
	assert.ErrorContains(t, f.HandleHint("b", []byte{0xff, 0x00}), "hint")
	other, err := cbor.Marshal(mirror.Hint{Prefix: "else/", AsOf: 9, Lost: true})
	assert.NilError(t, err)
	assert.ErrorContains(t, f.HandleHint("b", other), "no mirror")
}

// A desired state of a thousand routes must be sent compressed. A router on a
// slow link that sends it to a third of the fleet would need seconds otherwise.
func TestLargeUpdateIsCompressed(t *testing.T) {
	m := mirror.New()
	var state bytes.Buffer
	for n := range 1000 {
		fmt.Fprintf(&state, `{"name":"r-%d","hostname":"h%d.example","prefix":"/p%d/","type":"stream","timeoutMs":12000,"priority":1,"backend":"model-%d","attempts":2,"public":false},`, n, n%7, n, n%3)
	}
	m.Apply(mirror.Update{Full: true, Items: []mirror.Item{put("op/config", state.String(), 2)}, AsOf: 2})
	s := &mirror.Server{Mirrors: map[string]*mirror.Mirror{"": m}}
	request, err := cbor.Marshal(mirror.Request{After: 1})
	assert.NilError(t, err)
	answer, err := s.Handle(t.Context(), request)
	assert.NilError(t, err)
	assert.Assert(t, len(answer)*7 < state.Len(), "%d bytes for %d", len(answer), state.Len())
}
