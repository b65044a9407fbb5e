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
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// If the store rejects some routers while it serves the others, a revoked key
// must not stay valid on the rejected ones until the store serves them again.
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

// A change that no watch reports must come into force before the longest wait
// of a watch is over. All watches miss the notification, and none of them ends.
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

// A router that starts while the store is down serves nobody until it has the
// desired state, and must get it from another router.
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

// failingSource fails until a given time and then returns one item.
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

// Routers that restart while the store is down have no desired state and refuse
// every request. Each must ask the store again soon after it recovers, or
// callers are refused by a fleet that could serve them.
func TestRoutersStartedDuringOutageRecoverQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			back := time.Now().Add(5 * time.Second)
			m := mirror.New()
			stop := (&mirror.Follower{Mirror: m, Source: failingSource{back}}).Start()
			m.Wait(t.Context(), 0, nil)
			assert.Assert(t, time.Since(back) <= 300*time.Millisecond, "the desired state arrived %v after the store recovered", time.Since(back))
			stop()
		}
	})
}

// The fleet must not call a store that is down too often: each call is billed,
// and the load delays its recovery.
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

// Only a few routers call the store, whatever the size of the fleet. Together
// they begin about two watches a second when nothing changes, and only they get
// replies on a change.
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

// All watchers are cut off from the store at once, and a key is revoked half a
// second later. The other routers must learn of the loss and watch instead.
// When they waited until nothing had been confirmed for five seconds, the key
// stayed valid for three.
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

// Guards against routers that count on each other to watch the store once they reach it again,
// so that none does and a change is seconds late.
func TestRoutersThatReachTheStoreAgainWatchIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 15)
		f.store.put("a", "0")
		f.waitForValue(t, 2*time.Second, "a", "0")
		time.Sleep(5 * time.Second)
		watchers := mirror.DefaultWatchers(f.routers)
		replies := slices.IndexFunc(f.routers, func(r placement.Router) bool { return !slices.Contains(watchers, r.ID) })
		f.store.withLock(func() {
			for i := range f.routers {
				f.silent[i] = i != replies
			}
		})
		time.Sleep(5 * time.Second)
		f.silenceWatchers(len(watchers))
		for n := range 5 {
			time.Sleep(3 * time.Second)
			value := fmt.Sprint(n + 1)
			f.store.put("a", value)
			f.waitForValue(t, maxAfterAck, "a", value)
		}
	})
}

// Only a recovery from an outage that affected all routers may keep expired
// entries alive. A router that is rejected while the store serves others must
// not report one.
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
