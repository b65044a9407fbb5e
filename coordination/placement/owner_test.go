package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

var testStart = time.UnixMilli(1_800_000_000_000)

// newTestOwner returns an owner of n endpoints that has settled, and the time.
func newTestOwner(t *testing.T, es []Descriptor, cfg Config) (*Owner, time.Time) {
	t.Helper()
	o := NewOwner("r0", cfg)
	o.update(testStart, NewSet(es), NewRouters(testRouters(1), 0))
	return o, testStart.Add(2 * time.Second)
}

var testEntry = EntryID{Instance: "r0", Incarnation: 1}

func admit(o *Owner, now time.Time, seq Sequence, e coordination.Endpoint) AdmitReply {
	r, w := o.submit(now, AdmitRequest{Entry: testEntry, Sequence: seq, Endpoint: e})
	if w != nil {
		panic("queued")
	}
	return r
}

func TestOwnerKeepsTheRelativeBound(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(4), Config{})
	// One endpoint alone may have one request, whatever the mean is.
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	assert.DeepEqual(t, admit(o, now, 2, "e0"), AdmitReply{Decision: Next, Code: OverBound})
	for i, e := range []coordination.Endpoint{"e1", "e2", "e3"} {
		assert.Equal(t, admit(o, now, Sequence(3+i), e).Decision, Granted)
	}
	// Four run, and the fifth makes the mean 1.25: ceil(1.25*1.25) is 2.
	assert.Equal(t, admit(o, now, 6, "e0").Decision, Granted)
	assert.Equal(t, admit(o, now, 7, "e0").Code, OverBound)
}

func TestRepeatedAdmitIsIdempotent(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(4), Config{})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: 1}}})
	o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: 1}}})
	assert.Equal(t, admit(o, now, 1, "e0").Code, Cancelled)
	assert.Equal(t, admit(o, now, 2, "e0").Decision, Granted)
	assert.Equal(t, admit(o, now, 3, "e0").Code, OverBound)
}

// An entry gives a request up while its question is still on the way to the
// owner, so the release overtakes it. Were it granted then, the endpoint would
// seem to run one request more for ever.
func TestReleaseThatOvertakesItsRequest(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(1), Config{})
	o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: 1}}})
	assert.Equal(t, admit(o, now, 1, "e0").Code, Cancelled)
	assert.Equal(t, o.shard("e0").loads["e0"].countedInPool, 0)
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	es := testEndpoints(2)
	o, now := newTestOwner(t, es, Config{})
	o.MarkLeaving("e0", 1)
	assert.Equal(t, admit(o, now, 1, "e0").Code, EndpointLeaving)
	// A lagging list still calls it live.
	o.update(now, NewSet(es), NewRouters(testRouters(1), 0))
	assert.Equal(t, admit(o, now, 2, "e0").Code, EndpointLeaving)
	es[0].Incarnation = 2
	o.update(now, NewSet(es), NewRouters(testRouters(1), 0))
	assert.Equal(t, admit(o, now, 3, "e0").Decision, Granted)
}

func TestOwnerReportsLoadsAndDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOwner("r0", Config{})
		o.Update(NewSet(testEndpoints(4)), NewRouters(testRouters(1), 0))
		time.Sleep(2 * time.Second)
		o.Admit(t.Context(), AdmitRequest{Entry: testEntry, Sequence: 1, Endpoint: "e0"})
		o.Admit(t.Context(), AdmitRequest{Entry: testEntry, Sequence: 2, Endpoint: "e0"})
		o.MarkLeaving("e1", 1)
		assert.DeepEqual(t, o.Loads()[:2], []LoadStatus{
			{Endpoint: "e0", Pool: testPool, Count: 1, Held: 1},
			{Endpoint: "e1", Pool: testPool, State: Leaving},
		})
		assert.DeepEqual(t, o.Decisions(), []DecisionCount{
			{Decision: Granted, Count: 1},
			{Decision: Next, Code: OverBound, Count: 1},
		})
	})
}

// A router restarts at once, so that lists never drop it. What it ran before is
// over; counted on, it would keep new requests from the endpoint. A router that
// was frozen, on the other hand, comes back in lists with a higher incarnation
// while the same process still holds its grants, and they have to stay.
func TestGrantsEndWithTheProcessNotWithTheListing(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(4), Config{})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	o.update(now, NewSet(testEndpoints(4)), NewRouters([]Router{{ID: "r0", Zone: "z0"}}, 0))
	assert.Equal(t, admit(o, now, 2, "e0").Code, OverBound)
	again := EntryID{Instance: testEntry.Instance, Incarnation: 2}
	r, _ := o.submit(now, AdmitRequest{Entry: again, Sequence: 1, Endpoint: "e0"})
	assert.Equal(t, r.Decision, Granted)
}
