package pause

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

func TestPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table Table
		e := Target{Endpoint: "e", Incarnation: 1}
		assert.Equal(t, table.Left(time.Now(), e), time.Duration(0))
		table.Record(time.Now(), e, 3*time.Second)
		assert.Equal(t, table.Left(time.Now(), e), 3*time.Second)
		assert.Assert(t, table.Active(time.Now()))
		time.Sleep(2 * time.Second)
		table.Record(time.Now(), e, 500*time.Millisecond)
		assert.Equal(t, table.Left(time.Now(), e), time.Second, "a later, shorter pause does not shorten it")
		table.Record(time.Now(), e, 2*time.Second)
		assert.Equal(t, table.Left(time.Now(), e), 2*time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, table.Left(time.Now(), e), time.Duration(0))
		assert.Assert(t, !table.Active(time.Now()))
	})
}

// Guards against a pause that concerns another incarnation, or the requests of another
// router.
func TestPauseIsOfOneTarget(t *testing.T) {
	var table Table
	now := time.Now()
	e := Target{Endpoint: "e", Incarnation: 1}
	table.Record(now, e, time.Second)
	for _, other := range []Target{{"e", 2, ""}, {"e", 1, "r2"}, {"f", 1, ""}} {
		assert.Equal(t, table.Left(now, other), time.Duration(0), "%+v", other)
	}
}

func TestRecordBoundsPauses(t *testing.T) {
	var table Table
	now := time.Now()
	for d, want := range map[time.Duration]time.Duration{-time.Second: 0, 0: 0, 1000 * time.Hour: Max} {
		e := Target{Endpoint: coordination.Endpoint(fmt.Sprint(d))}
		table.Record(now, e, d)
		assert.Equal(t, table.Left(now, e), want, "%v", d)
	}
}

// Guards against a table that grows with each endpoint that ever asked for a pause.
func TestPausesAreForgotten(t *testing.T) {
	var table Table
	now := time.Now()
	for n := range 10_000 {
		table.Record(now, Target{Endpoint: coordination.Endpoint(fmt.Sprint(n))}, time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	held := 0
	for i := range table.shards {
		held += len(table.shards[i].until)
	}
	assert.Assert(t, held < 500, "%d pauses", held)
}

func TestShortest(t *testing.T) {
	var table Table
	now := time.Now()
	a, b := Target{Endpoint: "a"}, Target{Endpoint: "b"}
	assert.Equal(t, table.Shortest(now, nil), time.Duration(0))
	table.Record(now, a, 3*time.Second)
	assert.Equal(t, table.Shortest(now, []Target{a, b}), time.Duration(0))
	table.Record(now, b, 2*time.Second)
	assert.Equal(t, table.Shortest(now, []Target{a, b}), 2*time.Second)
}

func TestParse(t *testing.T) {
	for in, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e9": Max, "+Inf": Max,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "Thu, 03 Dec 2026 23:00:00 GMT": 0,
	} {
		assert.Equal(t, Parse(in), want, "%q", in)
	}
}

// Guards against callers that return before the pause has ended, or all at once.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := RetryAfter(2 * time.Second)
		assert.Assert(t, d >= 2*time.Second && d <= 2500*time.Millisecond, "%v", d)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 50)
}

func ExampleTable() {
	var table Table
	now := time.Now()
	e := Target{Endpoint: "e1", Incarnation: 7}
	table.Record(now, e, 3*time.Second)
	fmt.Println(table.Left(now.Add(time.Second), e))
	// Output: 2s
}
