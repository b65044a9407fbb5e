package placement

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// slotServer is an endpoint that runs a limited number of requests at a time, 60 ms
// each. The others wait in the order of arrival.
type slotServer struct {
	slots chan struct{}
}

func (s slotServer) serve() {
	s.slots <- struct{}{}
	time.Sleep(60 * time.Millisecond)
	<-s.slots
}

// simulatedRequest is one request from its admission to its release. It includes 10 ms
// for the way to the endpoint and back, and 20 ms for the batching of releases.
type simulatedRequest struct {
	owner  *Owner
	server slotServer
	n      int
	onTime *atomic.Int32
}

func (s simulatedRequest) run(ctx context.Context) {
	start := time.Now()
	entry := EntryID{Instance: "entry", Incarnation: 1}
	r := s.owner.Admit(ctx, AdmitRequest{
		Entry: entry, Sequence: Sequence(s.n + 1), Endpoint: "desk", Account: coordination.Account(fmt.Sprint(s.n % 10)),
		Deadline: 1500, Final: true,
	})
	if r.Decision != Granted {
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.server.serve()
	if time.Since(start) < 290*time.Millisecond {
		s.onTime.Add(1)
	}
	time.Sleep(25 * time.Millisecond)
	s.owner.Release(ReleaseBatch{Entry: entry, Releases: []Release{{Endpoint: "desk", Sequence: Sequence(s.n + 1)}}})
}

// servedOnTime sends 4 s of requests at a fraction of the capacity of an endpoint with
// six slots, and returns the share that was answered within 0.3 s.
func servedOnTime(t *testing.T, load, ahead float64) (share float64) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOwner("self", Config{Bound: 100, Overcommit: ahead})
		set := NewSet([]Descriptor{{ID: "desk", Pool: "p", Zone: "z", Capacity: 6}})
		o.Update(set, NewRouters([]Router{{ID: "self", Zone: "z"}}, 0))
		time.Sleep(2 * time.Second) // the owner settles
		d := slotServer{slots: make(chan struct{}, 6)}
		gap := time.Duration(float64(10*time.Millisecond) / load)
		n := int(4 * time.Second / gap)
		var onTime atomic.Int32
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { simulatedRequest{o, d, i, &onTime}.run(t.Context()) })
			time.Sleep(gap)
		}
		wg.Wait()
		share = float64(onTime.Load()) / float64(n)
	})
	return share
}

// Guards against idle slots while requests wait. The endpoint gets four fifths of the
// load that it can serve, and its owner learns 30 ms late that a request of 60 ms has
// ended. If it never got more requests than it has slots, it would idle a third of the
// time, and callers would be refused although there is room.
func TestEndpointIsKeptBusy(t *testing.T) {
	before := servedOnTime(t, 0.8, 0)
	after := servedOnTime(t, 0.8, 0.5)
	t.Logf("answered in time at 80%% of the load: %.2f without, %.2f with half of the slots sent ahead", before, after)
	assert.Assert(t, before < 0.6, "%.2f", before)
	assert.Assert(t, after > 0.99, "%.2f", after)
}
