package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// While nothing changes, the calls between routers must not grow with the size
// of the fleet for any router, and the calls to the store must not grow at all.
func TestRestCostsTheSameAtAnySize(t *testing.T) {
	const (
		seconds = 12
		// A router asks once a second in a small fleet and less often in a
		// large one. A watcher is asked by the routers for which it watches.
		maxCallsFrom = 2  // calls a second from any router
		maxCallsTo   = 60 // calls a second to a watcher
	)
	for _, routers := range []int{7, 64, 330, 1000} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithDelay(t, routers, 4*time.Millisecond, func(int, mirror.Changes) {})
				f.store.put("a", "0")
				time.Sleep(8 * time.Second)
				f.store.resetCalls()
				f.takeCallCounts()
				time.Sleep(seconds * time.Second)
				mostFrom, mostTo := f.takeCallCounts()
				watchers := len(mirror.DefaultWatchers(f.routers))
				t.Logf("calls to the store: %d, from %d watchers; calls between routers: at most %d from one router and %d to one router", f.store.cost(), watchers, mostFrom, mostTo)
				assert.Check(t, f.store.cost() <= 3*seconds+watchers)
				assert.Check(t, mostFrom <= maxCallsFrom*seconds)
				assert.Check(t, mostTo <= maxCallsTo*seconds)
			})
		})
	}
}
