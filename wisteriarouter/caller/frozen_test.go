package caller_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/synctest"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/wisteriarouter/caller"
)

// longStall is a planner with the usual stall timeout of ten seconds.
type longStall struct{}

func (longStall) PlanChat(team coordination.Team, account coordination.Account, model coordination.Model, want coordination.Priority) (caller.Plan, *outcome.Refusal) {
	plan, refusal := oneTeam{}.PlanChat(team, account, model, want)
	plan.StallTimeout = 10 * time.Second
	return plan, refusal
}

// An engine freezes in the middle of an answer and keeps its connections open.
// If the router waited for the whole stall timeout, and again for each try to
// resume, the answer would pause for half a minute.
func TestFrozenEngineIsAbandonedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, func(s *caller.Server) { s.Planner = longStall{} })
		begun := time.Now()
		result := make(chan received, 1)
		go asker{f, result}.run(t.Context())
		time.Sleep(100 * time.Millisecond)
		f.engines["e1"].SetFaults(standin.Faults{FreezeMillis: 60000})
		h := <-result
		assert.Equal(t, h.problem(1), "")
		assert.Assert(t, time.Since(begun) < 4*time.Second, "the answer took %v", time.Since(begun))
		f.waitForCancels()
	})
}

// An engine is silent for longer than its usual time between tokens because of
// a long prompt, and reports so when probed. The router must wait: tokens
// generated at another engine would be paid for twice.
func TestBusyEngineIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, func(s *caller.Server) { s.Planner = longStall{} })
		f.engines["e1"].SetFaults(standin.Faults{Slow: 200})
		h := f.ask(t.Context(), 0, 1, received{})
		assert.Equal(t, h.problem(1), "")
		assert.Equal(t, f.engines["e2"].Stats().Arrivals, 0)
		assert.Equal(t, f.engines["e1"].Stats().Resumed, 0)
		f.waitForCancels()
	})
}

// asker sends one chat and passes on the answer.
type asker struct {
	fleet  *fleet
	result chan<- received
}

func (a asker) run(ctx context.Context) { a.result <- a.fleet.ask(ctx, 0, 1, received{}) }
