package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that misses requests with a part that crashes endpoints.
func TestHistoryDetectsCrashingParts(t *testing.T) {
	for _, test := range []struct {
		runs, inTouchFrom int
		broken            int
	}{
		{runs: 5, broken: 0},
		{runs: 14, broken: 0}, // the fifth crash is at 2 s, three runs come later than 5 s
		{runs: 15, broken: 1},
		{runs: 15, inTouchFrom: 12, broken: 0},
	} {
		h := &history{}
		for i := range test.runs {
			o := outcome{id: fmt.Sprintf("q%d", i), path: "/stream/", part: crashPart + "1", inTouch: i >= test.inTouchFrom, sent: historyStart.Add(time.Duration(500*i) * time.Millisecond)}
			a := newArrival(o.id, "/stream/", 500*i, 500*i+15)
			a.Prompt, a.endpoint = o.prompt(), fmt.Sprintf("e%d", i)
			h.arrivals, h.outcomes = append(h.arrivals, a), append(h.outcomes, o)
		}
		got := h.checkParts()
		assert.Equal(t, len(got), test.broken, "%+v: %v", test, got)
	}
}
