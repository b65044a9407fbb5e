package suspicion

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// endUnsettled runs a request whose attempt at e gets no complete response and which ends
// while e seems to be alive.
func endUnsettled(t *testing.T, g *Guard, e coordination.Endpoint) {
	t.Helper()
	r, refusal := g.Begin(t.Context(), 1, "m")
	assert.Assert(t, r != nil, "%+v", refusal)
	r.AttemptUnsettled(Loss{Pool: "m", Endpoint: e, Incarnation: 1})
	r.Abandoned(t.Context())
}

// Guards against a crash that does not count because the endpoint is found dead only after
// the request has ended.
func TestLateDeathsConvictRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		for n, e := range []coordination.Endpoint{"e1", "e2"} {
			endUnsettled(t, g, e)
			time.Sleep(time.Second)
			assert.Equal(t, len(g.EndpointDied(t.Context(), e, 1)), 1)
			_, state := g.table.Find(time.Now(), 1)
			assert.Equal(t, state, []State{Suspect, Convicted}[n])
			time.Sleep(2 * time.Second)
		}
		r, refusal := g.Begin(t.Context(), 1, "m")
		assert.Assert(t, r == nil && refusal.Poison)
		assert.Equal(t, len(g.tracked), 0)
	})
}

// Guards against requests suspected of deaths that they can hardly have caused: of another
// incarnation, long after their attempt, or although they have run to completion.
func TestLateDeathsOfOtherCausesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		endUnsettled(t, g, "e1")
		assert.Equal(t, len(g.EndpointDied(t.Context(), "e1", 2)), 0)
		time.Sleep(g.gate.cfg.EvidenceTime + time.Millisecond)
		assert.Equal(t, len(g.EndpointDied(t.Context(), "e1", 1)), 0)

		r, _ := g.Begin(t.Context(), 1, "m")
		r.AttemptUnsettled(Loss{Pool: "m", Endpoint: "e2", Incarnation: 1})
		r.Finished(t.Context())
		assert.Equal(t, len(g.EndpointDied(t.Context(), "e2", 1)), 0)
		assert.Equal(t, len(g.tracked), 0)

		endUnsettled(t, g, "e3") // a copy has completed shortly before
		assert.Equal(t, len(g.EndpointDied(t.Context(), "e3", 1)), 0)
		assert.Equal(t, len(g.tracked), 0)
	})
}

// Guards against copies of a suspect that each crash an endpoint because the one before
// ended before its endpoint was found dead.
func TestSuspectWaitsForUnsettledCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		endUnsettled(t, g, "e1")
		g.EndpointDied(t.Context(), "e1", 1)
		time.Sleep(g.gate.cfg.Hold)
		endUnsettled(t, g, "e2")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, refusal := g.Begin(ctx, 1, "m")
		assert.Assert(t, r == nil && !refusal.Poison, "a copy runs beside one that may have crashed its endpoint")
		time.Sleep(g.gate.cfg.EvidenceTime)
		r, _ = g.Begin(t.Context(), 1, "m")
		assert.Assert(t, r != nil, "the copy that has ended is still counted as running")
		r.Finished(t.Context())
	})
}

// Guards against an innocent request being refused because it was sent again beside the
// one that crashes endpoints before either was a suspect.
func TestLateCrashesBesideOthersDoNotConvict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		innocent, _ := g.Begin(t.Context(), 1, "m")
		for _, e := range []coordination.Endpoint{"e1", "e2"} {
			innocent.AttemptUnsettled(Loss{Pool: "m", Endpoint: e, Incarnation: 1})
		}
		innocent.Abandoned(t.Context())
		for _, e := range []coordination.Endpoint{"e1", "e2"} {
			g.EndpointDied(t.Context(), e, 1)
		}
		time.Sleep(g.gate.cfg.Hold)
		again, refusal := g.Begin(t.Context(), 1, "m")
		assert.Assert(t, again != nil && again.Alone(), "%+v", refusal)
		again.Finished(t.Context())
		_, state := g.table.Find(time.Now(), 1)
		assert.Equal(t, state, Clear)

		guilty, _ := g.Begin(t.Context(), 2, "m")
		for _, e := range []coordination.Endpoint{"e3", "e4"} {
			guilty.AttemptUnsettled(Loss{Pool: "m", Endpoint: e, Incarnation: 1})
		}
		guilty.Abandoned(t.Context())
		for _, e := range []coordination.Endpoint{"e3", "e4"} {
			g.EndpointDied(t.Context(), e, 1)
		}
		time.Sleep(g.gate.cfg.Hold)
		guilty, _ = g.Begin(t.Context(), 2, "m")
		refusal, ok := guilty.EndpointCrashed(t.Context(), Loss{Pool: "m", Endpoint: "e5", Incarnation: 1})
		assert.Assert(t, !ok && refusal.Poison)
		guilty.Abandoned(t.Context())
	})
}

// Guards against a popular suspect waiting for copies whose callers left and which no death
// of their endpoint would count against.
func TestCopyOfCompletedRequestDoesNotHoldSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := make(gates).add("r", "r")
		first, _ := g.Begin(t.Context(), 1, "m")
		first.Finished(t.Context())
		for _, e := range []coordination.Endpoint{"e1", "e2"} {
			now := time.Now()
			g.table.addCrash(now, 1, Crash{Endpoint: e, Incarnation: 1, At: unixMillis(now), Excused: true})
		}
		time.Sleep(g.gate.cfg.Hold)
		endUnsettled(t, g, "e3")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		next, refusal := g.Begin(ctx, 1, "m")
		assert.Assert(t, next != nil, "%+v", refusal)
		next.Finished(t.Context())
	})
}
