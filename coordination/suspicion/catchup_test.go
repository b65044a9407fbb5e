package suspicion

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

// recordCalls delivers requests for records between guards.
type recordCalls struct{ gates }

// Call implements Transport.
func (c recordCalls) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	if topic == TopicRecords {
		return c.gates[to].HandleRecords(payload)
	}
	return c.gates.Call(ctx, to, topic, payload)
}

// convictAt records two crashes of a request at one router.
func convictAt(t *testing.T, g *Guard, f Fingerprint) {
	t.Helper()
	now := time.Now()
	for _, e := range []coordination.Endpoint{"e1", "e2"} {
		g.table.addCrash(now, f, Crash{Endpoint: e, Incarnation: 1, At: unixMillis(now), Alone: true})
	}
	_, state := g.table.Find(now, f)
	assert.Equal(t, state, Convicted)
}

// Guards against a router that starts and runs a request before it knows that the others
// refuse it.
func TestStartingRouterWaitsForRecordsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		old, fresh := all.add("old", "old"), all.add("fresh", "old")
		fresh.transport = recordCalls{all}
		convictAt(t, old, 1)
		fresh.BeginCatchUp()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, refusal := fresh.Begin(ctx, 1, "m")
		assert.Assert(t, r == nil && !refusal.Poison)
		caughtUp, news, err := fresh.Pull(t.Context(), "old")
		assert.NilError(t, err)
		assert.Assert(t, caughtUp)
		assert.Equal(t, news, 1)
		fresh.EndCatchUp()
		r, refusal = fresh.Begin(t.Context(), 1, "m")
		assert.Assert(t, r == nil && refusal.Poison)
	})
}

// Guards against records that are sent again and again between routers that have the same.
func TestPullOfEqualRecordsIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make(gates)
		old, fresh := all.add("old", "old"), all.add("fresh", "old")
		fresh.transport = recordCalls{all}
		convictAt(t, old, 1)
		for _, want := range []int{1, 0} {
			_, news, err := fresh.Pull(t.Context(), "old")
			assert.NilError(t, err)
			assert.Equal(t, news, want)
		}
		_, digest := fresh.table.live(time.Now())
		b, err := old.HandleRecords(RecordsRequest{Digest: digest}.Encode())
		assert.NilError(t, err)
		var reply RecordsReply
		assert.NilError(t, decode(b, &reply))
		assert.Equal(t, len(reply.Records), 0)
	})
}

// Guards against routers whose clocks differ sending each other all records again and again.
func TestDigestIsEqualDespiteClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		ahead, behind := NewTable(Config{}), NewTable(Config{})
		r, _ := ahead.addCrash(now.Add(2*time.Second), 1, Crash{Endpoint: "e1", Incarnation: 1, At: unixMillis(now.Add(2 * time.Second))})
		assert.Assert(t, behind.Merge(now, r))
		_, x := ahead.live(now)
		_, y := behind.live(now)
		assert.Equal(t, x, y)
		assert.Assert(t, x != 0)
	})
}
