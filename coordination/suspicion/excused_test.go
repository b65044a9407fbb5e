package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
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

// Guards against an innocent request, convicted of nothing, that excuses a crash of a
// request which then takes a third endpoint.
func TestRequestThatIsNotConvictedExcusesNoCrash(t *testing.T) {
	now := testNow
	first, second, innocent := FingerprintOf("first"), FingerprintOf("second"), FingerprintOf("innocent")
	crash := func(e coordination.Endpoint, after time.Duration, alone bool) Crash {
		return Crash{Endpoint: e, Incarnation: 1, At: unixMillis(now.Add(after)), Alone: alone}
	}
	expires := unixMillis(now.Add(time.Minute))
	records := []Record{
		{Fingerprint: first, Crashes: []Crash{crash("e1", 0, false), crash("e2", 2*time.Second, true)}, Expires: expires},
		{Fingerprint: innocent, Crashes: []Crash{crash("e2", 2*time.Second, false), crash("e3", 4*time.Second, true)}, Expires: expires},
		{Fingerprint: second, Crashes: []Crash{crash("e3", 4*time.Second, false), crash("e4", 6*time.Second, true)}, Expires: expires},
	}
	now = now.Add(6 * time.Second)
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		table := NewTable(Config{})
		for _, i := range order {
			table.Merge(now, records[i])
		}
		for fp, want := range map[Fingerprint]State{first: Convicted, second: Convicted, innocent: Suspect} {
			_, state := table.Find(now, fp)
			assert.Equal(t, state, want, "order %v", order)
		}
	}
}
