package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// fullOwner returns an owner whose only endpoint runs n requests and can run no more. n
// requests have ended after a second each, so that the observed gap is 1 s/n.
func fullOwner(t *testing.T, n int, cfg Config) (*Owner, time.Time) {
	t.Helper()
	es := testEndpoints(1)
	es[0].Capacity = n
	o, now := newTestOwner(t, es, cfg)
	for seq := range Sequence(2 * n) {
		assert.Equal(t, admit(o, now, seq+1, "e0").Decision, Granted)
		if int(seq) < n {
			o.release(now.Add(time.Second), ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: seq + 1}}})
		}
	}
	return o, now.Add(time.Second)
}

func enqueue(o *Owner, now time.Time, seq Sequence, account coordination.Account, deadline Millis) (AdmitReply, *waiter) {
	return o.submit(now, AdmitRequest{
		Entry: testEntry, Sequence: seq, Endpoint: "e0", Account: account, Deadline: deadline, Final: true,
	})
}

// serveOne ends one running request and returns the name of the waiter that was granted.
func serveOne(o *Owner, now time.Time, running Sequence, ws map[string]*waiter) string {
	o.release(now, ReleaseBatch{Entry: testEntry, Releases: []Release{{Endpoint: "e0", Sequence: running}}})
	for name, w := range ws {
		select {
		case r := <-w.done:
			if r.Decision == Granted {
				delete(ws, name)
				return name
			}
		default:
		}
	}
	return ""
}

// Guards against an account that sends far more than the others and delays them. In the
// order of arrival all others would wait behind its requests.
func TestSurgingAccountWaitsBehindOthers(t *testing.T) {
	o, now := fullOwner(t, 4, Config{})
	ws := make(map[string]*waiter)
	for i := range 8 {
		_, w := enqueue(o, now, Sequence(100+i), "surging", 0)
		ws[fmt.Sprintf("surging-%d", i)] = w
	}
	_, ws["other"] = enqueue(o, now, 200, "other", 0)
	first := serveOne(o, now, 5, ws)
	second := serveOne(o, now, 6, ws)
	assert.Assert(t, first == "other" || second == "other", "%s, then %s", first, second)
}

func TestPriorityGoesFirstWithinAnAccount(t *testing.T) {
	o, now := fullOwner(t, 2, Config{})
	ws := make(map[string]*waiter)
	_, ws["plain"] = enqueue(o, now, 100, "a", 0)
	_, ws["urgent"] = o.submit(now, AdmitRequest{
		Entry: testEntry, Sequence: 101, Endpoint: "e0", Account: "a", Priority: 1, Final: true,
	})
	assert.Equal(t, serveOne(o, now, 3, ws), "urgent")
	assert.Equal(t, serveOne(o, now, 4, ws), "plain")
}

// Guards against keeping a request until its deadline when it cannot start before. A
// caller that is refused at once can still go elsewhere.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	o, now := fullOwner(t, 4, Config{})
	r, w := enqueue(o, now, 100, "a", 100)
	assert.Assert(t, w == nil)
	assert.Equal(t, r.Decision, Refused)
	assert.Equal(t, r.Code, Deadline)
	assert.Assert(t, r.RetryAfter >= 100 && r.RetryAfter <= 1000, "retry after %d ms", r.RetryAfter)
	_, w = enqueue(o, now, 101, "a", 1000)
	assert.Assert(t, w != nil)
}

// Guards against waiting requests that are refused only at their deadlines after the
// engine has stopped ending requests.
func TestStalledEndpointRefusesWaitersEarly(t *testing.T) {
	o, now := fullOwner(t, 4, Config{})
	_, w := enqueue(o, now, 100, "a", 5000)
	assert.Assert(t, w != nil)
	o.tick(now.Add(4100 * time.Millisecond))
	r := <-w.done
	assert.Equal(t, r.Code, Deadline)
}

func TestFullQueueDropsTheLongestAccount(t *testing.T) {
	o, now := fullOwner(t, 4, Config{QueueLimit: 4})
	var last *waiter
	for i := range 4 {
		_, last = enqueue(o, now, Sequence(100+i), "surging", 0)
	}
	_, w := enqueue(o, now, 200, "other", 0)
	assert.Assert(t, w != nil)
	r := <-last.done
	assert.Equal(t, r.Code, Overloaded)
	assert.Assert(t, r.RetryAfter > 0)
}

func TestAccountQueueIsBounded(t *testing.T) {
	o, now := fullOwner(t, 4, Config{AccountQueueLimit: 2})
	for i := range 2 {
		_, w := enqueue(o, now, Sequence(100+i), "a", 0)
		assert.Assert(t, w != nil)
	}
	r, _ := enqueue(o, now, 102, "a", 0)
	assert.Equal(t, r.Code, Overloaded)
}

// Guards against a cancelled request that keeps its place in the queue or is granted
// after its caller has gone.
func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := testEndpoints(1)
		es[0].Capacity = 1
		o := NewOwner("r0", Config{})
		o.Update(NewSet(es), NewRouters(testRouters(1), 0))
		time.Sleep(2 * time.Second)
		o.Admit(t.Context(), AdmitRequest{Entry: testEntry, Sequence: 1, Endpoint: "e0"})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		r := o.Admit(ctx, AdmitRequest{Entry: testEntry, Sequence: 2, Endpoint: "e0", Final: true})
		assert.Equal(t, r.Code, Cancelled)
		assert.Equal(t, o.shard("e0").loads["e0"].queue.size, 0)
	})
}

func TestWarmRequestIsHeldBackForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := testEndpoints(1)
		es[0].Capacity = 1
		o := NewOwner("r0", Config{})
		o.Update(NewSet(es), NewRouters(testRouters(1), 0))
		time.Sleep(2 * time.Second)
		o.Admit(t.Context(), AdmitRequest{Entry: testEntry, Sequence: 1, Endpoint: "e0"})
		start := time.Now()
		r := o.Admit(t.Context(), AdmitRequest{Entry: testEntry, Sequence: 2, Endpoint: "e0", Wait: 40})
		assert.Equal(t, r.Decision, Next)
		assert.Equal(t, time.Since(start), 40*time.Millisecond)
	})
}

// Guards against suspects of crashing endpoints that run side by side. If the endpoint
// died, the cause could not be assigned to one of them.
func TestSuspectsRunAlone(t *testing.T) {
	o, now := newTestOwner(t, testEndpoints(1), Config{})
	alone := AdmitRequest{Entry: testEntry, Sequence: 1, Endpoint: "e0", Isolated: true}
	r, _ := o.submit(now, alone)
	assert.Equal(t, r.Decision, Granted)
	alone.Sequence = 2
	r, _ = o.submit(now, alone)
	assert.DeepEqual(t, r, AdmitReply{Decision: Next, Code: Full})
	assert.Equal(t, admit(o, now, 3, "e0").Decision, Granted)
}

func TestMessageRoundTrip(t *testing.T) {
	m := AdmitRequest{
		Entry: testEntry, Sequence: 9, Endpoint: "e0", Incarnation: 4, Account: "a", Priority: 2,
		Deadline: 50, Wait: 25, Final: true, Isolated: true, Releases: []Release{{Endpoint: "e1", Sequence: 3}},
	}
	got, err := DecodeAdmitRequest(m.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	reg := Register{Entry: testEntry, UpTo: 7, Held: []HeldGrants{{
		Endpoint: "e0", Incarnation: 1, Grants: []HeldGrant{{Sequence: 3, Age: 5, Flags: HeldIsolated}},
	}}}
	gotReg, err := DecodeRegister(reg.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, gotReg, reg)
	_, err = DecodeAdmitReply([]byte{0xff})
	assert.Assert(t, err != nil)
}

// Guards against flows of idle accounts that accumulate. A pool stays overloaded for hours
// while requests of new accounts arrive, and each grant would take longer than the last.
func TestQueueForgetsAccountsUnderLastingOverload(t *testing.T) {
	var q fairQueue
	q.push(&waiter{req: AdmitRequest{Account: "patient"}, order: 1}, 1e-9)
	for i := range 10_000 {
		w := &waiter{req: AdmitRequest{Account: coordination.Account(fmt.Sprint(i))}, order: uint64(i + 2)}
		q.push(w, 1)
		q.serve(w)
		assert.Assert(t, len(q.flows) <= q.size+maxIdleFlows, "%d flows", len(q.flows))
	}
}
