package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingHistory returns a history in which each of n runs of a request crashes another
// endpoint, one every 500 ms, sent by a router that is in touch from a run on.
func crashingHistory(n, inTouchFrom int) *history {
	h := &history{}
	for i := range n {
		id := fmt.Sprintf("q%d", i)
		a := newArrival(id, "/safe/", 500*i, 500*i+15)
		a.Path, a.endpoint = "/safe/crash-0", fmt.Sprintf("e%d", i)
		h.arrivals = append(h.arrivals, a)
		h.outcomes = append(h.outcomes, outcome{
			id: id, path: "/safe/", repeated: "/safe/crash-0", inTouch: i >= inTouchFrom,
			sent: historyStart.Add(time.Duration(500*i) * time.Millisecond),
		})
	}
	return h
}

// Guards against a check that misses requests sent to endpoints that they crash, or that
// binds routers which are not in touch.
func TestHistoryDetectsCrashingRequests(t *testing.T) {
	for _, test := range []struct {
		runs, inTouchFrom int
		broken            int
	}{
		{runs: 3, broken: 0},
		{runs: 12, broken: 0}, // the third crash is at 1 s, three runs come later than 4 s
		{runs: 13, broken: 1},
		{runs: 13, inTouchFrom: 10, broken: 0},
	} {
		got := crashingHistory(test.runs, test.inTouchFrom).checkCrashes()
		assert.Equal(t, len(got), test.broken, "%+v: %v", test, got)
	}
}
