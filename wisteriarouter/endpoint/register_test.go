package endpoint

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/platform"
)

func entryChange(id string, state platform.State) Change {
	return Change{Entry: platform.Entry{
		ID: coordination.Endpoint(id), Address: "10.0.0.1:80", Pool: "p", State: state, Incarnation: 1, Kind: platform.PlainService,
	}}
}

func removalChange(id string) Change {
	return Change{Entry: platform.Entry{ID: coordination.Endpoint(id)}, Removed: true}
}

func newTracker(endpoints int) *EntryTracker {
	r := &EntryTracker{Directory: &Directory{}}
	for i := range endpoints {
		r.Apply([]Change{entryChange(fmt.Sprintf("e%d", i), platform.Live)})
	}
	return r
}

func listed(r *EntryTracker, id string) bool {
	_, ok := r.Directory.Find(coordination.Endpoint(id))
	return ok
}

func TestRemovedEndpointIsDroppedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(9)
		time.Sleep(time.Minute)
		r.Apply([]Change{removalChange("e3")})
		assert.Assert(t, !listed(r, "e3"))
		assert.Assert(t, listed(r, "e4"))
	})
}

func TestDrainingEndpointIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(3)
		r.Apply([]Change{entryChange("e1", platform.Leaving)})
		k, ok := r.Directory.Find("e1")
		assert.Assert(t, ok && k.Leaving())
		r.StoreRecovered()
		r.Apply([]Change{removalChange("e1")})
		assert.Assert(t, !listed(r, "e1"))
	})
}

// The store is unavailable for some seconds, so that the leases of all entries
// expire. The endpoints are live; if they were removed, every request would be
// refused for the two seconds until the entries are written again.
func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(3)
		time.Sleep(time.Minute)
		r.StoreRecovered()
		r.Apply([]Change{removalChange("e0"), removalChange("e1"), removalChange("e2")})
		time.Sleep(1500 * time.Millisecond)
		r.Apply([]Change{entryChange("e0", platform.Live), entryChange("e1", platform.Live)})
		assert.Assert(t, listed(r, "e2"), "entries may be written again within two seconds")
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Assert(t, listed(r, "e0") && listed(r, "e1"))
		assert.Assert(t, !listed(r, "e2"), "an endpoint whose entry has not come back is removed")
	})
}

// An endpoint leaves without announcing it shortly after the store has
// recovered. It serves for only two more seconds, after which it must get no
// requests. A hold that started at the removal of the entry sent a request 2.12
// s after it.
func TestHoldIsMeasuredFromStoreRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(9)
		r.StoreRecovered()
		time.Sleep(1860 * time.Millisecond)
		r.Apply([]Change{removalChange("e0")})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !listed(r, "e0"))
	})
}

// The router has not detected the outage of the store, because its watch was
// waiting the whole time. It only sees that more than a third of the endpoints
// are removed at once.
func TestBulkRemovalsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(9)
		time.Sleep(time.Minute)
		var all []Change
		for i := range 9 {
			all = append(all, removalChange(fmt.Sprintf("e%d", i)))
		}
		r.Apply(all)
		assert.Assert(t, len(r.Directory.All()) >= 5, "%d are left", len(r.Directory.All()))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(r.Directory.All()), 0)
	})
}

// The store becomes unavailable again before the entries are written again. The
// missing entries then say nothing about the endpoints.
func TestNothingIsRemovedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(3)
		var away atomic.Bool
		r.StoreUnavailable = away.Load
		r.StoreRecovered()
		r.Apply([]Change{removalChange("e0")})
		away.Store(true)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, listed(r, "e0"))
		away.Store(false)
		r.StoreRecovered()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Assert(t, !listed(r, "e0"))
	})
}

func bornChange(id string, n coordination.Incarnation, state platform.State) Change {
	c := entryChange(id, state)
	c.Incarnation = n
	return c
}

// Guards against an entry that blocks those of its endpoint for good because it claims a later start.
func TestEarlierEntryThatStaysHolds(t *testing.T) {
	tests := []struct {
		name   string
		before []Change
		after  []Change // of the endpoint, one each 1.2 s
		want   coordination.Incarnation
	}{
		{"later one is live", []Change{bornChange("x", 9, platform.Live)}, []Change{bornChange("x", 5, platform.Live)}, 5},
		{"later one is leaving", []Change{bornChange("x", 9, platform.Leaving)}, []Change{bornChange("x", 5, platform.Live)}, 5},
		{"later one has left", []Change{bornChange("x", 9, platform.Leaving), removalChange("x")}, []Change{bornChange("x", 5, platform.Live)}, 5},
		{"several writes", []Change{bornChange("x", 9, platform.Live)}, []Change{bornChange("x", 5, platform.Live), bornChange("x", 5, platform.Live)}, 5},
		{"late write of a process that has ended", []Change{bornChange("x", 9, platform.Live)}, []Change{bornChange("x", 5, platform.Leaving), bornChange("x", 9, platform.Live)}, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTracker(9)
				time.Sleep(time.Minute)
				r.Apply(test.before)
				for _, c := range test.after {
					r.Apply([]Change{c})
					time.Sleep(1200 * time.Millisecond)
				}
				time.Sleep(800 * time.Millisecond)
				synctest.Wait()
				k, ok := r.Directory.Find("x")
				assert.Assert(t, ok && !k.Leaving())
				assert.Equal(t, k.Incarnation, test.want)
			})
		})
	}
}

// Guards against an entry of an earlier incarnation that is applied after its removal.
func TestEarlierEntryThatIsRemovedIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTracker(9)
		time.Sleep(time.Minute)
		r.Apply([]Change{bornChange("x", 9, platform.Live)})
		r.Apply([]Change{bornChange("x", 5, platform.Live)})
		r.Apply([]Change{removalChange("x")})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Assert(t, !listed(r, "x"))
	})
}

// Guards against streams at an endpoint that is taken for one of another version while its entry
// of an earlier start is held.
func TestEndpointIsNotListedWhileItsVersionIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versionChange := func(n coordination.Incarnation, v coordination.SoftwareVersion) []Change {
			c := bornChange("x", n, platform.Live)
			c.Version = v
			return []Change{c}
		}
		r := newTracker(9)
		for _, last := range []Change{versionChange(5, "v2")[0], versionChange(9, "v1")[0]} {
			r.Apply(versionChange(9, "v1"))
			r.Apply(versionChange(5, "v2"))
			assert.Assert(t, !listed(r, "x"))
			time.Sleep(time.Second)
			r.Apply([]Change{last})
			k, ok := r.Directory.Find("x")
			assert.Assert(t, ok)
			assert.Equal(t, k.Version, last.Version)
			time.Sleep(2 * time.Second)
			synctest.Wait()
		}
		r.Apply(versionChange(9, "v1"))
		r.Apply(versionChange(5, "v2"))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		k, ok := r.Directory.Find("x")
		assert.Assert(t, ok)
		assert.Equal(t, k.Version, coordination.SoftwareVersion("v2"))
	})
}
