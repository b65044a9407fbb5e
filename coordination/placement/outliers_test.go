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

// clearFailure is the weight of an unambiguous failure.
const clearFailure outlier.Weight = 390

// ejectByFailures makes requests fail at an endpoint until its owner ejects it.
// It returns the time of the ejection.
func ejectByFailures(t *testing.T, o *Owner, now time.Time, e coordination.Endpoint) time.Time {
	t.Helper()
	for seq := Sequence(1000); ; seq++ {
		now = now.Add(50 * time.Millisecond)
		r, _ := o.submit(now, AdmitRequest{Entry: testEntry, Sequence: seq, Endpoint: e})
		if r.Code == Outlier {
			return now
		}
		assert.Equal(t, r.Decision, Granted)
		assert.Assert(t, seq < 1010, "not ejected after ten failures")
		now = now.Add(50 * time.Millisecond)
		o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: e, Sequence: seq, Evidence: clearFailure}}})
	}
}

// Guards against requests placed at an endpoint that fails what others serve.
// The owner rejects them for all routers as soon as it ejects the endpoint.
func TestOwnerRejectsRequestsAtOutlier(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	var told []OutlierChange
	o.OnOutlier(func(j OutlierChange) { told = append(told, j) })
	now = ejectByFailures(t, o, now, "e0")
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Endpoint, coordination.Endpoint("e0"))

	r := admit(o, now, 1, "e0")
	assert.Equal(t, r.Decision, Next)
	assert.Equal(t, r.Code, Outlier)
	assert.Assert(t, r.RetryAfter > 0, "a rejection must say when to ask again")
	assert.Equal(t, admit(o, now, 2, "e1").Decision, Granted)
}

// Guards against a bound that rises because an ejected endpoint is left out of
// the mean. The other endpoints would then be overloaded by the load that it
// does not take.
func TestOutlierCountsInTheMean(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(2), Config{})
	now = ejectByFailures(t, o, now, "e0")
	// Each of two endpoints may run ceil(1.25 * mean) requests. That allows two
	// requests, but not a third, for which the mean is 1.5.
	assert.Equal(t, admit(o, now, 1, "e1").Decision, Granted)
	assert.Equal(t, admit(o, now, 2, "e1").Decision, Granted)
	assert.Equal(t, admit(o, now, 3, "e1").Code, OverBound)
}

// Guards against requests that wait, or overload the other endpoints, when
// these are at their bound because of an outlier. Such requests are placed at
// the outlier.
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
			n.owner.Release(ReleaseBatch{Entry: id, Releases: []Release{{Endpoint: "e0", Sequence: 1000 + seq, Evidence: clearFailure}}})
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

// Guards against a wrong pool count after an outlier leaves or is restored.
func TestOutlierThatLeavesOrComesBack(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		es := testEndpoints(2)
		o, now := newTestOwner(t, es, Config{})
		admit(o, now, 1, "e0")
		now = ejectByFailures(t, o, now, "e0")
		if leaves {
			o.MarkLeaving("e0", 1)
		} else {
			now = now.Add(10 * time.Second) // restored after a time without requests
			assert.Equal(t, admit(o, now, 2, "e0").Decision, Granted)
		}
		o.tick(now)
		count, endpoints := o.pools[es[0].Pool].ownSums()
		if leaves {
			assert.Equal(t, count, 0)
			assert.Equal(t, endpoints, 1)
			continue
		}
		assert.Equal(t, count, 2)
		assert.Equal(t, endpoints, 2)
	}
}

// Guards against a non-retryable request placed at an endpoint that has just
// failed one, while other endpoints are available.
func TestNonRetryableAvoidsDoubtedEndpoint(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	o.release(now.Add(time.Millisecond), ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: 1, Evidence: clearFailure}}})
	now = now.Add(2 * time.Millisecond)
	r, _ := o.submit(now, AdmitRequest{Entry: testEntry, Sequence: 2, Endpoint: "e0", NonRetryable: true})
	assert.Equal(t, r.Code, Outlier)
	assert.Equal(t, admit(o, now, 3, "e0").Decision, Granted)
}

// Guards against a router that learns too late, while a request is still
// running, that its endpoint is ejected.
func TestNoticeIsAnswered(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(3), Config{Bound: 2, Slack: 3})
	assert.Equal(t, admit(o, now, 1, "e0").Decision, Granted)
	batch := ReleaseBatch{Entry: testEntry, Notices: []Notice{{Endpoint: "e0", Sequence: 1, Evidence: clearFailure}}}
	assert.Equal(t, len(o.release(now.Add(time.Millisecond), batch).Ejected), 0)
	now = ejectByFailures(t, o, now.Add(time.Second), "e0")
	assert.DeepEqual(t, o.release(now, batch).Ejected, []coordination.Endpoint{"e0"})
}

// Guards against incompatible messages between router versions during a rolling
// update.
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
		Releases: []Release{{Endpoint: "e0", Sequence: 7, Evidence: clearFailure}, {Endpoint: "e1", Sequence: 8}},
	}
	var old oldBatch
	assert.NilError(t, decode(b.Encode(), &old))
	assert.Equal(t, old.Releases[1].Sequence, Sequence(8))

	again, err := DecodeReleaseBatch(b.Encode())
	assert.NilError(t, err)
	assert.Equal(t, again.Releases[0].Evidence, clearFailure)
	assert.Equal(t, again.Releases[1].Evidence, outlier.Weight(0))

	fresh, err := DecodeReleaseBatch(encode(oldBatch{Entry: testEntry, Releases: old.Releases}))
	assert.NilError(t, err)
	assert.Equal(t, fresh.Releases[0].Evidence, outlier.Weight(0))
	reply, err := DecodeReleaseReply(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Ejected), 0)
}

// fleetWithOutliers returns a fleet in which the first bad endpoints have
// failed requests until they were ejected.
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
				n.owner.Release(ReleaseBatch{Entry: id, Releases: []Release{{Endpoint: d.ID, Sequence: 1000 + seq, Evidence: clearFailure}}})
			}
		}
	}
	return f, es
}

// Guards against requests placed at ejected endpoints when a third of a pool
// fails, whatever their order of candidates and whichever router receives them.
func TestEntriesAvoidOutliers(t *testing.T) {
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

// Guards against overloading the rest of a pool when too many of its endpoints
// fail. Requests are then placed at the failing endpoints as well.
func TestAtMostOneThirdOfPoolIsAvoided(t *testing.T) {
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
		assert.Equal(t, len(met), 6, "number of endpoints that received requests")
	})
}

// Guards against refusing all requests of a pool whose only endpoint fails.
func TestOnlyEndpointIsNeverAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, es := fleetWithOutliers(t, 1, 1)
		for _, n := range f.nodes {
			g, refusal := n.entry.Acquire(t.Context(), Request{Pool: es[0].Pool, NonRetryable: true})
			assert.Assert(t, g != nil, "%v", refusal)
			g.Release()
		}
	})
}

// Guards against a second attempt that waits in a queue while the first is
// still open: the first may be answered long before.
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
