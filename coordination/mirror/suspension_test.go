package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a reply that was sent before a suspension of the process, read after it and
// taken for new.
func TestSuspensionDelaysRepliesThatWaited(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name   string
		checks []time.Duration // since the beginning
		start  time.Duration   // of the call
		now    time.Duration   // when its reply is read
		want   time.Duration
	}{
		{"none", []time.Duration{0, 250 * ms, 500 * ms}, 100 * ms, 600 * ms, 0},
		{"busy process", []time.Duration{0, 250 * ms, 650 * ms}, 100 * ms, 1000 * ms, 0},
		{"call before, read before the next check", []time.Duration{0, 250 * ms}, 100 * ms, 5250 * ms, 5000 * ms},
		{"call before, read after it", []time.Duration{0, 250 * ms, 5250 * ms}, 100 * ms, 5300 * ms, 5050 * ms},
		{"call just before", []time.Duration{0, 250 * ms}, 300 * ms, 5250 * ms, 4950 * ms},
		{"call after", []time.Duration{0, 250 * ms, 5250 * ms}, 5260 * ms, 5300 * ms, 0},
		{"call across two", []time.Duration{0, 2000 * ms, 2250 * ms, 4250 * ms}, 0, 4300 * ms, 4300 * ms},
		{"call between two", []time.Duration{0, 2000 * ms, 2250 * ms, 4250 * ms}, 2100 * ms, 4300 * ms, 2200 * ms},
		{"long after an earlier one", []time.Duration{0, 2000 * ms, 2250 * ms, 40000 * ms}, 2100 * ms, 40000 * ms, 37900 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s suspensions
			began := time.Now()
			for _, at := range tc.checks {
				s.check(began.Add(at))
			}
			assert.Equal(t, s.delay(began.Add(tc.now), began.Add(tc.start)), tc.want)
		})
	}
}
