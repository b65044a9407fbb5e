package suspicion

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// gates delivers messages between guards without delay.
type gates map[coordination.Instance]*Guard

// Call implements Transport.
func (g gates) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	return g[to].HandleGate(ctx, payload)
}

// Spread implements Spreader. Messages are discarded.
func (g gates) Spread(string, []byte) {}

// gateAt assigns all fingerprints to one router.
type gateAt coordination.Instance

// OwnerOfHash implements GateLocator.
func (g gateAt) OwnerOfHash(uint64) coordination.Instance { return coordination.Instance(g) }

// add adds a router for which the gate of all fingerprints is at.
func (g gates) add(id, at coordination.Instance) *Guard {
	guard := NewGuard(id, 1, NewGate(NewTable(Config{})), g, g)
	guard.locator.Store(locatorBox{gateAt(at)})
	g[id] = guard
	return guard
}

// Guards against a gate that admits a second copy beside one that runs on its
// own router and was started before any crash was known.
func TestGateCountsCopiesOfItsOwnRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		gate, other := all.add("gate", "gate"), all.add("other", "gate")
		own, _ := gate.Begin(t.Context(), 1, "m")
		f, _ := other.Begin(t.Context(), 1, "m")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		refusal, ok := f.EndpointCrashed(ctx, Loss{Pool: "m", Endpoint: "e1", Incarnation: 1})
		assert.Assert(t, !ok, "a second copy starts while the first one runs")
		assert.Assert(t, !refusal.Poison)
		own.Finished(t.Context())
	})
}

// Guards against a missed claim: a record that arrives after a new request was
// checked but before it is tracked finds no copy to claim, and the gate admits
// another copy beside it.
func TestRecordDuringBeginIsNotMissed(t *testing.T) {
	all := make(gates)
	entry := all.add("entry", "entry")
	entry.table.mu.Lock() // blocks the check in Begin
	var begun sync.WaitGroup
	begun.Go(func() { _, _ = entry.Begin(t.Context(), 1, "m") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		if len(entry.tracked[1]) == 0 {
			return poll.Continue("a record would find no copy to claim")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	entry.table.mu.Unlock()
	begun.Wait()
}

// Guards against a claim that passes for an admission. A received record claims
// a copy that is still being placed. If that counted as admitted, the copies
// sent after the first crash would run concurrently and each crash an endpoint.
func TestClaimedCopyHasToAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		gate, other := all.add("gate", "gate"), all.add("other", "gate")
		f, _ := other.Begin(t.Context(), 1, "m")
		now := time.Now()
		r, _ := gate.table.addCrash(now, 1, Crash{Endpoint: "e1", Incarnation: 1, At: unixMillis(now)})
		_, err := other.HandleRecord(t.Context(), r.Encode())
		assert.NilError(t, err)
		assert.Assert(t, f.registered, "the request is not registered")
		assert.Assert(t, !f.Admitted(), "the claim counts as an admission")
		ctx, cancel := context.WithTimeout(t.Context(), gate.gate.cfg.Hold/2)
		defer cancel()
		refusal, ok := f.EndpointFoundDead(ctx, "m", "e1")
		assert.Assert(t, !ok, "it starts before all routers have the record of the crash")
		assert.Assert(t, !refusal.Poison)
		f.Abandoned(t.Context())
	})
}

// Guards against a gate that admits copies of a suspect beside each other because it lacks
// the record of the router that asks, as one that has just become the gate may.
func TestGateLearnsOfCrashFromRouterThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		all.add("gate", "gate")
		other := all.add("other", "gate")
		now := time.Now()
		other.table.addCrash(now, 1, Crash{Endpoint: "e1", Incarnation: 1, At: unixMillis(now)})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		first, _ := other.Begin(ctx, 1, "m")
		assert.Assert(t, first != nil)
		second, refusal := other.Begin(ctx, 1, "m")
		assert.Assert(t, second == nil, "a second copy runs beside the first one")
		assert.Assert(t, !refusal.Poison)
		first.Finished(t.Context())
	})
}

// Guards against copies of a suspect that wait for each other, since a change of the list of
// routers has claimed them as running.
func TestWaitingCopiesAreNotClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		g.table.addCrash(time.Now(), 1, Crash{Endpoint: "e1", Incarnation: 1, At: unixMillis(time.Now())})
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r, refusal := g.Begin(ctx, 1, "m")
				if assert.Check(t, r != nil, "%+v", refusal) {
					time.Sleep(100 * time.Millisecond)
					r.Finished(t.Context())
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.Update(t.Context(), gateAt("r"))
		wg.Wait()
	})
}

// lateClaims delivers claims late, so that later messages overtake them.
type lateClaims struct{ gates }

// Call implements Transport.
func (l lateClaims) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	if m, err := DecodeGateRequest(payload); err == nil && m.Step == Claim {
		time.Sleep(50 * time.Millisecond)
	}
	return l.gates.Call(ctx, to, topic, payload)
}

// Guards against copies of a popular request that all met the end of one endpoint and then
// wait for each other, since claims made as the others reported it arrive after their own
// reports.
func TestClaimsOvertakenByCrashesAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		all.add("gate", "gate")
		other := NewGuard("other", 1, NewGate(NewTable(Config{})), lateClaims{all}, all)
		other.locator.Store(locatorBox{gateAt("gate")})
		var copies []*TrackedRequest
		for range 2 {
			r, _ := other.Begin(t.Context(), 1, "m")
			copies = append(copies, r)
		}
		record := Record{Fingerprint: 1, Crashes: []Crash{{Endpoint: "e0", Incarnation: 1, At: unixMillis(time.Now())}}, Expires: unixMillis(time.Now().Add(time.Minute))}
		all["gate"].merge(t.Context(), record)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = other.HandleRecord(t.Context(), record.Encode()) })
		time.Sleep(10 * time.Millisecond) // the first claim is under way
		for _, r := range copies {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				refusal, ok := r.EndpointCrashed(ctx, Loss{Pool: "m", Endpoint: "e0", Incarnation: 1})
				assert.Check(t, ok, "%+v", refusal)
				time.Sleep(100 * time.Millisecond)
				r.Finished(t.Context())
			})
		}
		wg.Wait()
	})
}
