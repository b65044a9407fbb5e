package placement

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// lossyTransport is a transport to one owner that loses the replies to the
// first admissions.
type lossyTransport struct {
	owner *Owner
	lost  int
}

func (l *lossyTransport) Call(ctx context.Context, _ coordination.Instance, topic string, payload []byte) ([]byte, error) {
	if topic == TopicRelease {
		return l.owner.HandleRelease(ctx, payload)
	}
	b, err := l.owner.HandleAdmit(ctx, payload)
	if topic == TopicAdmit && l.lost > 0 {
		l.lost--
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return b, err
}

// Guards against a request that is refused for good after its owner's reply was
// lost. The owner has been told to release the first grant, so that the second
// attempt must be distinguishable from the first.
func TestRequestAsksAgainAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOwner("other", Config{})
		set := NewSet([]Descriptor{{ID: "a", Pool: "p", Zone: "z"}})
		routers := NewRouters([]Router{{ID: "other", Zone: "z"}}, 0)
		o.Update(set, routers)
		l := &lossyTransport{owner: o, lost: 1}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), l, nil, Config{})
		e.Update(set, routers)
		time.Sleep(2 * time.Second) // until the owner has settled

		g := e.held.open(e, false)
		q := ownerQuery{endpoint: set.Find("a"), owner: "other"}
		cfg := e.cfg.Load()
		assert.Equal(t, e.sendQuery(t.Context(), g, Request{Pool: "p"}, q, cfg).Code, Unreachable)
		e.Tick(t.Context())
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.sendQuery(t.Context(), g, Request{Pool: "p"}, q, cfg).Decision, Granted)
		g.Release()
		e.Tick(t.Context())
		assert.Equal(t, len(o.shard("a").loads["a"].grants), 0)
	})
}

// Guards against an owner that is not asked for a full second after one lost
// packet, so that its endpoints get almost no requests. One request asks it
// again soon.
func TestSilentOwnerIsAskedAgainByOneRequest(t *testing.T) {
	var f fallbackTable
	now := testStart
	f.recordFailure(now, "o")
	f.recordFailure(now.Add(90*time.Millisecond), "o") // sent concurrently
	assert.Assert(t, f.backingOff(now.Add(minOwnerBackoff-time.Millisecond), "o"))
	now = now.Add(minOwnerBackoff)
	assert.Assert(t, !f.backingOff(now, "o"))
	assert.Assert(t, f.backingOff(now.Add(time.Millisecond), "o"), "only one request may ask the silent owner")
	f.recordFailure(now.Add(admitTimeout), "o")
	assert.Assert(t, f.backingOff(now.Add(admitTimeout+2*minOwnerBackoff-time.Millisecond), "o"), "the pause must grow after another failure")
	assert.Assert(t, !f.backingOff(now.Add(admitTimeout+2*minOwnerBackoff), "o"))
	f.recordAnswer("o")
	assert.Assert(t, !f.backingOff(now.Add(admitTimeout), "o"))
}

// Guards against taking dead endpoints for idle ones. They are still listed and
// their owner does not answer, but the router has found them dead.
func TestEntryAvoidsDeadEndpointsWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{FallbackLimit: 3, LostTTL: time.Second}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", cfg), unresponsiveTransport{}, nil, cfg)
		set := NewSet([]Descriptor{{ID: "dead", Pool: "p", Zone: "z"}})
		e.Update(set, NewRouters([]Router{{ID: "other", Zone: "z"}}, 0))
		e.ReportLost(t.Context(), *set.Find("dead"))
		g, r := e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, EndpointLost)
		time.Sleep(time.Second)
		g, _ = e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g != nil, "the endpoint must be tried again after LostTTL")
	})
}
