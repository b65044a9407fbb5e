package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// partStart is when the crashes of the tests of parts begin.
var partStart = time.UnixMilli(1_800_000_000_000)

// reportCrashes reports the crashes of n endpoints to a table, one each pause, and returns
// when the last one was reported.
func reportCrashes(t *Table, f Fingerprint, n int, pause time.Duration, known, served bool) time.Time {
	now := partStart
	for i := range n {
		now = partStart.Add(time.Duration(i) * pause)
		c := Crash{Endpoint: "e", Incarnation: coordination.Incarnation(i + 1), Excused: known}
		m := GateRequest{Fingerprint: f, Crash: &c}
		if served && i > 0 {
			m.ServedAgo = millis(pause / 2)
		}
		t.addReported(now, m)
	}
	return now
}

func TestStateOfParts(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashes int
		pause   time.Duration
		known   bool // a request with the part had completed before
		served  bool // others have completed since
		want    State
	}{
		{"one", 1, time.Second, false, false, Suspect},
		{"two", 2, time.Second, false, true, Suspect},
		{"three", 3, time.Second, false, true, Convicted},
		{"three-at-once", 3, 100 * time.Millisecond, false, true, Suspect},
		{"three-while-nothing-completes", 3, time.Second, false, false, Suspect},
		{"five-while-nothing-completes", 5, time.Second, false, false, Convicted},
		{"two-that-completed-before", 2, time.Second, true, true, Clear},
		{"four-that-completed-before", 4, time.Second, true, true, Clear},
		{"five-that-completed-before", 5, time.Second, true, true, Convicted},
		{"many-within-a-moment", 60, 5 * time.Millisecond, false, true, Suspect},
		{"many", 60, 100 * time.Millisecond, false, true, Convicted},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(Config{Parts: true})
			now := reportCrashes(table, crashingPart, test.crashes, test.pause, test.known, test.served)
			r, state := table.Find(now, crashingPart)
			assert.Equal(t, state, test.want)
			assert.Assert(t, len(r.Crashes) <= maxCrashes)
		})
	}
}

// Guards against refusing many parts, as happens if endpoints end for a reason that no part
// explains.
func TestNumberOfRefusedPartsIsBounded(t *testing.T) {
	table := NewTable(Config{Parts: true, MaxRefused: 2})
	var now time.Time
	for f := range Fingerprint(4) {
		now = reportCrashes(table, f, 3, time.Second, false, true)
	}
	for f, want := range []State{Convicted, Convicted, Exempt, Exempt} {
		_, state := table.Find(now, Fingerprint(f))
		assert.Equal(t, state, want, "part %d", f)
	}
	table.clearCrashes(now.Add(time.Second), 0)
	_, state := table.Find(now.Add(time.Second), 2)
	assert.Equal(t, state, Convicted, "after another one was cleared")
}

// Guards against a verdict without an end, and against one whose trials crash endpoint
// after endpoint.
func TestConvictedPartIsTriedSeldom(t *testing.T) {
	table := NewTable(Config{Parts: true})
	gate := NewGate(table)
	end := reportCrashes(table, crashingPart, 3, time.Second, false, true)
	var trials []time.Duration
	for at := end; at.Before(end.Add(14 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		m := GateRequest{Fingerprint: crashingPart, Copy: Copy{Instance: "r", Number: uint64(len(trials) + 1)}}
		if reply, _ := gate.Handle(at, m); !reply.Trial {
			assert.Equal(t, reply.Verdict, Poison)
			continue
		}
		trials = append(trials, at.Sub(end))
		m.Step, m.Crash = Crashed, &Crash{Endpoint: "e", Incarnation: coordination.Incarnation(10 + len(trials))}
		gate.Handle(at, m)
	}
	assert.DeepEqual(t, trials, []time.Duration{time.Second, 9 * time.Second, 73 * time.Second})
}

// Guards against refusing a part after one of its requests has completed.
func TestCompletionClearsConvictedPart(t *testing.T) {
	table := NewTable(Config{Parts: true})
	gate := NewGate(table)
	end := reportCrashes(table, crashingPart, 3, time.Second, false, true)
	_, record := gate.Handle(end.Add(time.Second), GateRequest{Fingerprint: crashingPart, Step: Answering})
	assert.Assert(t, record != nil)
	other := NewTable(Config{Parts: true})
	reportCrashes(other, crashingPart, 3, time.Second, false, true)
	other.Merge(end.Add(2*time.Second), *record)
	_, state := other.Find(end.Add(2*time.Second), crashingPart)
	assert.Equal(t, state, Clear)
}

// Guards against suspecting the requests that ran beside one with a crashing part.
func TestConvictedPartExplainsCrashes(t *testing.T) {
	parts, requests := NewTable(Config{Parts: true}), NewTable(Config{})
	requests.ExplainedBy(parts)
	crash := Crash{Endpoint: "e", Incarnation: 2, At: unixMillis(partStart.Add(time.Second)), Alone: true}
	_, state := requests.addCrash(partStart.Add(time.Second), 7, crash)
	assert.Equal(t, state, Suspect)
	end := reportCrashes(parts, crashingPart, 3, time.Second, false, true)
	_, state = requests.Find(end, 7)
	assert.Equal(t, state, Clear)
}
