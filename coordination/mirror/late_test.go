package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// A change has to be in force everywhere two seconds after the store has
// acknowledged it. These limits leave half a second of that for a router that
// is busy or affected by lost packets.
const (
	maxAfterAck   = 1500 * time.Millisecond
	maxAfterFirst = 300 * time.Millisecond
	maxLateShare  = 0.001 // of all applied changes, later than maxAfterFirst
)

// arrivals records when each router applied each revision.
type arrivals struct {
	mu    sync.Mutex
	at    []map[kv.Revision]time.Time // by router
	acked map[kv.Revision]time.Time
}

func newArrivals(routers int) *arrivals {
	a := &arrivals{acked: make(map[kv.Revision]time.Time)}
	for range routers {
		a.at = append(a.at, make(map[kv.Revision]time.Time))
	}
	return a
}

func (a *arrivals) observe(router int, c mirror.Changes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range c.Items {
		a.at[router][item.Revision] = time.Now()
	}
}

func (a *arrivals) recordAck(n kv.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked[n] = time.Now()
}

// inForce returns when a router first had a revision, or a later one, in force.
func (a *arrivals) inForce(router int, n kv.Revision) (at time.Time, ok bool) {
	for r, t := range a.at[router] {
		if r >= n && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// delays returns how long after the acknowledgement, and after the first
// router, each router had each change in force, sorted.
func (a *arrivals) delays(t *testing.T) (afterAck, afterFirst []time.Duration) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for n, acked := range a.acked {
		at := make([]time.Time, len(a.at))
		for router := range a.at {
			var ok bool
			at[router], ok = a.inForce(router, n)
			assert.Assert(t, ok, "router %d never had revision %d", router, n)
		}
		first := slices.MinFunc(at, time.Time.Compare)
		for _, each := range at {
			afterAck = append(afterAck, each.Sub(acked))
			afterFirst = append(afterFirst, each.Sub(first))
		}
	}
	slices.Sort(afterAck)
	slices.Sort(afterFirst)
	return afterAck, afterFirst
}

// checkLatest checks that each router had each change in force within limit of its
// acknowledgement.
func (a *arrivals) checkLatest(t *testing.T, limit time.Duration) {
	t.Helper()
	afterAck, _ := a.delays(t)
	latest := afterAck[len(afterAck)-1]
	t.Logf("%d changes applied, the latest %v after the acknowledgement", len(afterAck), latest)
	assert.Check(t, latest <= limit)
}

// silenceScenario runs rounds in which the store stops replying to a part of
// the fleet for some seconds, in the middle of its watches and without an
// error, while an operator makes changes.
type silenceScenario struct {
	routers, rounds int
	share           float64 // of the routers that the store does not reply to
	watchers        bool    // all default watchers are among them
	shortPause      bool    // the next round begins within three seconds
	invert          bool    // at the end of a round, the store stops replying to the other routers instead
	seed            uint64
}

func (s silenceScenario) run(t *testing.T) *arrivals {
	a := newArrivals(s.routers)
	f := newFleetWithDelay(t, s.routers, 4*time.Millisecond, a.observe)
	f.store.put("a", "0")
	f.waitForValue(t, 5*time.Second, "a", "0")
	r := rand.New(rand.NewPCG(s.seed, 0))
	for round := range s.rounds {
		time.Sleep(s.pause(r))
		silent := s.chooseSilent(f, r)
		s.change(f, r, a, fmt.Sprint(round, "a"), silent)
		if s.invert {
			s.change(f, r, a, fmt.Sprint(round, "b"), f.complement(silent))
		}
		f.store.withLock(func() { f.silent = nil })
	}
	time.Sleep(4 * time.Second)
	return a
}

// pause returns the time until the next round.
func (s silenceScenario) pause(r *rand.Rand) time.Duration {
	least := 10 * time.Second
	if s.shortPause {
		least = time.Second
	}
	return least + time.Duration(r.IntN(2_000))*time.Millisecond
}

// change makes changes while the store does not reply to some routers.
func (s silenceScenario) change(f *fleet, r *rand.Rand, a *arrivals, value string, silent map[int]bool) {
	f.store.withLock(func() { f.silent = silent })
	for n := range 6 {
		time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
		f.store.put("a", fmt.Sprint(value, n))
		a.recordAck(f.store.revision())
	}
	time.Sleep(4 * time.Second)
}

// complement returns the routers that are not in set.
func (f *fleet) complement(set map[int]bool) map[int]bool {
	rest := make(map[int]bool)
	for i := range f.routers {
		rest[i] = !set[i]
	}
	return rest
}

// chooseSilent returns the routers that the store stops replying to: never all,
// and either all default watchers or not all of these.
func (s silenceScenario) chooseSilent(f *fleet, r *rand.Rand) map[int]bool {
	watchers := mirror.DefaultWatchers(f.routers)
	silent := make(map[int]bool)
	for _, i := range r.Perm(s.routers)[:int(float64(s.routers)*s.share)] {
		silent[i] = true
	}
	for i, each := range f.routers {
		if slices.Contains(watchers, each.ID) && s.watchers {
			silent[i] = true
		}
	}
	if len(silent) == s.routers || !s.watchers && f.allSilent(silent, watchers) {
		return s.chooseSilent(f, r)
	}
	return silent
}

func (f *fleet) allSilent(silent map[int]bool, ids []coordination.Instance) bool {
	for i, each := range f.routers {
		if slices.Contains(ids, each.ID) && !silent[i] {
			return false
		}
	}
	return true
}

// A change must reach all routers while the store replies only to some of them,
// and the watches of the others report no error. Otherwise requests for a new
// route are refused, or a revoked key stays valid, for two seconds or more.
//
// When changes were sent only to the routers waiting where they arrived,
// nothing bounded the number of waits elsewhere. The log of a late router
// showed waits of 1,011 ms and 1,010 ms without a result at two routers, and
// then the change within 1 ms from a third that had had it for 1.94 s and that
// no router had asked.
func TestChangeReachesAllWhileTheStoreIsSilentToSome(t *testing.T) {
	scenarios := []silenceScenario{
		{routers: 7, rounds: 40, share: 0.35, seed: 1},
		{routers: 7, rounds: 40, share: 0.6, seed: 2},
		{routers: 64, rounds: 8, share: 0.5, seed: 3},
		{routers: 330, rounds: 2, share: 0.6, seed: 4},
	}
	for _, s := range scenarios {
		t.Run(fmt.Sprintf("%d-%.2f", s.routers, s.share), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				afterAck, afterFirst := s.run(t).delays(t)
				late, _ := slices.BinarySearch(afterFirst, maxAfterFirst+1)
				share := float64(len(afterFirst)-late) / float64(len(afterFirst))
				t.Logf("%d changes applied, %.4f of them late, the latest %v after the first router and %v after the acknowledgement",
					len(afterFirst), share, afterFirst[len(afterFirst)-1], afterAck[len(afterAck)-1])
				assert.Check(t, share <= maxLateShare, "%.4f of the changes were applied more than %v after the first router", share, maxAfterFirst)
				assert.Check(t, afterAck[len(afterAck)-1] <= maxAfterAck)
			})
		})
	}
}

// A change must reach all routers when the store stops replying to all default
// watchers at once and serves the rest of the fleet.
//
// A watch that waits looks the same as a store that does not reply. When the
// choice of watchers depended on which routers had noticed, no router had any
// of ten changes for 1.94 s, until the third of three watches timed out; then
// another router watched and had all ten within 0.3 s.
func TestChangeReachesAllWhileTheStoreIsSilentToAllThatWatch(t *testing.T) {
	scenarios := []silenceScenario{
		{routers: 7, rounds: 40, share: 0, watchers: true, seed: 5},
		{routers: 7, rounds: 40, share: 0.6, watchers: true, seed: 6},
		{routers: 64, rounds: 8, share: 0.5, watchers: true, seed: 7},
		{routers: 330, rounds: 2, share: 0.6, watchers: true, seed: 8},
		{routers: 7, rounds: 40, share: 0.6, watchers: true, shortPause: true, seed: 9},
		{routers: 7, rounds: 40, share: 0.3, watchers: true, invert: true, seed: 10},
		{routers: 15, rounds: 20, share: 0.8, watchers: true, shortPause: true, seed: 11},
	}
	for _, s := range scenarios {
		t.Run(fmt.Sprintf("%d-%.2f", s.routers, s.share), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s.run(t).checkLatest(t, maxAfterAck)
			})
		})
	}
}
