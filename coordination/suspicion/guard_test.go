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

// gates carries messages between guards at once.
type gates map[coordination.Instance]*Guard

// Call implements Transport.
func (g gates) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	return g[to].HandleGate(ctx, payload)
}

// Spread implements Spreader. Rumours reach nobody.
func (g gates) Spread(string, []byte) {}

// gateAt places all fingerprints on one router.
type gateAt coordination.Instance

// Place implements Placer.
func (g gateAt) Place(uint64) coordination.Instance { return coordination.Instance(g) }

// add adds a router whose gate for all fingerprints is at.
func (g gates) add(id, at coordination.Instance) *Guard {
	guard := NewGuard(id, 1, NewGate(NewTable(Config{})), g, g)
	guard.placer.Store(placerBox{gateAt(at)})
	g[id] = guard
	return guard
}

// A copy that runs on the router of its gate, begun before anybody knew of a
// crash, goes unnoticed by the gate, which lets another copy start beside it.
func TestGateCountsCopiesOfItsOwnRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		gate, other := all.add("gate", "gate"), all.add("other", "gate")
		own, _ := gate.Begin(t.Context(), 1, "m")
		f, _ := other.Begin(t.Context(), 1, "m")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		refusal, ok := f.EndpointCrashed(ctx, "m", "e1", 1)
		assert.Assert(t, !ok, "a second copy starts while the first one runs")
		assert.Assert(t, !refusal.Poison)
		own.Finished(t.Context())
	})
}

// A rumour of a crash that comes between the look at what is known and the entry
// into the runs finds no copy to claim, so that the gate lets another one start
// beside it.
func TestRecordDuringBeginIsNotMissed(t *testing.T) {
	all := make(gates)
	entry := all.add("entry", "entry")
	entry.table.mu.Lock() // Begin cannot look at what is known
	var begun sync.WaitGroup
	begun.Go(func() { _, _ = entry.Begin(t.Context(), 1, "m") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		if len(entry.tracked[1]) == 0 {
			return poll.Continue("a rumour would find no copy to claim")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	entry.table.mu.Unlock()
	begun.Wait()
}

// A rumour claims a copy that is still looking for an endpoint. Taken for let run,
// the copies sent behind the first crash run beside each other and each takes one.
func TestClaimedCopyHasToAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		gate, other := all.add("gate", "gate"), all.add("other", "gate")
		f, _ := other.Begin(t.Context(), 1, "m")
		now := time.Now()
		r, _ := gate.table.addCrash(now, 1, Crash{Endpoint: "e1", Incarnation: 1, At: unixMillis(now)})
		_, err := other.HandleRecord(t.Context(), r.Encode())
		assert.NilError(t, err)
		assert.Assert(t, f.registered, "the gate does not know of it")
		assert.Assert(t, !f.Admitted(), "it takes itself for let run")
		ctx, cancel := context.WithTimeout(t.Context(), gate.gate.cfg.Hold/2)
		defer cancel()
		refusal, ok := f.EndpointFoundDead(ctx, "m", "e1")
		assert.Assert(t, !ok, "it starts before all routers have heard of the crash")
		assert.Assert(t, !refusal.Poison)
		f.Abandoned(t.Context())
	})
}
