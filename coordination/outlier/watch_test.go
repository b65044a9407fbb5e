package outlier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

func request(endpoint coordination.Endpoint, kind string) Request {
	return Request{Pool: "p", Endpoint: endpoint, Kind: kind}
}

// fill records n requests of a kind, spread over endpoints e0 to e4; every
// failEvery-th one fails.
func fill(w *Monitor, now time.Time, kind string, n, failEvery int) {
	for i := range n {
		s := request(coordination.Endpoint(fmt.Sprintf("e%d", i%5)), kind)
		if failEvery > 0 && i%failEvery == 0 {
			w.RecordFailure(now, s)
			continue
		}
		w.RecordSuccess(now, s)
	}
}

// The weight of a failure depends on how the same kind of request fares at
// other endpoints.
func TestWeightOfAFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name      string
		failEvery int // one in failEvery requests at other endpoints fails
		n         int
		least     Weight
		most      Weight
	}{
		{"nothing is known", 0, 0, 0, 0},
		{"others never fail", 0, 100, 350, 395},
		{"others fail one in seven", 7, 100, 110, 150},
		{"the kind fails everywhere", 1, 100, 0, 5},
		{"few requests elsewhere", 0, 2, 100, 200},
	}
	for _, test := range tests {
		var w Monitor
		fill(&w, now, "k", test.n, test.failEvery)
		got := w.RecordFailure(now, request("bad", "k"))
		assert.Assert(t, got >= test.least && got <= test.most, "%s: %d", test.name, got)
	}
}

// Guards against ejections when all endpoints of a pool fail at once, for
// example because a shared dependency is down: after the first few failures,
// further ones have almost no weight.
func TestFailureOfAWholePoolSaysLittle(t *testing.T) {
	var w Monitor
	now := time.Unix(1000, 0)
	fill(&w, now, "k", 100, 0)
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		fill(&w, now, "k", 5, 1)
	}
	got := w.RecordFailure(now, request("e0", "k"))
	assert.Assert(t, got < 20, "%d", got)
}

// An endpoint's own failures neither count against the others nor raise the
// failure rate that its next failure is compared with.
func TestOwnFailuresAreExcluded(t *testing.T) {
	var w Monitor
	now := time.Unix(1000, 0)
	fill(&w, now, "k", 100, 0)
	var last Weight
	for range 50 {
		last = w.RecordFailure(now, request("bad", "k"))
	}
	assert.Assert(t, last > 350, "%d", last)
	assert.Assert(t, w.RecordFailure(now, request("e0", "k")) < last)
}

// A lookup that fails one time in seven does not reduce the weight of a failed
// order.
func TestKindsAreSeparate(t *testing.T) {
	var w Monitor
	now := time.Unix(1000, 0)
	fill(&w, now, "lookup", 100, 7)
	fill(&w, now, "order", 100, 0)
	assert.Assert(t, w.RecordFailure(now, request("e0", "order")) > 2*w.RecordFailure(now, request("e0", "lookup")))
}

func TestFirstByteLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name  string
		times []int // in milliseconds, one each second
		want  time.Duration
	}{
		{"nothing seen", nil, 0},
		{"too few", []int{50, 50, 50}, 0},
		{"twice the longest", []int{50, 60, 50, 400, 50, 50, 50, 50, 50}, ms(800)},
		{"old ones are forgotten", append([]int{900, 50, 50, 50, 50, 50, 50, 50}, repeat(70, 40)...), ms(140)},
	}
	for _, test := range tests {
		var w Monitor
		now := start
		for _, n := range test.times {
			now = now.Add(time.Second)
			w.RecordFirstByte(now, request("e", "k"), ms(n))
		}
		assert.Equal(t, w.FirstByteLimit(now, request("f", "k")), test.want, test.name)
	}
}

// A single answer delayed by a lost packet does not set the limit.
func TestFirstByteLimitIgnoresFewLongest(t *testing.T) {
	var w Monitor
	now := time.Unix(1000, 0)
	for n := range 100 {
		took := 50 * time.Millisecond
		if n == 30 {
			took = 5 * time.Second
		}
		w.RecordFirstByte(now, request("e", "k"), took)
	}
	assert.Equal(t, w.FirstByteLimit(now, request("e", "k")), 100*time.Millisecond)
}

func repeat(n, times int) []int {
	all := make([]int, times)
	for i := range all {
		all[i] = n
	}
	return all
}

func ExampleMonitor() {
	var w Monitor
	now := time.Unix(1000, 0)
	for range 100 {
		w.RecordSuccess(now, Request{Pool: "engines", Endpoint: "e1", Kind: "draft"})
	}
	var j Detector
	for range 2 {
		begun := now.Add(50 * time.Millisecond)
		now = begun.Add(50 * time.Millisecond)
		j.Observe(now, "zone-a", begun, w.RecordFailure(now, Request{Pool: "engines", Endpoint: "e2", Kind: "draft"}))
	}
	standing, wait := j.Standing(now, "zone-a", nRuns(0))
	fmt.Println(standing, wait)
	// Output: ejected 1s
}
