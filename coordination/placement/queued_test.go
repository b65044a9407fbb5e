package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// Guards against refusing waiting requests when their endpoint leaves, dies or changes owners.
func TestWaitingRequestOutlivesItsQueue(t *testing.T) {
	zone := coordination.Zone("z")
	before := NewRouters([]Router{{ID: "r1", Zone: zone}}, 0)
	after := NewRouters([]Router{{ID: "r0", Zone: zone}}, 0)
	for _, tc := range []struct {
		name string
		end  func(f *fleet, set *Set, queue coordination.Endpoint)
	}{
		{name: "endpoint leaves", end: func(f *fleet, _ *Set, queue coordination.Endpoint) {
			f.nodes["r1"].owner.MarkLeaving(queue, 1)
		}},
		{name: "endpoint dies", end: func(f *fleet, set *Set, queue coordination.Endpoint) {
			var rest []Descriptor
			for _, d := range set.byID {
				if d.ID != queue {
					rest = append(rest, *d)
				}
			}
			for _, n := range f.nodes {
				n.update(NewSet(rest), before)
			}
		}},
		{name: "owner changes", end: func(f *fleet, set *Set, _ coordination.Endpoint) {
			for _, n := range f.nodes {
				n.update(set, after)
			}
		}},
		{name: "owner changes, the entry learns of it late", end: func(f *fleet, set *Set, _ coordination.Endpoint) {
			f.nodes["r1"].update(set, after)
			time.Sleep(20 * time.Millisecond)
			f.nodes["r0"].update(set, after)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				es := []Descriptor{
					{ID: "e0", Pool: testPool, Zone: zone, Incarnation: 1, Capacity: 2},
					{ID: "e1", Pool: testPool, Zone: zone, Incarnation: 1, Capacity: 2},
				}
				set := NewSet(es)
				members := []Router{{ID: "r0", Zone: zone, Incarnation: 1}, {ID: "r1", Zone: zone, Incarnation: 1}}
				f := newFleet(members, es, Config{Grace: 250 * time.Millisecond})
				for _, n := range f.nodes {
					n.update(set, before)
				}
				defer f.start()()
				time.Sleep(2 * time.Second) // the owner settles
				entry := f.nodes["r0"].entry
				running := acquireGrants(t, entry, 4)
				placed := make(chan error, 1)
				go waitingRequest{entry, placed}.run(t)
				time.Sleep(100 * time.Millisecond)
				queue := endpointWithQueue(f.nodes["r1"].owner)
				assert.Assert(t, queue != "", "the request does not wait")
				tc.end(f, set, queue)
				time.Sleep(time.Second)
				for _, g := range running {
					g.Release()
				}
				assert.NilError(t, <-placed)
			})
		})
	}
}

// acquireGrants acquires n grants.
func acquireGrants(t *testing.T, e *Entry, n int) (running []*Grant) {
	for range n {
		g, r := e.Acquire(t.Context(), Request{Pool: testPool, Key: 1})
		assert.Assert(t, g != nil, "%v", r)
		running = append(running, g)
	}
	return running
}

// waitingRequest is a request that finds all endpoints full.
type waitingRequest struct {
	entry  *Entry
	placed chan<- error
}

func (w waitingRequest) run(t *testing.T) {
	g, r := w.entry.Acquire(t.Context(), Request{Pool: testPool, Key: 1, Deadline: 4 * time.Second})
	if g == nil {
		w.placed <- refusedError(r)
		return
	}
	g.Release()
	w.placed <- nil
}

// refusedError is an unexpected refusal.
type refusedError Refusal

func (r refusedError) Error() string { return "refused: " + r.Code.String() }

// endpointWithQueue returns an endpoint of o at which requests wait, or "".
func endpointWithQueue(o *Owner) coordination.Endpoint {
	for i := range o.shards {
		if id := o.shards[i].endpointWithQueue(); id != "" {
			return id
		}
	}
	return ""
}

// endpointWithQueue returns an endpoint of the shard at which requests wait, or "".
func (s *ownerShard) endpointWithQueue() coordination.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.loads {
		if l.queue.size > 0 {
			return id
		}
	}
	return ""
}
