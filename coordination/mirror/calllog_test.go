package mirror_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// serverTransport passes all calls to one server and drops messages.
type serverTransport struct{ server *mirror.Server }

// Call implements mirror.Transport.
func (s serverTransport) Call(ctx context.Context, _ coordination.Instance, _ string, payload []byte) ([]byte, error) {
	return s.server.Handle(ctx, payload)
}

// Notify implements mirror.Transport.
func (s serverTransport) Notify(context.Context, coordination.Instance, string, []byte) error {
	return nil
}

// When a change arrives late, the receiving router alone must show the cause:
// how long another router had known the change, which router sent it, and which
// routers were asked before.
func TestChangesReportDelayAndRecentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, late := mirror.New(), mirror.New()
		first.Apply(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1)}, AsOf: 1})
		late.Apply(first.Since(0))
		var changes []mirror.Changes
		late.Observe(func(n mirror.Changes) { changes = append(changes, n) })
		callLog := new(mirror.CallLog)
		source := mirror.PeerSource{
			Transport: serverTransport{&mirror.Server{Mirrors: map[string]*mirror.Mirror{"": first}}},
			Choose:    func() (coordination.Instance, bool) { return "one", true },
			Wait:      func() time.Duration { return time.Second },
			Timeout:   time.Second,
			CallLog:   callLog,
		}
		_, err := source.Fetch(t.Context(), late.AsOf())
		assert.NilError(t, err)
		first.Apply(mirror.Update{Items: []mirror.Item{put("a", "2", 2)}, AsOf: 2})
		time.Sleep(700 * time.Millisecond)
		first.Apply(mirror.Update{Items: []mirror.Item{put("b", "1", 3)}, AsOf: 3})
		u, err := source.Fetch(t.Context(), late.AsOf())
		assert.NilError(t, err)
		late.Apply(u)

		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].From, coordination.Instance("one"))
		assert.Equal(t, changes[0].Behind, 700*time.Millisecond)
		assert.Equal(t, changes[0].Unconfirmed, 1700*time.Millisecond)
		assert.Equal(t, callLog.String(), "one 1000 nothing, one 0 news")
	})
}

// A change that is passed on late twice counts the delay from the time the
// first router learned of it from the store.
func TestBehindAccumulatesAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirrors := []*mirror.Mirror{mirror.New(), mirror.New(), mirror.New()}
		mirrors[0].Apply(mirror.Update{Items: []mirror.Item{put("a", "1", 1)}, AsOf: 1})
		var behind time.Duration
		mirrors[2].Observe(func(n mirror.Changes) { behind = n.Behind })
		mirrors[0].Apply(mirror.Update{Items: []mirror.Item{put("a", "2", 2)}, AsOf: 2})
		for i := range 2 {
			time.Sleep(400 * time.Millisecond)
			mirrors[i+1].Apply(mirrors[i].Since(1))
		}
		assert.Equal(t, behind, 800*time.Millisecond)
	})
}
