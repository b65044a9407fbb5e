package mirror_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// newConfirmedFleet returns a fleet whose mirrors have the value "1" of the key a.
func newConfirmedFleet(t *testing.T) *fleet {
	f := newFleetWithDelay(t, 3, 2*time.Millisecond, func(int, mirror.Changes) {})
	f.store.put("a", "1")
	f.waitForValue(t, 2*time.Second, "a", "1")
	return f
}

// Guards against a router that acts on what the store held before it was asked, as no watch
// has reported the change.
func TestConfirmBringsMirrorUpToDate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *fakeStore)
	}{
		{"unchanged", func(*fakeStore) {}},
		{"watches miss the change", func(s *fakeStore) { s.put("a", "2") }},
		{"the store has compacted it", func(s *fakeStore) {
			s.put("a", "2")
			s.withLock(func() { s.compacted = s.asOf })
		}},
		{"new watches miss it, too", func(s *fakeStore) {
			s.put("a", "2")
			s.withLock(func() { s.deafToNewWatches = true })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newConfirmedFleet(t)
				f.store.withLock(func() { f.store.dropNotifications = true })
				tc.change(f.store)
				_, pairs := f.store.copy()
				for n, feed := range f.feeds {
					assert.Assert(t, feed.Confirm(t.Context()))
					assert.Equal(t, valueOf(f.mirrors[n], "a"), string(pairs["a"].Value))
					assert.Equal(t, f.mirrors[n].AsOf(), f.store.revision())
				}
			})
		})
	}
}

// Guards against a router that decides by what its observers knew before the change that the
// mirror already has.
func TestConfirmWaitsForObservers(t *testing.T) {
	t.Parallel()
	began := make(chan struct{})
	var ended atomic.Bool
	f := newFleetWithDelay(t, 1, time.Millisecond, func(_ int, n mirror.Changes) {
		if string(n.Items[0].Value) != "2" {
			return
		}
		close(began)
		time.Sleep(100 * time.Millisecond)
		ended.Store(true)
	})
	f.store.put("a", "1")
	f.waitForValue(t, 2*time.Second, "a", "1")
	f.store.put("a", "2")
	<-began
	assert.Assert(t, f.feeds[0].Confirm(t.Context()))
	assert.Assert(t, ended.Load())
}

// Guards against changes that some observers never see, as they are set only after the mirror
// has them, or see although the router has stopped.
func TestConfirmFailsUnlessFeedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStoppedFleet(1, 2*time.Millisecond, func(int, mirror.Changes) {})
		f.store.put("a", "1")
		assert.Assert(t, !f.feeds[0].Confirm(t.Context()))
		assert.Equal(t, f.mirrors[0].AsOf(), kv.Revision(0))
		stop := f.feeds[0].Start()
		assert.Assert(t, f.feeds[0].Confirm(t.Context()))
		stop()
		f.store.put("a", "2")
		assert.Assert(t, !f.feeds[0].Confirm(t.Context()))
		assert.Equal(t, valueOf(f.mirrors[0], "a"), "1")
	})
}

// Guards against a router that takes its view for confirmed although the store does not reply
// to it, and against callers that wait for that one after the other.
func TestConfirmFailsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfirmedFleet(t)
		f.store.withLock(func() { f.silent[1] = true })
		start := time.Now()
		assert.Assert(t, !f.feeds[1].Confirm(t.Context()))
		assert.Assert(t, time.Since(start) <= 400*time.Millisecond, "%v", time.Since(start))
		start = time.Now()
		assert.Assert(t, !f.feeds[1].Confirm(t.Context()))
		assert.Equal(t, time.Since(start), time.Duration(0))
		f.store.withLock(func() { f.silent[1] = false })
		time.Sleep(time.Second)
		assert.Assert(t, f.feeds[1].Confirm(t.Context()))
	})
}

// Guards against a read of the store for each of many callers, and against one that takes the
// result of a read which began before it called.
func TestConfirmSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfirmedFleet(t)
		f.store.resetCalls()
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { f.feeds[2].Confirm(t.Context()) })
		}
		time.Sleep(3 * time.Millisecond) // the first read has begun, and the store has replied
		f.store.withLock(func() { f.store.dropNotifications = true })
		f.store.put("a", "2")
		assert.Assert(t, f.feeds[2].Confirm(t.Context()))
		assert.Equal(t, valueOf(f.mirrors[2], "a"), "2")
		group.Wait()
		assert.Assert(t, f.store.cost() <= 5, "%d calls", f.store.cost())
	})
}
