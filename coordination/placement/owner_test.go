package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

var testStart = time.UnixMilli(1_800_000_000_000)

// newTestOwner returns an owner of es, and a time at which it has settled.
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
		panic("request was queued")
	}
	return r
}

func TestOwnerKeepsTheRelativeBound(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(4), Config{})
	// A single endpoint may always run one request, whatever the mean.
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	assert.DeepEqual(t, admit(o, now, 2, "e0"), AdmitReply{Decision: Next, Code: OverBound})
	for i, e := range []coordination.Endpoint{"e1", "e2", "e3"} {
		assert.Equal(t, admit(o, now, Sequence(3+i), e).Decision, Granted)
	}
	// Four requests run. The fifth makes the mean 1.25, and ceil(1.25*1.25) is
	// 2.
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

// Guards against a grant that is never released because the release arrives
// before the request, after the entry gave the request up. The endpoint would
// appear to run one more request forever.
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
	// An outdated list still reports it as live.
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

// Guards against counting the requests of a router that restarted so quickly
// that no list dropped it; they would keep new requests from the endpoint. A
// router that was frozen is listed again with a higher incarnation while the
// same process still holds its grants, which must be kept.
func TestGrantsEndWithTheProcessNotWithTheListing(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(4), Config{})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	o.update(now, NewSet(testEndpoints(4)), NewRouters([]Router{{ID: "r0", Zone: "z0"}}, 0))
	assert.Equal(t, admit(o, now, 2, "e0").Code, OverBound)
	again := EntryID{Instance: testEntry.Instance, Incarnation: 2}
	r, _ := o.submit(now, AdmitRequest{Entry: again, Sequence: 1, Endpoint: "e0"})
	assert.Equal(t, r.Decision, Granted)
}
