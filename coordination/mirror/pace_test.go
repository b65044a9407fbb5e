package mirror_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// newRouters returns n routers in three availability zones.
func newRouters(n int) (routers []placement.Router) {
	for i := range n {
		routers = append(routers, placement.Router{ID: coordination.Instance(fmt.Sprint("r", i)), Zone: coordination.Zone(fmt.Sprint(i % 3))})
	}
	return routers
}

func TestCurrentWatchers(t *testing.T) {
	routers := newRouters(40)
	defaults := mirror.DefaultWatchers(routers)
	assert.Equal(t, len(defaults), 3)
	tests := []struct {
		name               string
		refused, confirmed []coordination.Instance
		allRefused         bool
		watchers           int
		defaultCount       int
	}{
		{name: "the store serves all", watchers: 3, defaultCount: 3},
		{name: "one of those that watch is cut off", refused: defaults[:1], watchers: 3, defaultCount: 2},
		{name: "all that watch are cut off", refused: defaults, watchers: 21},
		{name: "one stand-in has told", refused: defaults, confirmed: fallbackWatchers(routers, defaults)[:1], watchers: 21},
		{name: "two stand-ins have told", refused: defaults, confirmed: fallbackWatchers(routers, defaults)[:2], watchers: 2},
		{name: "the store is away for all", allRefused: true, watchers: 3, defaultCount: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := mirror.CurrentWatchers(routers, mirror.StoreReach{
				Possible:  func(id coordination.Instance) bool { return !test.allRefused && !slices.Contains(test.refused, id) },
				Confirmed: func(id coordination.Instance) bool { return slices.Contains(test.confirmed, id) },
			})
			assert.Equal(t, len(got), test.watchers)
			n := 0
			for _, id := range got {
				if slices.Contains(defaults, id) {
					n++
				}
			}
			assert.Equal(t, n, test.defaultCount)
		})
	}
}

// fallbackWatchers returns the watchers when the default ones are cut off.
func fallbackWatchers(routers []placement.Router, defaults []coordination.Instance) []coordination.Instance {
	return mirror.CurrentWatchers(routers, mirror.StoreReach{
		Possible:  func(id coordination.Instance) bool { return !slices.Contains(defaults, id) },
		Confirmed: func(coordination.Instance) bool { return false },
	})
}

// A store that takes 60 times as long as usual for each reply must not be
// considered lost. The whole fleet would keep changing its watchers and add
// calls to an overloaded store.
func TestSlowStoreIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		f.store.withLock(func() { f.storeDelay = 240 * time.Millisecond })
		time.Sleep(time.Minute)
		assert.Equal(t, f.stateChanges.Load(), int32(0))
		f.store.put("a", "2")
		f.waitForValue(t, time.Second, "a", "2")
	})
}

// When the store replies to the default watchers again, the fallback watchers
// must stop, or every outage would raise the cost of the store permanently.
func TestFallbackWatchersStopWhenStoreRecovers(t *testing.T) {
	for _, routers := range []int{7, 64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, routers)
			f.store.put("a", "1")
			f.waitForValue(t, 3*time.Second, "a", "1")
			f.silenceWatchers(3)
			time.Sleep(5 * time.Second)
			assert.Assert(t, f.stateChanges.Load() > 0)
			f.store.resetCalls()
			for n := range 20 {
				time.Sleep(time.Second)
				f.store.put("a", fmt.Sprint(n))
				f.waitForValue(t, time.Second, "a", fmt.Sprint(n))
			}
			// Each change is sent in reply to five watches, each of three lost
			// routers calls once a second, and twelve fallbacks get two replies
			// before they stop.
			assert.Assert(t, f.store.cost() < 20*5+3*20+12*2, "%d calls in 20 s with 20 changes", f.store.cost())
			f.store.withLock(func() { f.silent = nil })
			time.Sleep(5 * time.Second)
			f.store.resetCalls()
			time.Sleep(time.Minute)
			assert.Assert(t, f.store.cost() < 150, "%d calls in a minute", f.store.cost())
		})
	}
}

// A watcher that has lost the store must repeat its hint, because a router that
// has started since then has not received the first.
func TestWatcherRepeatsStoreLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		f.silenceWatchers(1)
		time.Sleep(time.Minute)
		hints := f.lossHints.Load()
		assert.Assert(t, hints >= 6*10 && hints <= 6*20, "%d hints in a minute", hints)
	})
}

// When all watchers lose power together and the others have just noticed, other
// routers must watch at once. Until then a revoked key stays valid.
func TestOthersWatchAtOnceAfterWatchersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		watchers := mirror.DefaultWatchers(f.routers)
		var remaining []*mirror.Mirror
		f.store.withLock(func() {
			f.poweredOff = make(map[coordination.Instance]bool)
			for i, r := range f.routers {
				f.poweredOff[r.ID] = slices.Contains(watchers, r.ID)
				f.refused[i], f.silent[i] = f.poweredOff[r.ID], f.poweredOff[r.ID]
				if !f.poweredOff[r.ID] {
					remaining = append(remaining, f.mirrors[i])
				}
			}
		})
		for _, feed := range f.feeds {
			feed.RecheckStore()
		}
		time.Sleep(10 * time.Millisecond)
		f.store.put("a", "2")
		time.Sleep(10 * time.Millisecond)
		known := 0
		for _, m := range remaining {
			if valueOf(m, "a") == "2" {
				known++
			}
		}
		assert.Assert(t, known >= 3, "%d routers know of the change", known)
	})
}
