package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// callRecorder counts the calls to other owners and records the longest time between two.
type callRecorder struct {
	releases, registers atomic.Int64

	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (c *callRecorder) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.last.IsZero() {
		c.longest = max(c.longest, time.Since(c.last))
	}
	c.last = time.Now()
}

// Call implements Transport. It grants each admission.
func (c *callRecorder) Call(_ context.Context, _ coordination.Instance, topic string, _ []byte) ([]byte, error) {
	c.record()
	switch topic {
	case TopicAdmit:
		return AdmitReply{Decision: Granted}.Encode(), nil
	case TopicRelease:
		c.releases.Add(1)
		return ReleaseReply{}.Encode(), nil
	case TopicRegister:
		c.registers.Add(1)
	}
	return nil, nil
}

// Guards against releases that reach the owner late: it would refuse other requests
// because it still counts one that has ended.
func TestReleaseIsSentWithinItsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &callRecorder{}
		e, stop := startEntry(calls)
		defer stop()
		for range 5 {
			g, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 1})
			assert.Assert(t, g != nil)
			time.Sleep(time.Second)
			before := calls.releases.Load()
			g.Release()
			time.Sleep(releaseInterval + time.Millisecond)
			assert.Equal(t, calls.releases.Load()-before, int64(1))
		}
	})
}

// Guards against an entry whose lease expires: it loses its grants, and the endpoint takes
// more than its bound. The owner has to hear from the entry twice in each lease, whenever
// other requests begin and end, so that one lost message has no effect.
func TestEntryRenewsItsLease(t *testing.T) {
	lease := Config{}.withDefaults().EntryLease
	for _, pause := range []time.Duration{lease * 3 / 10, lease * 4 / 10, lease * 10} {
		synctest.Test(t, func(t *testing.T) {
			calls := &callRecorder{}
			e, stop := startEntry(calls)
			defer stop()
			kept, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 1})
			defer kept.Release()
			for begun := time.Now(); time.Since(begun) < 20*lease; {
				g, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 2})
				time.Sleep(pause)
				g.Release()
				time.Sleep(pause / 7)
			}
			calls.record()
			assert.Assert(t, calls.longest <= lease/2+2*releaseInterval, "no call for %v of a lease of %v", calls.longest, lease)
		})
	}
}

// Guards against too many registrations. An entry that registers with each recently asked
// owner sends four times as many registrations as admissions when it seldom asks the same
// owner twice.
func TestEntryRegistersOnlyWhatOwnersDoNotKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &callRecorder{}
		e, stop := startEntry(calls)
		defer stop()
		time.Sleep(5 * time.Second)
		before := calls.registers.Load()
		const requests = 20
		for range requests {
			g, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 1})
			time.Sleep(100 * time.Millisecond)
			g.Release()
			time.Sleep(5 * time.Second)
		}
		sent := calls.registers.Load() - before
		assert.Assert(t, sent <= requests/4, "%d registrations for %d short requests", sent, requests)
	})
}

// startEntry starts an entry and an owner that owns nothing. The only endpoint is owned by
// another router.
func startEntry(calls Transport) (e *Entry, stop func()) {
	owner := NewOwner("self", Config{})
	e = NewEntry(EntryID{Instance: "self", Incarnation: 1}, owner, calls, nil, Config{})
	set := NewSet([]Descriptor{{ID: "e1", Pool: "m", Incarnation: 1, Zone: "z2"}})
	routers := NewRouters([]Router{{ID: "self", Zone: "z1"}, {ID: "other", Zone: "z2"}}, 0)
	owner.Update(set, routers)
	e.Update(set, routers)
	return e, Start(owner, e)
}
