package origin_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// fleet is a set of routers that keep records for each other.
type fleet struct {
	mu      sync.Mutex
	routers []placement.Router
	keepers map[coordination.Instance]*origin.Keeper
	down    map[coordination.Instance]bool
	leaving map[coordination.Instance]bool // still answer, but are not listed
}

var errDown = errors.New("down")

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{keepers: make(map[coordination.Instance]*origin.Keeper), down: make(map[coordination.Instance]bool), leaving: make(map[coordination.Instance]bool)}
	for i := range n {
		f.routers = append(f.routers, placement.Router{
			ID: coordination.Instance(fmt.Sprint("r", i)), Incarnation: 1, Zone: coordination.Zone(fmt.Sprint("z", i%3)),
		})
	}
	for _, r := range f.routers {
		f.start(t, r.ID)
	}
	return f
}

// start starts a router that knows nothing.
func (f *fleet) start(t *testing.T, id coordination.Instance) {
	k, stop := origin.NewKeeper(origin.Config{Self: id, Transport: transport{f, id}, Routers: f.alive})
	t.Cleanup(stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[id] = k
}

func (f *fleet) alive() []placement.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []placement.Router
	for _, r := range f.routers {
		if !f.down[r.ID] && !f.leaving[r.ID] {
			all = append(all, r)
		}
	}
	return all
}

func (f *fleet) keeper(id coordination.Instance) *origin.Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[id] {
		return nil
	}
	return f.keepers[id]
}

// setDown kills a router, or makes one visible again. All others learn of it.
func (f *fleet) setDown(id coordination.Instance, down bool) {
	f.mu.Lock()
	f.down[id] = down
	f.mu.Unlock()
	for _, r := range f.alive() {
		f.keeper(r.ID).RoutersChanged()
	}
}

// restart replaces a router by a new process of the same name.
func (f *fleet) restart(t *testing.T, id coordination.Instance) {
	f.start(t, id)
	f.mu.Lock()
	for i := range f.routers {
		if f.routers[i].ID == id {
			f.routers[i].Incarnation++
		}
	}
	f.mu.Unlock()
	f.setDown(id, false)
}

type transport struct {
	fleet *fleet
	self  coordination.Instance
}

func (tr transport) Call(_ context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	k := tr.fleet.keeper(to)
	if k == nil || tr.fleet.keeper(tr.self) == nil {
		return nil, errDown
	}
	time.Sleep(4 * time.Millisecond)
	if topic == origin.TopicFind {
		return k.HandleFind(payload)
	}
	return nil, k.HandleRecord(payload)
}

func record(n int) origin.Record {
	return origin.Record{Attempt: coordination.Attempt(fmt.Sprint("a", n)), Pool: "model", Version: coordination.SoftwareVersion(fmt.Sprint("v", n%3)), LeftMs: 15_000}
}

const streams = 300

// begin records streams, spread over all routers.
func (f *fleet) begin() {
	for n := range streams {
		f.keeper(f.routers[n%len(f.routers)].ID).Record(record(n))
	}
	time.Sleep(100 * time.Millisecond)
}

// known returns how many streams a router finds. It fails the test for a wrong version.
func (f *fleet) known(t *testing.T, id coordination.Instance) (n int) {
	for i := range streams {
		r := record(i)
		if found := f.keeper(id).Find(t.Context(), r.Attempt, r.Pool); found.Known {
			assert.Equal(t, found.Version, r.Version)
			n++
		}
	}
	return n
}

func TestAnyRouterFindsStream(t *testing.T) {
	for _, n := range []int{1, 2, 7, 64, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				f.begin()
				assert.Equal(t, f.known(t, f.routers[n-1].ID), streams)
			})
		})
	}
}

// Guards against records that are lost with the router that forwards a stream, or that
// stay behind as keepers are killed one after the other.
func TestStreamIsFoundWhileRoutersAreKilledInSeries(t *testing.T) {
	for _, n := range []int{7, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				f.begin()
				for i := range 4 {
					f.setDown(f.routers[i].ID, true)
					time.Sleep(time.Second)
				}
				assert.Equal(t, f.known(t, f.routers[5].ID), streams)
			})
		})
	}
}

// Guards against routers that start again under their names, unnoticed but for their
// incarnation, and have forgotten what they kept.
func TestStreamIsFoundWhileRoutersRestartInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.begin()
		for _, r := range f.routers {
			f.restart(t, r.ID)
			time.Sleep(time.Second)
		}
		assert.Equal(t, f.known(t, "r3"), streams)
	})
}

// Guards against the loss of what all but two routers knew when they stop at one moment.
func TestStoppingRouterHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.begin()
		var group sync.WaitGroup
		f.mu.Lock()
		for i := range 5 {
			f.leaving[f.routers[i].ID] = true
		}
		f.mu.Unlock()
		for i := range 5 {
			k := f.keeper(f.routers[i].ID)
			group.Go(func() { k.HandOver(t.Context()) })
		}
		group.Wait()
		for i := range 5 {
			f.setDown(f.routers[i].ID, true)
		}
		assert.Equal(t, f.known(t, "r6"), streams)
	})
}

// Guards against a keeper that does not take a record and leaves the stream with one
// router less.
func TestRecordGoesToAnotherKeeperIfOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.mu.Lock()
		delete(f.keepers, "r1") // listed, but does not reply
		f.mu.Unlock()
		for n := range streams {
			f.keeper("r0").Record(record(n))
		}
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		delete(f.keepers, "r0")
		f.mu.Unlock()
		assert.Equal(t, f.known(t, "r5"), streams)
	})
}

func TestRecordExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.begin()
		time.Sleep(16 * time.Second)
		assert.Equal(t, f.known(t, "r0"), 0)
	})
}

func TestUnknownStreamNamesSilentRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		assert.DeepEqual(t, f.keeper("r0").Find(t.Context(), "nobody", "model"), origin.Found{Replied: 4})
		assert.DeepEqual(t, f.keeper("r0").Find(t.Context(), "", "model"), origin.Found{})
		f.mu.Lock()
		delete(f.keepers, "r1")
		f.mu.Unlock()
		assert.DeepEqual(t, f.keeper("r0").Find(t.Context(), "nobody", "model"), origin.Found{Replied: 3, Silent: 1})
	})
}

// Guards against a panic or a wrong answer for what a router of another version sends.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(t, 1)
	for _, bad := range []string{"", "x", "\xa1\x01\x20", "\xff"} {
		assert.Assert(t, f.keeper("r0").HandleRecord([]byte(bad)) != nil, "%q", bad)
		_, err := f.keeper("r0").HandleFind([]byte(bad))
		assert.Assert(t, err != nil, "%q", bad)
	}
}

// Guards against a stream that is unknown once its route has been moved to another pool, and
// against one that is taken for another of its id.
func TestStreamIsFoundFromAnotherPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.keeper("r0").Record(origin.Record{Attempt: "a", Pool: "model", Version: "v1", LeftMs: 30_000})
		time.Sleep(100 * time.Millisecond)
		f.keeper("r1").Record(origin.Record{Attempt: "a", Pool: "other", Version: "v2", LeftMs: 15_000})
		time.Sleep(100 * time.Millisecond)
		for pool, version := range map[coordination.Pool]coordination.SoftwareVersion{"model": "v1", "other": "v2", "third": "v2"} {
			found := f.keeper("r2").Find(t.Context(), "a", pool)
			assert.Equal(t, found.Version, version, "%s", pool)
		}
		time.Sleep(31 * time.Second)
		assert.Assert(t, !f.keeper("r2").Find(t.Context(), "a", "third").Known)
	})
}

// Guards against a router that stands still when a pool becomes mixed, as to find the keepers of
// many contents takes long.
func TestKeepByContentDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow atomic.Bool
		k, stop := origin.NewKeeper(origin.Config{Self: "r0", Routers: func() []placement.Router {
			if slow.Load() {
				time.Sleep(time.Second)
			}
			return nil
		}})
		t.Cleanup(stop)
		k.Learn([]origin.Record{{Attempt: "a", Pool: "model", Version: "v1", LeftMs: 30_000, Content: 7}})
		slow.Store(true)
		start := time.Now()
		k.KeepByContent("model")
		assert.Equal(t, time.Since(start), time.Duration(0))
		slow.Store(false)
		assert.Assert(t, k.FindByContent(t.Context(), 7).Known)
		time.Sleep(2 * time.Second)
	})
}
