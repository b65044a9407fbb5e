package placement

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
	"wisteriaspool/coordination/synctest"
)

// clearFailure is the weight of a failure that leaves little doubt.
const clearFailure outlier.Weight = 390

// fail has requests fail at an endpoint until its owner takes it out.
func fail(t *testing.T, o *Owner, now time.Time, e coordination.Endpoint) time.Time {
	t.Helper()
	for seq := Sequence(1000); ; seq++ {
		now = now.Add(50 * time.Millisecond)
		r, _ := o.submit(now, AdmitRequest{Entry: testEntry, Sequence: seq, Endpoint: e})
		if r.Code == Outlier {
			return now
		}
		assert.Equal(t, r.Decision, Granted)
		assert.Assert(t, seq < 1010, "not taken out after ten failures")
		now = now.Add(50 * time.Millisecond)
		o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: e, Sequence: seq, Seen: clearFailure}}})
	}
}

// An endpoint fails what others serve. Its owner is the one place that all
// routers ask, so that all of them keep off it as soon as the owner does.
func TestOwnerKeepsRequestsOffAnOutlier(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	var told []OutlierChange
	o.OnOutlier(func(j OutlierChange) { told = append(told, j) })
	now = fail(t, o, now, "e0")
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Endpoint, coordination.Endpoint("e0"))

	r := admit(o, now, 1, "e0")
	assert.Equal(t, r.Decision, Next)
	assert.Equal(t, r.Code, Outlier)
	assert.Assert(t, r.RetryAfter > 0, "an entry need not ask before")
	assert.Equal(t, admit(o, now, 2, "e1").Decision, Granted)
}

// An endpoint that gets nothing still counts in the mean of its pool. Were it left
// out, the others would be let over the bound for the load that it does not take,
// and with several outliers they would drown.
func TestOutlierCountsInTheMean(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(2), Config{})
	now = fail(t, o, now, "e0")
	// Of two endpoints one may run ceil(1.25 times the mean): two requests of two,
	// and no third one, which would make the mean 1.5.
	assert.Equal(t, admit(o, now, 1, "e1").Decision, Granted)
	assert.Equal(t, admit(o, now, 2, "e1").Decision, Granted)
	assert.Equal(t, admit(o, now, 3, "e1").Code, OverBound)
}

// The others of a pool are over their bound for the load that an outlier does not
// take. Requests go to the outlier then, rather than wait or drown the others.
func TestOutlierIsUsedBeforeOthersAreOverTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := testEndpoints(2)
		f := newFleet(testRouters(1), es, Config{})
		time.Sleep(2 * time.Second)
		n := f.nodes["r0"]
		id := EntryID{Instance: "r0", Incarnation: n.entry.id.Incarnation}
		for seq := range Sequence(4) {
			time.Sleep(10 * time.Millisecond)
			n.owner.Admit(t.Context(), AdmitRequest{Entry: id, Sequence: 1000 + seq, Endpoint: "e0"})
			time.Sleep(10 * time.Millisecond)
			n.owner.Release(ReleaseBatch{Entry: id, Releases: []Release{{Endpoint: "e0", Sequence: 1000 + seq, Seen: clearFailure}}})
		}
		for range 2 {
			g, _ := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool})
			assert.Equal(t, g.Endpoint.ID, coordination.Endpoint("e1"))
			defer g.Release()
		}
		start := time.Now()
		third, refusal := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool})
		assert.Assert(t, third != nil, "%v", refusal)
		assert.Equal(t, third.Endpoint.ID, coordination.Endpoint("e0"))
		assert.Assert(t, time.Since(start) < 50*time.Millisecond)
		third.Release()
	})
}

// The count of a pool must come out even however an endpoint goes.
func TestOutlierThatLeavesOrComesBack(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		es := testEndpoints(2)
		o, now := newTestOwner(t, es, Config{})
		admit(o, now, 1, "e0")
		now = fail(t, o, now, "e0")
		if leaves {
			o.Leaving("e0", 1)
		} else {
			now = now.Add(10 * time.Second) // untried, it comes back
			assert.Equal(t, admit(o, now, 2, "e0").Decision, Granted)
		}
		o.tick(now)
		count, endpoints := o.pools[es[0].Pool].own()
		if leaves {
			assert.Equal(t, count, 0)
			assert.Equal(t, endpoints, 1)
			continue
		}
		assert.Equal(t, count, 2)
		assert.Equal(t, endpoints, 2)
	}
}

// A request that may run only once meets an endpoint that has just failed one.
// Nothing can mend a failure there, and other endpoints are as good.
func TestOnceKeepsOffAnEndpointInDoubt(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	o.release(now.Add(time.Millisecond), ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: 1, Seen: clearFailure}}})
	now = now.Add(2 * time.Millisecond)
	r, _ := o.submit(now, AdmitRequest{Entry: testEntry, Sequence: 2, Endpoint: "e0", Once: true})
	assert.Equal(t, r.Code, Outlier)
	assert.Equal(t, admit(o, now, 3, "e0").Decision, Granted)
}

// While a request still waits for its answer, the router asks whether the
// endpoint is known to fail.
func TestNoticeIsAnswered(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	batch := ReleaseBatch{Entry: testEntry, Notices: []Notice{{Endpoint: "e0", Sequence: 1, Seen: clearFailure}}}
	assert.Equal(t, len(o.release(now.Add(time.Millisecond), batch).Out), 0)
	now = fail(t, o, now.Add(time.Second), "e0")
	assert.DeepEqual(t, o.release(now, batch).Out, []coordination.Endpoint{"e0"})
}

// Entries and owners of two versions meet while a fleet is updated.
func TestOlderRoutersReadReleases(t *testing.T) {
	type oldRelease struct {
		_        struct{} `cbor:",toarray"`
		Endpoint coordination.Endpoint
		Sequence Sequence
	}
	type oldBatch struct {
		Entry    EntryID      `cbor:"1,keyasint"`
		Releases []oldRelease `cbor:"2,keyasint,omitempty"`
	}
	b := ReleaseBatch{
		Entry:    testEntry,
		Releases: []Release{{Endpoint: "e0", Sequence: 7, Seen: clearFailure}, {Endpoint: "e1", Sequence: 8}},
	}
	var old oldBatch
	assert.NilError(t, decode(b.Encode(), &old))
	assert.Equal(t, old.Releases[1].Sequence, Sequence(8))

	again, err := DecodeReleaseBatch(b.Encode())
	assert.NilError(t, err)
	assert.Equal(t, again.Releases[0].Seen, clearFailure)
	assert.Equal(t, again.Releases[1].Seen, outlier.Weight(0))

	fresh, err := DecodeReleaseBatch(encode(oldBatch{Entry: testEntry, Releases: old.Releases}))
	assert.NilError(t, err)
	assert.Equal(t, fresh.Releases[0].Seen, outlier.Weight(0))
	reply, err := DecodeReleaseReply(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Out), 0)
}

// fleetWithOutliers returns a fleet in which all requests at some endpoints have
// failed until these were taken out.
func fleetWithOutliers(t *testing.T, endpoints, bad int) (*fleet, []Descriptor) {
	t.Helper()
	es := testEndpoints(endpoints)
	f := newFleet(testRouters(2), es, Config{Bound: 2, Slack: 8})
	time.Sleep(2 * time.Second)
	for _, d := range es[:bad] {
		for _, n := range f.nodes {
			for seq := range Sequence(8) {
				id := EntryID{Instance: n.entry.id.Instance, Incarnation: n.entry.id.Incarnation}
				time.Sleep(10 * time.Millisecond)
				r := n.owner.Admit(t.Context(), AdmitRequest{Entry: id, Sequence: 1000 + seq, Endpoint: d.ID})
				if r.Decision != Granted {
					continue
				}
				time.Sleep(10 * time.Millisecond)
				n.owner.Release(ReleaseBatch{Entry: id, Releases: []Release{{Endpoint: d.ID, Sequence: 1000 + seq, Seen: clearFailure}}})
			}
		}
	}
	return f, es
}

// A third of a pool fails. Whatever a request's own order of endpoints is, it is
// placed at one of the others, from each router.
func TestEntriesGoRoundOutliers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, es := fleetWithOutliers(t, 6, 2)
		for _, n := range f.nodes {
			for key := range Key(20) {
				g, refusal := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool, Key: key})
				assert.Assert(t, g != nil, "%v", refusal)
				assert.Assert(t, g.Endpoint.ID != es[0].ID && g.Endpoint.ID != es[1].ID)
				g.Release()
			}
		}
	})
}

// More of a pool seems to fail than the rest can stand in for. Kept off them
// all, the requests would drown the rest; so they are sent there all the same.
func TestNoMoreThanAThirdOfAPoolIsKeptOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, es := fleetWithOutliers(t, 6, 5)
		met := make(map[coordination.Endpoint]bool)
		for _, n := range f.nodes {
			for key := range Key(40) {
				g, refusal := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool, Key: key})
				assert.Assert(t, g != nil, "%v", refusal)
				met[g.Endpoint.ID] = true
				g.Release()
			}
		}
		assert.Equal(t, len(met), 6, "endpoints that are used")
	})
}

// The only endpoint of a pool fails. A request is better sent to it than to
// nobody.
func TestTheOnlyEndpointIsNeverKeptOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, es := fleetWithOutliers(t, 1, 1)
		for _, n := range f.nodes {
			g, refusal := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool, Once: true})
			assert.Assert(t, g != nil, "%v", refusal)
			g.Release()
		}
	})
}

// A second attempt beside one that is still open must not wait in a queue: the
// first may have its answer long before.
func TestRequestForNowDoesNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := testEndpoints(1)
		es[0].Capacity = 1
		f := newFleet(testRouters(1), es, Config{Bound: 4, Slack: 4})
		time.Sleep(2 * time.Second)
		e := f.nodes["r0"].entry
		g, _ := e.Acquire(t.Context(), Request{Pool: es[0].Pool})
		assert.Assert(t, g != nil)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		second, refusal := e.Acquire(ctx, Request{Pool: es[0].Pool, NoWait: true})
		assert.Assert(t, second == nil)
		assert.Equal(t, refusal.Code, Overloaded)
		assert.Assert(t, time.Since(start) < 100*time.Millisecond)
		g.Release()
	})
}
