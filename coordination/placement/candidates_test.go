package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

const testPool = coordination.Pool("m@1")

func testEndpoints(n int) []Descriptor {
	return lo.Times(n, func(i int) Descriptor {
		return Descriptor{
			ID:          coordination.Endpoint(fmt.Sprintf("e%d", i)),
			Zone:        coordination.Zone([]string{"a", "b", "c"}[i%3]),
			Pool:        testPool,
			Incarnation: 1,
		}
	})
}

func ids(ds []*Descriptor) []coordination.Endpoint {
	return lo.Map(ds, func(d *Descriptor, _ int) coordination.Endpoint { return d.ID })
}

func TestCandidatesPutTheHintedEndpointFirst(t *testing.T) {
	s := NewSet(testEndpoints(12))
	key := KeyOf("chat-1")
	plain := ids(s.Candidates(nil, testPool, key, 0, 12))
	assert.Equal(t, len(lo.Uniq(plain)), 12)

	last := plain[11]
	hinted := ids(s.Candidates(nil, testPool, key, HintOf(last, 1), 12))
	assert.Equal(t, hinted[0], last)
	assert.DeepEqual(t, hinted[1:], plain[:11])
}

func TestCandidatesIgnoreHintsThatNameNothing(t *testing.T) {
	s := NewSet(testEndpoints(12))
	key := KeyOf("chat-1")
	plain := ids(s.Candidates(nil, testPool, key, 0, 4))
	for _, hint := range []Hint{HintOf("e3", 2), HintOf("e99", 1), ParseHint("forged"), ParseHint("////////////")} {
		assert.DeepEqual(t, ids(s.Candidates(nil, testPool, key, hint, 4)), plain)
	}
}

func TestHintRoundTrip(t *testing.T) {
	h := HintOf("e1", 7)
	assert.Equal(t, ParseHint(h.String()), h)
	assert.Equal(t, len(h.String()), 11)
	assert.Equal(t, Hint(0).String(), "")
}

func TestCandidatesLeaveOutLeavingEndpoints(t *testing.T) {
	es := testEndpoints(3)
	es[1].State = Leaving
	s := NewSet(es)
	got := ids(s.Candidates(nil, testPool, 1, HintOf("e1", 1), 3))
	assert.Equal(t, len(got), 2)
	assert.Assert(t, !lo.Contains(got, es[1].ID))
	assert.Equal(t, s.Find("e1").State, Leaving)
}

// Guards against a joining endpoint that takes over more chats than its share. Each
// chat that moves waits until its context has been computed again.
func TestJoiningEndpointTakesOnlyItsShare(t *testing.T) {
	before, after := NewSet(testEndpoints(12)), NewSet(testEndpoints(13))
	const chats = 5000
	moved := 0
	for k := range Key(chats) {
		a := before.Candidates(nil, testPool, k, 0, 1)[0].ID
		b := after.Candidates(nil, testPool, k, 0, 1)[0].ID
		if a != b {
			assert.Equal(t, b, coordination.Endpoint("e12"))
			moved++
		}
	}
	assert.Assert(t, moved > chats/13*8/10 && moved < chats/13*12/10, "moved %d", moved)
}

func TestWeightSetsTheShareOfChats(t *testing.T) {
	es := testEndpoints(4)
	es[0].Weight = 3
	es[1].WeightFactor = 0.5
	s := NewSet(es)
	const chats = 11000
	got := make(map[coordination.Endpoint]int)
	for k := range Key(chats) {
		got[s.Candidates(nil, testPool, k, 0, 1)[0].ID]++
	}
	want := map[coordination.Endpoint]int{"e0": 6000, "e1": 1000, "e2": 2000, "e3": 2000}
	for id, n := range want {
		assert.Assert(t, got[id] > n*9/10 && got[id] < n*11/10, "%s: %d, want %d", id, got[id], n)
	}
}

func TestCandidatesDoNotAllocate(t *testing.T) {
	s := NewSet(testEndpoints(110))
	dst := make([]*Descriptor, 0, 8)
	hint := HintOf("e9", 1)
	n := testing.AllocsPerRun(100, func() { dst = s.Candidates(dst[:0], testPool, 5, hint, 8) })
	assert.Equal(t, n, 0.0)
	assert.Equal(t, dst[0].ID, coordination.Endpoint("e9"))
}

func testRouters(n int) []Router {
	return lo.Times(n, func(i int) Router {
		return Router{
			ID:          coordination.Instance(fmt.Sprintf("r%d", i)),
			Incarnation: 1,
			Zone:        coordination.Zone([]string{"a", "b", "c"}[i%3]),
		}
	})
}

func TestOwnerIsInTheEndpointsZone(t *testing.T) {
	members := testRouters(7)
	zone := lo.SliceToMap(members, func(m Router) (coordination.Instance, coordination.Zone) { return m.ID, m.Zone })
	r := NewRouters(members, 0)
	backwards := testRouters(7)
	slices.Reverse(backwards)
	same := NewRouters(backwards, 0)
	for _, e := range testEndpoints(60) {
		owner := r.Owner(e.ID, e.Zone)
		assert.Equal(t, zone[owner], e.Zone)
		assert.Equal(t, owner, same.Owner(e.ID, e.Zone))
	}
	assert.Assert(t, r.Owner("e1", "elsewhere") != "")
	assert.Equal(t, NewRouters(nil, 0).Owner("e1", "a"), coordination.Instance(""))
}

// Guards against an owner set that changes by more than the member that left. Endpoints
// all over the fleet would have to be counted anew.
func TestOwnerSetIsCappedAndStable(t *testing.T) {
	before := NewRouters(testRouters(330), 150)
	assert.Equal(t, len(before.Owners()), 150)
	for gone := range 330 {
		members := append(testRouters(330)[:gone:gone], testRouters(330)[gone+1:]...)
		after := NewRouters(members, 150)
		lost, gained := lo.Difference(before.Owners(), after.Owners())
		assert.Assert(t, len(lost) <= 1 && len(gained) <= 1, "without r%d: lost %v, gained %v", gone, lost, gained)
	}
}
