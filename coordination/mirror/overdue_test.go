package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// deafScenario runs rounds in which waiting watches hear nothing for three
// seconds, while the store answers everything else and an operator makes a
// change every interval.
type deafScenario struct {
	name             string
	routers          int
	interval         time.Duration // between changes
	storeDelay       time.Duration // of each reply of the store
	silentWatcher    bool          // the store does not reply to one of the watchers
	loseReplies      int           // so many replies of watches are lost in each round
	staleReads       bool          // pings do not show the changes
	deafToNewWatches bool          // watches that begin meanwhile hear nothing either
	seed             uint64
}

const (
	deafRounds   = 12
	deafDuration = 3 * time.Second
)

func (s deafScenario) run(t *testing.T) *arrivals {
	a := newArrivals(s.routers)
	f := newFleetWithDelay(t, s.routers, 4*time.Millisecond, a.observe)
	f.store.put("a", "0")
	f.waitForValue(t, 5*time.Second, "a", "0")
	f.store.withLock(func() { f.storeDelay = s.storeDelay })
	if s.silentWatcher {
		f.silenceWatchers(1)
	}
	r := rand.New(rand.NewPCG(s.seed, 0))
	for round := range deafRounds {
		time.Sleep(5*time.Second + time.Duration(r.IntN(2_000))*time.Millisecond)
		f.store.withLock(func() {
			f.store.dropNotifications = true
			f.store.deafToNewWatches = s.deafToNewWatches
			f.lostReplies = s.loseReplies
			if s.staleReads {
				f.store.stale = f.store.asOf
			}
		})
		for n := range int(deafDuration / s.interval) {
			f.store.put("a", fmt.Sprint(round, "-", n))
			a.recordAck(f.store.revision())
			time.Sleep(s.interval)
		}
		f.store.withLock(func() {
			f.store.dropNotifications, f.store.deafToNewWatches, f.store.stale, f.lostReplies = false, false, 0, 0
		})
	}
	time.Sleep(4 * time.Second)
	return a
}

// Guards against a change that no waiting watch reports, and that routers put in
// force only when their watches have run out.
func TestChangeThatNoWaitingWatchReportsReachesAll(t *testing.T) {
	const quick, slow = 200 * time.Millisecond, 1700 * time.Millisecond
	scenarios := []deafScenario{
		{name: "quick changes", routers: 8, interval: quick, seed: 1},
		{name: "slow changes", routers: 8, interval: slow, seed: 2},
		{name: "64 routers", routers: 64, interval: quick, seed: 3},
		{name: "slow store", routers: 8, interval: quick, storeDelay: 150 * time.Millisecond, seed: 4},
		{name: "new watches hear nothing", routers: 8, interval: quick, deafToNewWatches: true, seed: 6},
		{name: "a reply is lost", routers: 8, interval: slow, loseReplies: 1, seed: 7},
		{name: "slow store, a dead watcher, a reply lost", routers: 8, interval: quick, storeDelay: 150 * time.Millisecond, silentWatcher: true, loseReplies: 1, seed: 8},
		{name: "slow store, a dead watcher, a reply lost, 64 routers", routers: 64, interval: quick, storeDelay: 150 * time.Millisecond, silentWatcher: true, loseReplies: 1, seed: 9},
	}
	runDeafScenarios(t, scenarios)
}

// Guards against watchers that wait and end together, so that no watch begins
// for two seconds while pings are too old to show a change.
func TestChangeReachesAllWhilePingsAreStale(t *testing.T) {
	const quick, slow = 200 * time.Millisecond, 1700 * time.Millisecond
	runDeafScenarios(t, []deafScenario{
		{name: "quick changes", routers: 8, interval: quick, staleReads: true, seed: 5},
		{name: "slow changes", routers: 8, interval: slow, staleReads: true, seed: 10},
		{name: "64 routers", routers: 64, interval: quick, staleReads: true, seed: 11},
	})
}

func runDeafScenarios(t *testing.T, scenarios []deafScenario) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s.run(t).checkLatest(t, maxAfterAck)
			})
		})
	}
}

// Guards against pings that end watches of a store that is only slow, each of
// which would cost a list of all keys.
func TestSlowStoreCostsNoLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithDelay(t, 8, 4*time.Millisecond, func(int, mirror.Changes) {})
		f.store.put("a", "0")
		f.waitForValue(t, 5*time.Second, "a", "0")
		time.Sleep(5 * time.Second)
		f.store.withLock(func() { f.storeDelay, f.store.lists = 240*time.Millisecond, 0 })
		for n := range 100 {
			f.store.put("a", fmt.Sprint(n))
			time.Sleep(170 * time.Millisecond)
		}
		f.store.withLock(func() { assert.Equal(t, f.store.lists, 0) })
	})
}
