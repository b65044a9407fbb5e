package settings

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const measuredChanges = 12

// TestMeasureSpread reports, for several sizes of the fleet, the time from the
// acceptance of a change until it is in force on the last router, and what it
// costs in calls. The times are those of the paused clock, over a hub whose
// gossip is modelled by rounds of 100 ms and whose links take 4 ms each way.
func TestMeasureSpread(t *testing.T) {
	for _, n := range []int{7, 15, 30, 60} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(n), n)
			time.Sleep(20 * time.Second)
			idle := f.measureIdle()
			var times []time.Duration
			before := f.count()
			for i := range measuredChanges {
				p := f.routers[(i*5)%n].accept(t, fmt.Sprintf("[team]\ndeadline-default = %ds\n", i+1))
				times = append(times, f.await(p, inForceWithin))
				time.Sleep(2*time.Second - times[i])
			}
			after := f.count()
			slices.Sort(times)
			t.Logf("routers=%d in-force p50=%v max=%v; platform calls a change: writes=%.2f reads=%.2f; peer calls a change and router=%.2f; idle platform calls a minute=%d, watches open=%d, confirmations a minute=%d",
				n, times[len(times)/2], times[len(times)-1],
				float64(after.writes-before.writes)/measuredChanges,
				float64(after.reads-before.reads)/measuredChanges,
				float64(after.peerCalls-before.peerCalls)/measuredChanges/float64(n),
				idle.reads, f.watching(), idle.confirmed)
			assert.Assert(t, times[len(times)-1] <= inForceWithin)
		})
	}
}

// spent is what a fleet has spent so far.
type spent struct{ writes, reads, peerCalls, confirmed int }

func (f *fleet) count() spent {
	s := spent{
		writes: f.store.Calls("cas"),
		reads:  f.store.Calls("get") + f.store.Calls("list") + f.store.Calls("watch"),
	}
	f.hub.mu.Lock()
	s.peerCalls = f.hub.calls
	f.hub.mu.Unlock()
	for _, r := range f.routers {
		s.confirmed += r.sync.Stats().Confirmed
	}
	return s
}

func (f *fleet) measureIdle() spent {
	const minutes = 1
	before := f.count()
	time.Sleep(minutes * time.Minute)
	after := f.count()
	return spent{
		reads:     (after.reads - before.reads) / minutes,
		confirmed: (after.confirmed - before.confirmed) / minutes,
	}
}

func (f *fleet) watching() int {
	n := 0
	for _, r := range f.routers {
		if r.sync.Watching() {
			n++
		}
	}
	return n
}
