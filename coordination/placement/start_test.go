package placement

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// countedCalls counts the calls to other owners.
type countedCalls struct {
	releases, registers atomic.Int64
}

// Call implements Transport. Each admission is granted.
func (c *countedCalls) Call(_ context.Context, _ coordination.Instance, topic string, _ []byte) ([]byte, error) {
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

// An owner that does not hear of a release soon refuses others for a request that
// has ended.
func TestReleaseIsSentWithinItsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &countedCalls{}
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

// An entry that is not heard of for its lease loses its grants, and the endpoint
// takes more than its bound. It has to renew them in time though releases come at
// any moment in between.
func TestEntryRenewsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &countedCalls{}
		e, stop := startEntry(calls)
		defer stop()
		kept, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 1})
		defer kept.Release()
		third := Config{}.withDefaults().EntryLease / leaseParts
		before := calls.registers.Load()
		const leases = 5
		for range leases * leaseParts {
			g, _ := e.Acquire(t.Context(), Request{Pool: "m", Key: 2})
			time.Sleep(third * 9 / 10)
			g.Release()
			time.Sleep(third / 10)
		}
		sent := calls.registers.Load() - before
		assert.Assert(t, sent >= leases*leaseParts-2, "renewed %d times in %d leases", sent, leases)
	})
}

// startEntry starts an entry, and an owner that owns nothing, before an endpoint
// of another router.
func startEntry(calls Transport) (e *Entry, stop func()) {
	owner := NewOwner("self", Config{})
	e = NewEntry(EntryID{Instance: "self", Incarnation: 1}, owner, calls, nil, Config{})
	set := NewSet([]Descriptor{{ID: "e1", Pool: "m", Incarnation: 1, Zone: "z2"}})
	routers := NewRouters([]Router{{ID: "self", Zone: "z1"}, {ID: "other", Zone: "z2"}}, 0)
	owner.Update(set, routers)
	e.Update(set, routers)
	return e, Start(owner, e)
}
