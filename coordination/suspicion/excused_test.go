package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against concurrent copies of a crashing request whose only crash is
// attributed to another request.
func TestExcusedSuspectRunsOneCopyAtATime(t *testing.T) {
	now := testNow
	g := NewGate(NewTable(Config{}))
	crashed := func(fp Fingerprint, number uint64, c Crash) {
		c.At = unixMillis(now)
		g.Handle(now, GateRequest{Fingerprint: fp, Copy: Copy{Instance: "r1", Number: number}, Step: Crashed, Crash: &c})
		now = now.Add(2 * time.Second)
	}
	common, crashing := FingerprintOf("common"), FingerprintOf("crashing")
	crashed(common, 1, Crash{Endpoint: "e1", Incarnation: 1})
	crashed(common, 2, Crash{Endpoint: "e2", Incarnation: 1, Alone: true})
	crashed(crashing, 3, Crash{Endpoint: "e2", Incarnation: 1})

	enter := func(n uint64) Verdict {
		reply, _ := g.Handle(now, GateRequest{Fingerprint: crashing, Copy: Copy{Instance: "r2", Number: n}, Step: Enter})
		return reply.Verdict
	}
	assert.Assert(t, enter(4) != Poison)
	assert.Equal(t, enter(5), Busy, "a second copy runs concurrently with the first")
}
