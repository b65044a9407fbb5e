package mirror_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/mirror"
)

// The bytes of a call come from another process, which may be of another
// version, or not a router at all.
func TestServerRejectsMalformedRequest(t *testing.T) {
	s := &mirror.Server{Mirrors: map[string]*mirror.Mirror{"": mirror.New()}}
	_, err := s.Handle(t.Context(), []byte{0xff, 0x00})
	assert.ErrorContains(t, err, "ask")
}

// A hint comes without an answer; what cannot be read must change nothing.
func TestFeedRejectsMalformedHints(t *testing.T) {
	f := mirror.NewFeed(mirror.FeedConfig{Self: "a", Prefix: "op/", Mirror: mirror.New()})
	assert.ErrorContains(t, f.HandleHint("b", []byte{0xff, 0x00}), "hint")
	other, err := cbor.Marshal(mirror.Hint{Prefix: "else/", AsOf: 9, Lost: true})
	assert.NilError(t, err)
	assert.ErrorContains(t, f.HandleHint("b", other), "no mirror")
}

// The desired state grows to a thousand routes. Were it told as it is, a router
// on a slow link that tells it to a third of the fleet would need seconds.
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
