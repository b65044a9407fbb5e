package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// applyLimit is the time within which a change has to be in force everywhere.
const applyLimit = 2 * time.Second

// twoFaults runs rounds in which waiting watches hear nothing and pings are stale, while
// the store does not reply to some routers or routers lose power unnoticed.
type twoFaults struct {
	name         string
	routers      int
	silentShare  float64 // of the routers, that the store does not reply to
	watchers     bool    // all default watchers are among them
	rounds       int
	deadWatchers int           // watchers that lose power
	deadFor      time.Duration // until the others notice
	storeDelay   time.Duration // of each reply of the store
	seed         uint64
}

func (s twoFaults) run(t *testing.T) *arrivals {
	const interval = 200 * time.Millisecond
	a := newArrivals(s.routers)
	f := newFleetWithDelay(t, s.routers, 4*time.Millisecond, a.observe)
	f.store.put("a", "0")
	f.waitForValue(t, 5*time.Second, "a", "0")
	f.store.withLock(func() { f.storeDelay = s.storeDelay })
	r := rand.New(rand.NewPCG(s.seed, 0))
	dead := make(map[coordination.Instance]bool)
	watchers := mirror.DefaultWatchers(f.routers)
	for _, id := range watchers[:s.deadWatchers] {
		dead[id] = true
	}
	for round := range s.rounds {
		time.Sleep(5*time.Second + time.Duration(r.IntN(2_000))*time.Millisecond)
		silent := make(map[int]bool)
		for _, i := range r.Perm(s.routers)[:int(float64(s.routers)*s.silentShare)] {
			silent[i] = true
		}
		for i, each := range f.routers {
			silent[i] = silent[i] || dead[each.ID] || s.watchers && slices.Contains(watchers, each.ID)
		}
		f.store.withLock(func() {
			f.store.dropNotifications, f.store.stale = true, f.store.asOf
			f.silent, f.unreachable = silent, dead
		})
		time.AfterFunc(s.deadFor, func() { f.store.withLock(func() { f.poweredOff = dead }) })
		for n := range int(deafDuration / interval) {
			f.store.put("a", fmt.Sprint(round, "-", n))
			a.recordAck(f.store.revision())
			time.Sleep(interval)
		}
		f.store.withLock(func() {
			f.store.dropNotifications, f.store.stale = false, 0
			f.silent, f.unreachable, f.poweredOff = nil, nil, nil
		})
	}
	time.Sleep(4 * time.Second)
	a.forget(f, dead)
	return a
}

// forget drops the arrivals at routers that lost power.
func (a *arrivals) forget(f *fleet, dead map[coordination.Instance]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var at []map[kv.Revision]time.Time
	for i, each := range f.routers {
		if !dead[each.ID] {
			at = append(at, a.at[i])
		}
	}
	a.at = at
}

// Guards against a change that is late in a large fleet because two faults come at once.
func TestChangeReachesAllBesideTwoFaults(t *testing.T) {
	const unnoticed = 1500 * time.Millisecond
	scenarios := []twoFaults{
		{name: "61, store silent to a third", routers: 61, rounds: 4, silentShare: 0.35, seed: 1},
		{name: "61, store silent to two thirds", routers: 61, rounds: 20, silentShare: 0.65, watchers: true, seed: 2},
		{name: "61, store silent to half", routers: 61, rounds: 20, silentShare: 0.5, watchers: true, seed: 2},
		{name: "61, slow store silent to a third", routers: 61, rounds: 4, silentShare: 0.35, storeDelay: 150 * time.Millisecond, seed: 3},
		{name: "61, a watcher loses power", routers: 61, rounds: 4, deadWatchers: 1, deadFor: unnoticed, seed: 4},
		{name: "61, two watchers lose power", routers: 61, rounds: 4, deadWatchers: 2, deadFor: unnoticed, seed: 5},
		{name: "128, a watcher loses power, store silent to a third", routers: 128, rounds: 2, silentShare: 0.35, deadWatchers: 1, deadFor: unnoticed, seed: 6},
		{name: "295, store silent to a third", routers: 295, rounds: 1, silentShare: 0.35, seed: 7},
		{name: "295, two watchers lose power", routers: 295, rounds: 1, deadWatchers: 2, deadFor: unnoticed, seed: 8},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s.run(t).checkLatest(t, applyLimit)
			})
		})
	}
}
