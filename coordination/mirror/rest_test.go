package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// What the routers ask each other while nothing changes must not grow with the
// fleet for any of them, and the calls to the store not at all.
func TestRestCostsTheSameAtAnySize(t *testing.T) {
	const (
		seconds = 12
		// A router asks once a second in a small fleet and less often in a large
		// one, and is asked by those for whom it watches.
		maxAsks  = 2  // a second, of any router
		maxAsked = 60 // a second, of a router that watches
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
				asks, asked := f.takeCallCounts()
				watchers := len(mirror.DefaultWatchers(f.routers))
				t.Logf("%d calls to the store by %d routers; a router asks %d times at most, and is asked %d times", f.store.cost(), watchers, asks, asked)
				assert.Check(t, f.store.cost() <= 3*seconds+watchers)
				assert.Check(t, asks <= maxAsks*seconds)
				assert.Check(t, asked <= maxAsked*seconds)
			})
		})
	}
}
