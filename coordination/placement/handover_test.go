package placement

import (
	"context"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// notOwnerTransport is a transport to owners that disclaim all endpoints and name no other.
type notOwnerTransport struct{}

func (notOwnerTransport) Call(context.Context, coordination.Instance, string, []byte) ([]byte, error) {
	return AdmitReply{Decision: Next, Code: NotOwner}.Encode(), nil
}

// Guards against a refusal that reports a change of owners as overload.
func TestRefusalTellsThatOwnersDisclaimTheirEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), notOwnerTransport{}, nil, Config{})
		e.Update(NewSet(testEndpoints(3)), NewRouters([]Router{{ID: "other", Zone: "a"}}, 0))
		g, r := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1})
		assert.Assert(t, g == nil)
		assert.Equal(t, r.Code, NotOwner)
	})
}

// Guards against refusals while routers learn one by one that an owner stops.
func TestRequestIsPlacedWhileOwnersChange(t *testing.T) {
	const lag = 30 * time.Millisecond
	before := NewRouters([]Router{{ID: "r1", Zone: "z"}}, 0)
	after := NewRouters([]Router{{ID: "r0", Zone: "z"}}, 0)
	for _, tc := range []struct {
		name  string
		first coordination.Instance // the router that learns of the change first
		entry coordination.Instance // the router that places the request
	}{
		{name: "old owner first, asked by the new one", first: "r1", entry: "r0"},
		{name: "old owner first, asked by a third", first: "r1", entry: "r2"},
		{name: "old owner first, by its own request", first: "r1", entry: "r1"},
		{name: "third first", first: "r2", entry: "r2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := []Router{{ID: "r0", Zone: "z", Incarnation: 1}, {ID: "r1", Zone: "z", Incarnation: 1}, {ID: "r2", Zone: "z", Incarnation: 1}}
				set := NewSet(handoverEndpoints)
				f := newFleet(members, handoverEndpoints, Config{Grace: 250 * time.Millisecond, FallbackLimit: 3})
				for _, n := range f.nodes {
					n.update(set, before)
				}
				defer f.start()()
				time.Sleep(2 * time.Second) // the owner settles
				f.nodes[tc.first].update(set, after)
				time.AfterFunc(lag, func() {
					for _, n := range f.nodes {
						n.update(set, after)
					}
				})
				begun := time.Now()
				g, r := f.nodes[tc.entry].entry.Acquire(t.Context(), Request{Pool: testPool, Key: 1, Deadline: 4 * time.Second})
				assert.Assert(t, g != nil, "%v", r)
				assert.Assert(t, time.Since(begun) < time.Second, "%v", time.Since(begun))
				g.Release()
			})
		})
	}
}

// Guards against endpoints that are taken for lost because their owner learns of them, or of
// their restart, later than the router that places a request.
func TestRequestIsPlacedWhileOwnerLearnsOfItsEndpoints(t *testing.T) {
	restarted := lo.Map(handoverEndpoints, func(d Descriptor, _ int) Descriptor { d.Incarnation = 2; return d })
	for _, tc := range []struct {
		name  string
		known []Descriptor // to the owner, at first
	}{
		{name: "new"},
		{name: "restarted", known: handoverEndpoints},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := []Router{{ID: "r0", Zone: "z", Incarnation: 1}, {ID: "r1", Zone: "z", Incarnation: 1}}
				routers := NewRouters([]Router{{ID: "r1", Zone: "z"}}, 0)
				f := newFleet(members, handoverEndpoints, Config{})
				for _, n := range f.nodes {
					n.update(NewSet(tc.known), routers)
				}
				defer f.start()()
				time.Sleep(2 * time.Second)
				f.nodes["r0"].update(NewSet(restarted), routers)
				time.AfterFunc(30*time.Millisecond, func() { f.nodes["r1"].update(NewSet(restarted), routers) })
				begun := time.Now()
				g, r := f.nodes["r0"].entry.Acquire(t.Context(), Request{Pool: testPool, Key: 1, Deadline: 4 * time.Second})
				assert.Assert(t, g != nil, "%v", r)
				assert.Assert(t, time.Since(begun) < time.Second, "%v", time.Since(begun))
				assert.Equal(t, len(g.Lost), 0)
				g.Release()
			})
		})
	}
}

// Guards against a wait for an endpoint that its owner knows to be gone.
func TestOwnerReportsRemovedEndpointAsLost(t *testing.T) {
	now := time.Now()
	o := NewOwner("r1", Config{LostTTL: time.Second})
	routers := NewRouters([]Router{{ID: "r1", Zone: "z"}}, 0)
	o.update(now, NewSet(handoverEndpoints), routers)
	o.update(now, NewSet(nil), routers)
	reply := func(now time.Time, n coordination.Incarnation) Code {
		r, _ := o.submit(now, AdmitRequest{Entry: EntryID{Instance: "r0", Incarnation: 1}, Sequence: Sequence(n), Endpoint: "e0", Incarnation: n})
		return r.Code
	}
	assert.Equal(t, reply(now, 1), EndpointLost)
	assert.Equal(t, reply(now, 2), NotOwner, "the endpoint has started again")
	assert.Equal(t, reply(now.Add(time.Second), 1), NotOwner, "the endpoint may be listed again")
	o.update(now.Add(time.Second), NewSet(nil), routers)
	assert.Equal(t, len(o.view.Load().removed), 0)
}

var handoverEndpoints = []Descriptor{
	{ID: "e0", Pool: testPool, Zone: "z", Incarnation: 1},
	{ID: "e1", Pool: testPool, Zone: "z", Incarnation: 1},
	{ID: "e2", Pool: testPool, Zone: "z", Incarnation: 1},
}

// Guards against a long wait where routers never agree on an owner.
func TestWaitForAHandoverIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name string
		req  Request
		most time.Duration
	}{
		{name: "plain", req: Request{Pool: testPool}, most: maxHandoverWait},
		{name: "little time", req: Request{Pool: testPool, Deadline: 50 * time.Millisecond}, most: 80 * time.Millisecond},
		{name: "not to wait", req: Request{Pool: testPool, NoWait: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewEntry(EntryID{Instance: "self", Incarnation: 1}, NewOwner("self", Config{}), notOwnerTransport{}, nil, Config{})
				e.Update(NewSet(handoverEndpoints), NewRouters([]Router{{ID: "other", Zone: "z"}}, 0))
				begun := time.Now()
				g, _ := e.Acquire(t.Context(), tc.req)
				assert.Assert(t, g == nil)
				assert.Assert(t, time.Since(begun) <= tc.most, "%v", time.Since(begun))
			})
		})
	}
}
