package placement

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// lossyTransport is a transport to one owner that loses the answers to the first
// admissions.
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

// An owner's answer is lost, and the request asks it again a moment later. The
// owner has been told that nobody uses the first grant, and refuses the request for
// good if the second question looks the same.
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
		a := ask{endpoint: set.Find("a"), owner: "other"}
		cfg := e.cfg.Load()
		assert.Equal(t, e.put(t.Context(), g, Request{Pool: "p"}, a, cfg).Code, Unreachable)
		e.Tick(t.Context())
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.put(t.Context(), g, Request{Pool: "p"}, a, cfg).Decision, Granted)
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
	f.lost(now, "o")
	f.lost(now.Add(90*time.Millisecond), "o") // put to it side by side
	assert.Assert(t, f.silent(now.Add(leastMute-time.Millisecond), "o"))
	now = now.Add(leastMute)
	assert.Assert(t, !f.silent(now, "o"))
	assert.Assert(t, f.silent(now.Add(time.Millisecond), "o"), "the others wait for the first")
	f.lost(now.Add(admitTimeout), "o")
	assert.Assert(t, f.silent(now.Add(admitTimeout+2*leastMute-time.Millisecond), "o"), "the pause grows")
	assert.Assert(t, !f.silent(now.Add(admitTimeout+2*leastMute), "o"))
	f.heard("o")
	assert.Assert(t, !f.silent(now.Add(admitTimeout), "o"))
}

// Endpoints are dead and stay listed, and their owner does not answer. A router that
// has seen that they are dead must not take them for idle.
func TestEntryAvoidsDeadEndpointsWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{FallbackLimit: 3, LostTTL: time.Second}
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", cfg), silentOwner{}, nil, cfg)
		set := NewSet([]Descriptor{{ID: "dead", Pool: "p", Zone: "z"}})
		e.Update(set, NewRouters([]Router{{ID: "other", Zone: "z"}}, 0))
		e.Lost(t.Context(), *set.Find("dead"))
		g, r := e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, EndpointLost)
		time.Sleep(time.Second)
		g, _ = e.Acquire(t.Context(), Request{Pool: "p", Key: 1})
		assert.Assert(t, g != nil, "it may be back")
	})
}
