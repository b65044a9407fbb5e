package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// The store turns some routers away while it serves the others. An operator
// takes a key away; on the routers that were turned away it would stay good
// until the store serves them again.
func TestRouterRefusedByStoreUpdatesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		f.store.withLock(func() { f.refused[1], f.refused[4], f.refused[5] = true, true, true })
		time.Sleep(10 * time.Second)
		f.store.put("a", "2")
		f.waitForValue(t, 2*time.Second, "a", "2")
	})
}

// All watches of the store hear nothing for a second while a change is made,
// and none of them ends. Nobody would hear of the change before the longest
// wait of a watch is over.
func TestChangeMissedByAllWatchesIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		time.Sleep(20 * time.Second)
		f.store.withLock(func() { f.store.dropNotifications = true })
		f.store.put("a", "2")
		f.store.withLock(func() { f.store.dropNotifications, f.store.compacted = false, f.store.asOf })
		f.waitForValue(t, 3*time.Second, "a", "2")
	})
}

// The store is down for some seconds, and a router starts meanwhile. It serves
// nobody until it has the desired state from another router.
func TestRouterStartedDuringOutageAsksPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		f.store.withLock(func() { f.store.down = true })
		time.Sleep(5 * time.Second)
		late := mirror.New()
		follower := &mirror.Follower{Mirror: late, Source: mirror.PeerSource{
			Transport: peerTransport{f, 2}, Choose: func() (coordination.Instance, bool) { return "1", true }, Wait: func() time.Duration { return time.Second }, Timeout: time.Second,
		}}
		defer follower.Start()()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, valueOf(late, "a"), "1")
	})
}

// failingSource is away until a moment, and then tells one item.
type failingSource struct{ until time.Time }

func (s failingSource) Fetch(ctx context.Context, after kv.Revision) (mirror.Update, error) {
	if time.Now().Before(s.until) {
		return mirror.Update{}, errDown
	}
	if after > 0 {
		<-ctx.Done()
		return mirror.Update{}, ctx.Err()
	}
	return mirror.Update{AsOf: 1, Full: true, Items: []mirror.Item{put("a", "1", 1)}}, nil
}

// All routers restart while the store is down. None has the desired state, so
// each of them refuses every request until it has asked the store again, and
// a caller is turned away by a fleet that could long have served it.
func TestRoutersStartedDuringOutageRecoverQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			back := time.Now().Add(5 * time.Second)
			m := mirror.New()
			stop := (&mirror.Follower{Mirror: m, Source: failingSource{back}}).Start()
			m.Wait(t.Context(), 0, nil)
			assert.Assert(t, time.Since(back) <= 300*time.Millisecond, "the desired state came %v behind the return", time.Since(back))
			stop()
		}
	})
}

// A store that is down must not be called by the whole fleet again and again:
// each call has its price, and the store needs air to come back.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		f.store.withLock(func() { f.store.down = true; close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(5 * time.Second)
		f.store.resetCalls()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.store.cost() < 7*15, "%d calls in 10 s", f.store.cost())
	})
}

// The store is called by a few routers, whatever the size of the fleet: on a
// quiet store they begin about two watches a second together, and a change is
// answered to them alone.
func TestFewRoutersCallTheStore(t *testing.T) {
	for _, routers := range []int{7, 30, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, routers)
			f.store.put("a", "1")
			f.waitForValue(t, 3*time.Second, "a", "1")
			time.Sleep(30 * time.Second)
			f.store.resetCalls()
			time.Sleep(time.Minute)
			assert.Assert(t, f.store.cost() < 150, "%d calls in a minute", f.store.cost())
			f.store.resetCalls()
			for n := range 50 {
				f.store.put("a", fmt.Sprint(n))
				f.waitForValue(t, 2*time.Second, "a", fmt.Sprint(n))
			}
			assert.Assert(t, f.store.cost() < 50*5, "%d calls for 50 changes", f.store.cost())
		})
	}
}

// All routers that watch the store for the others are cut off from it at once,
// and a key is revoked half a second later. The others hear that these are lost
// and watch in their place. Once, they waited until nothing had been confirmed
// for five seconds, and the key stayed good for three.
func TestAllWatchersCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		f.store.put("a", "1")
		f.waitForValue(t, 3*time.Second, "a", "1")
		time.Sleep(10 * time.Second)
		watchers := mirror.DefaultWatchers(f.routers)
		f.store.withLock(func() {
			for i, r := range f.routers {
				f.refused[i] = slices.Contains(watchers, r.ID)
			}
		})
		f.store.withLock(func() { close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(500 * time.Millisecond)
		f.store.put("a", "2")
		f.waitForValue(t, 2*time.Second, "a", "2")
	})
}

// The store is down for five seconds, and then answers again. Only a return
// after an outage that hit all routers may keep lapsed entries alive: a router
// that is turned away while the others are served has no reason to.
func TestRecoveryReportedOnlyAfterFullOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		var recoveries atomic.Int32
		for _, m := range f.mirrors {
			m.OnStoreRecovery(func() { recoveries.Add(1) })
		}
		f.store.put("a", "1")
		f.waitForValue(t, 2*time.Second, "a", "1")
		time.Sleep(10 * time.Second)
		f.store.withLock(func() { f.refused[1], f.refused[4], f.refused[5] = true, true, true })
		time.Sleep(10 * time.Second)
		assert.Equal(t, recoveries.Load(), int32(0))
		f.store.withLock(func() { f.store.down = true; close(f.store.changed); f.store.changed = make(chan struct{}) })
		time.Sleep(5 * time.Second)
		f.store.withLock(func() { f.store.down = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, recoveries.Load(), int32(7))
	})
}
