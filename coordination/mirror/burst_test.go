package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// Hundreds of endpoints that register within seconds, as when all of them
// start, must not cost one call of each watcher and one message to every other
// router each.
func TestBurstOfChangesComesInFewUpdates(t *testing.T) {
	const (
		changes = 250
		pause   = 20 * time.Millisecond
	)
	for _, routers := range []int{7, 64, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var updates int
				f := newFleetWithDelay(t, routers, 4*time.Millisecond, func(router int, _ mirror.Changes) {
					if router == 0 {
						updates++
					}
				})
				f.store.put("a", "0")
				time.Sleep(5 * time.Second)
				f.store.resetCalls()
				updates = 0
				for i := range changes {
					f.store.put(fmt.Sprint("servers/", i), "x")
					time.Sleep(pause)
				}
				time.Sleep(time.Second)
				last := fmt.Sprint("servers/", changes-1)
				for i, m := range f.mirrors {
					assert.Equal(t, valueOf(m, last), "x", "router %d", i)
				}
				seconds := (changes * pause).Seconds()
				watchers := len(mirror.DefaultWatchers(f.routers))
				t.Logf("%d calls and %d updates at one router for %d changes in %.0f s", f.store.cost(), updates, changes, seconds)
				assert.Check(t, f.store.cost() <= 10*watchers*int(seconds+1))
				assert.Check(t, updates <= 20*int(seconds+1))
			})
		})
	}
}

// If routers chose among all others whom to ask, each would hold a connection
// to every other one.
func TestRoutersAskFewOthers(t *testing.T) {
	for _, n := range []int{7, 64, 330, 1000} {
		var routers []placement.Router
		for i := range n {
			routers = append(routers, placement.Router{ID: coordination.Instance(fmt.Sprint("edge-", i))})
		}
		askedBy := make(map[coordination.Instance]int)
		for _, r := range routers {
			for _, id := range mirror.Alternates(r.ID, routers) {
				assert.Assert(t, id != r.ID)
				askedBy[id]++
			}
		}
		for id, by := range askedBy {
			assert.Check(t, by <= 20, "%s is asked by %d of %d routers", id, by, n)
		}
	}
}
