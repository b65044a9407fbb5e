package placement

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// lossyOwner is a transport to one owner that loses the answers to the first
// admissions.
type lossyOwner struct {
	owner *Owner
	lost  int
}

func (l *lossyOwner) Call(ctx context.Context, _ coordination.Instance, topic string, payload []byte) ([]byte, error) {
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

// An owner's answer is lost, and the request asks it again a moment later. The
// owner has been told that nobody uses the first grant, and refuses the request for
// good if the second question looks the same.
func TestRequestAsksAgainAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOwner("other", Config{})
		set := NewSet([]Descriptor{{ID: "a", Pool: "p", Zone: "z"}})
		routers := NewRouters([]Router{{ID: "other", Zone: "z"}}, 0)
		o.Update(set, routers)
		l := &lossyOwner{owner: o, lost: 1}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), l, nil, Config{})
		e.Update(set, routers)
		time.Sleep(2 * time.Second) // until the owner has settled

		g := e.held.open(e, false)
		a := ownerQuery{endpoint: set.Find("a"), owner: "other"}
		cfg := e.cfg.Load()
		assert.Equal(t, e.sendQuery(t.Context(), g, Request{Pool: "p"}, a, cfg).Code, Unreachable)
		e.Tick(t.Context())
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.sendQuery(t.Context(), g, Request{Pool: "p"}, a, cfg).Decision, Granted)
		g.Release()
		e.Tick(t.Context())
		assert.Equal(t, len(o.shard("a").loads["a"].grants), 0)
	})
}

// An owner that does not answer for a moment, as behind a lost packet, is asked
// again soon, by one request: were it left alone for a second, its endpoints would
// take almost nothing meanwhile.
func TestSilentOwnerIsAskedAgainByOneRequest(t *testing.T) {
	var f fallbackTable
	now := testStart
	f.recordFailure(now, "o")
	f.recordFailure(now.Add(90*time.Millisecond), "o") // put to it side by side
	assert.Assert(t, f.backingOff(now.Add(minOwnerBackoff-time.Millisecond), "o"))
	now = now.Add(minOwnerBackoff)
	assert.Assert(t, !f.backingOff(now, "o"))
	assert.Assert(t, f.backingOff(now.Add(time.Millisecond), "o"), "the others wait for the first")
	f.recordFailure(now.Add(admitTimeout), "o")
	assert.Assert(t, f.backingOff(now.Add(admitTimeout+2*minOwnerBackoff-time.Millisecond), "o"), "the pause grows")
	assert.Assert(t, !f.backingOff(now.Add(admitTimeout+2*minOwnerBackoff), "o"))
	f.recordAnswer("o")
	assert.Assert(t, !f.backingOff(now.Add(admitTimeout), "o"))
}

// Endpoints are dead and stay listed, and their owner does not answer. A router that
// has seen that they are dead must not take them for idle.
func TestEntryPlacesNothingBlindlyAtTheDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{AloneLimit: 3, LostFor: time.Second}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", cfg), unresponsiveTransport{}, nil, cfg)
		set := NewSet([]Descriptor{{ID: "dead", Pool: "p", Zone: "z"}})
		e.Update(set, NewRouters([]Router{{ID: "other", Zone: "z"}}, 0))
		e.ReportLost(t.Context(), *set.Find("dead"))
		g, r := e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, Lost)
		time.Sleep(time.Second)
		g, _ = e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g != nil, "it may be back")
	})
}
