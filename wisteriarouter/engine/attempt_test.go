package engine_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/engine"
)

func TestAttemptNamesEndpointAndRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := coordination.Endpoint(rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "endpoint"))
		f := engine.Fingerprint(rapid.StringMatching(`[0-9a-f]{24}`).Draw(t, "fingerprint"))
		n := rapid.IntRange(0, 1<<30).Draw(t, "offset")
		id := engine.EventID{Attempt: engine.NewAttempt(e, f), Offset: n}
		back, err := engine.ParseEventID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, back, id)
		gotEndpoint, gotFingerprint, err := engine.ParseAttempt(back.Attempt)
		assert.NilError(t, err)
		assert.Equal(t, gotEndpoint, e)
		assert.Equal(t, gotFingerprint, f)
	})
}

func TestMalformedIDs(t *testing.T) {
	for _, s := range []string{"", "x", "e1.", ".5", "e1.-2", "e1.9999999999999999999999", "e1-abc-def.x"} {
		if id, err := engine.ParseEventID(s); err == nil {
			_, _, err = engine.ParseAttempt(id.Attempt)
			assert.Assert(t, err != nil, "%q is accepted", s)
		}
	}
}
