package mirror_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

func item(key, value string, era kv.Era, n int64) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(value), Revision: kv.NewRevision(era, n)}
}

// Guards against a mirror that keeps, or goes back to, what a restored store has lost.
func TestMirrorTakesOverRestoredStore(t *testing.T) {
	m := mirror.New()
	var changes []mirror.Changes
	m.Observe(func(n mirror.Changes) { changes = append(changes, n) })
	m.Apply(mirror.Update{Full: true, AsOf: kv.NewRevision(1, 30), Items: []mirror.Item{
		item("same", "1", 1, 10), item("older", "2", 1, 30), item("gone", "1", 1, 20),
	}})

	m.Apply(mirror.Update{AsOf: kv.NewRevision(2, 16), Items: []mirror.Item{item("older", "1", 2, 16)}})
	assert.Equal(t, valueOf(m, "older"), "2", "a part of a later era was applied")

	m.Apply(mirror.Update{Full: true, AsOf: kv.NewRevision(2, 16), Items: []mirror.Item{
		item("same", "1", 2, 10), item("older", "1", 2, 12), item("new", "1", 2, 16),
	}})
	last := changes[len(changes)-1]
	assert.Assert(t, last.Restored)
	var keys []string
	for _, each := range last.Items {
		keys = append(keys, fmt.Sprint(each.Key, " ", each.Deleted))
	}
	assert.DeepEqual(t, keys, []string{"older false", "new false", "gone true"})

	m.Apply(mirror.Update{AsOf: kv.NewRevision(1, 40), Items: []mirror.Item{item("lost", "1", 1, 35), item("older", "3", 1, 40)}})
	assert.Equal(t, valueOf(m, "lost"), "none", "a late update of an earlier era was applied")
	assert.Equal(t, valueOf(m, "older"), "1")
	assert.Equal(t, m.AsOf(), kv.NewRevision(2, 16))

	u := m.Since(kv.NewRevision(1, 30))
	assert.Assert(t, u.Full, "another router that is in an earlier era gets only a part")
	assert.Assert(t, !m.Since(kv.NewRevision(2, 15)).Full)
}

// restoreScenario is a store that comes back from a copy.
type restoreScenario struct {
	name      string
	routers   int
	lost      int           // writes since the copy
	again     time.Duration // until its writers write again
	overtaken bool          // the lost revisions have been given out again before any router asks
	refused   float64       // the share of the routers that the store refuses
	delay     time.Duration // of each reply of the store
}

// Guards against changes that are late, and calls without a pause, after a restore.
func TestChangeReachesAllAfterRestore(t *testing.T) {
	scenarios := []restoreScenario{
		{name: "few lost", routers: 8, lost: 2, again: 200 * time.Millisecond},
		{name: "many lost", routers: 8, lost: 300, again: 200 * time.Millisecond},
		{name: "overtaken", routers: 8, lost: 20, overtaken: true},
		{name: "slow store", routers: 8, lost: 20, again: 200 * time.Millisecond, delay: 150 * time.Millisecond},
		{name: "a third refused", routers: 8, lost: 20, again: 200 * time.Millisecond, refused: 0.35},
		{name: "61, many lost", routers: 61, lost: 300, again: 200 * time.Millisecond},
		{name: "61, overtaken, a third refused", routers: 61, lost: 20, overtaken: true, refused: 0.35},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, s.run)
		})
	}
}

func (s restoreScenario) run(t *testing.T) {
	f := newFleetWithDelay(t, s.routers, 4*time.Millisecond, func(int, mirror.Changes) {})
	f.store.put("a", "0")
	f.waitForValue(t, 5*time.Second, "a", "0")
	f.store.withLock(func() {
		f.storeDelay = s.delay
		for i := range int(s.refused * float64(s.routers)) {
			f.refused[i*s.routers/int(s.refused*float64(s.routers))] = true
		}
	})
	for round := range 5 {
		time.Sleep(5 * time.Second)
		asOf, pairs := f.store.copy()
		for n := range s.lost {
			f.store.put("a", fmt.Sprint(round, "-", n))
			f.store.put("lost", fmt.Sprint(round, "-", n))
		}
		time.Sleep(time.Second)
		f.store.withLock(func() { f.store.down = true })
		time.Sleep(2 * time.Second)
		f.store.restore(asOf, pairs)
		f.store.resetCalls()
		f.store.withLock(func() { f.store.down = s.overtaken })
		time.Sleep(s.again)
		written := fmt.Sprint(round, " again")
		f.store.put("a", written)
		if s.overtaken {
			for n := range 3 * s.lost {
				f.store.put("b", fmt.Sprint(n))
			}
			f.store.withLock(func() { f.store.down = false })
		}
		f.waitForValue(t, maxAfterAck, "a", written)
		time.Sleep(2 * time.Second)
		for i, m := range f.mirrors {
			want := "none"
			if p, ok := pairs["lost"]; ok {
				want = string(p.Value)
			}
			assert.Equal(t, valueOf(m, "lost"), want, "router %d", i)
		}
		assert.Check(t, f.store.cost() < 40*len(mirror.DefaultWatchers(f.routers))+s.routers, "%d calls", f.store.cost())
		f.store.put("a", written+" and changed")
		f.waitForValue(t, maxAfterAck, "a", written+" and changed")
	}
}

// Guards against a router that starts after a restore and does not learn what the store has
// lost, also through one that has itself started since, and against what was written again
// being undone by it.
func TestNewRouterLearnsWhatRestoredStoreLost(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Update{Full: true, AsOf: kv.NewRevision(1, 30), Items: []mirror.Item{
		item("older", "2", 1, 30), item("gone", "1", 1, 20), item("again", "2", 1, 25),
	}})
	m.Apply(mirror.Update{AsOf: kv.NewRevision(1, 31), Items: []mirror.Item{{Key: "left", Revision: kv.NewRevision(1, 31), Deleted: true}}})
	copied := mirror.Update{Full: true, AsOf: kv.NewRevision(2, 16), Items: []mirror.Item{
		item("older", "1", 2, 12), item("again", "1", 2, 11), item("left", "1", 2, 10),
	}}
	m.Apply(copied)
	m.Apply(mirror.Update{AsOf: kv.NewRevision(2, 17), Items: []mirror.Item{item("again", "3", 2, 17)}})

	for range 2 {
		var seen []string
		starting := mirror.New()
		starting.Observe(func(n mirror.Changes) {
			for _, each := range n.Items {
				seen = append(seen, fmt.Sprint(each.Key, "=", string(each.Value), " restored ", n.Restored))
			}
		})
		starting.Apply(copied)
		seen = nil
		starting.ApplyRetained(mirror.Update{Items: m.Retained(), AsOf: m.AsOf()})
		assert.DeepEqual(t, seen, []string{
			"gone=1 restored false", "left= restored false", "older=2 restored false",
			"gone= restored true", "left=1 restored true", "older=1 restored true",
		})
		assert.Equal(t, valueOf(starting, "older"), "1")
		m = starting
	}
}

// Guards against a value from before an earlier restore, or from before a write that the
// starting router has seen, that is taken for the one before the latest restore.
func TestRetainedItemsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		apply := func(era kv.Era, value string) {
			m.Apply(mirror.Update{Full: true, AsOf: kv.NewRevision(era, 30), Items: []mirror.Item{item("a", value, era, 30)}})
		}
		apply(1, "1")
		apply(2, "0")
		assert.Equal(t, string(m.Retained()[0].Value), "1")
		apply(3, "00")
		assert.Equal(t, string(m.Retained()[0].Value), "1", "two restores in a row")
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(m.Retained()), 0)
		apply(4, "2")
		assert.Equal(t, string(m.Retained()[0].Value), "00")

		m.ApplyRetained(mirror.Update{AsOf: kv.NewRevision(4, 29), Items: []mirror.Item{item("a", "late", 3, 10)}})
		assert.Equal(t, string(m.Retained()[0].Value), "00")
		m.Apply(mirror.Update{AsOf: kv.NewRevision(4, 31), Items: []mirror.Item{item("a", "3", 4, 31)}})
		m.ApplyRetained(mirror.Update{AsOf: kv.NewRevision(4, 30), Items: []mirror.Item{item("a", "late", 3, 10)}})
		assert.Equal(t, len(m.Retained()), 0)
	})
}

// Guards against a router that starts and asks one which has not noticed the restore yet.
func TestNewRouterAsksUntilOthersNoticedRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const starting = 2
		var mu sync.Mutex
		var values []string
		f := newStoppedFleet(3, 0, func(router int, n mirror.Changes) {
			mu.Lock()
			defer mu.Unlock()
			for _, each := range n.Items {
				if router == starting {
					values = append(values, string(each.Value))
				}
			}
		})
		t.Cleanup(f.feeds[0].Start())
		t.Cleanup(f.feeds[1].Start())
		f.store.put("a", "1")
		time.Sleep(5 * time.Second)
		asOf, pairs := f.store.copy()
		f.store.put("a", "2")
		time.Sleep(5 * time.Second)
		assert.Equal(t, valueOf(f.mirrors[0], "a"), "2")
		assert.Equal(t, valueOf(f.mirrors[1], "a"), "2")
		f.store.withLock(func() { f.refused[0], f.refused[1] = true, true })
		f.store.restore(asOf, pairs)
		t.Cleanup(f.feeds[starting].Start())
		<-f.feeds[starting].Started()
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, slices.Contains(values, "2"), "%v", values)
	})
}
