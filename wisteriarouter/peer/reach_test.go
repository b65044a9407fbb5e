package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/synctest"
)

// fakeTransport is a Transport with one other router, r2.
type fakeTransport struct {
	mu     sync.Mutex
	dead   bool // refuses connections
	frozen bool // does not answer
	gone   bool // is no longer a member
	calls  int
}

func (f *fakeTransport) set(change func(f *fakeTransport)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTransport) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone {
		return nil
	}
	return []membership.Member{{Instance: "r2", Owner: true}}
}

func (f *fakeTransport) Call(ctx context.Context, to coordination.Instance, topic string, _ []byte) ([]byte, error) {
	f.mu.Lock()
	f.calls++
	dead, frozen := f.dead, f.frozen
	f.mu.Unlock()
	switch {
	case dead:
		return nil, &CallError{Failure: NotConnected, Peer: to, Topic: topic, Err: errors.New("refused")}
	case frozen:
		<-ctx.Done()
		return nil, &CallError{Failure: Lost, Peer: to, Topic: topic, Err: ctx.Err()}
	}
	return nil, nil
}

// Redial does nothing, as there are no connections.
func (f *fakeTransport) Redial(coordination.Instance) {}

// Handle does nothing, as no router probes this one.
func (f *fakeTransport) Handle(string, Handler) {}

// Notify succeeds for a frozen router, which reads the message later.
func (f *fakeTransport) Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error {
	f.mu.Lock()
	dead := f.dead
	f.mu.Unlock()
	if !dead {
		return nil
	}
	_, err := f.Call(ctx, to, topic, payload)
	return err
}

// newTestDetector returns a FailureDetector that is stopped when the test ends.
func newTestDetector(t *testing.T, f *fakeTransport) *FailureDetector {
	r, stop := NewFailureDetector(f, func(coordination.Instance, bool) {})
	t.Cleanup(stop)
	return r
}

// ask makes a call as package placement does.
func ask(r *FailureDetector) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _ = r.Call(ctx, "r2", "place-admit", nil)
}

// A router is killed, or suspended for more than a moment. In the ten seconds until
// the fleet declares it dead, its endpoints would get almost no work, which delays
// first tokens by seconds. It must be considered unresponsive after half a second,
// and responsive again once it answers.
func TestUnresponsiveRouterIsDetected(t *testing.T) {
	for name, fail := range map[string]func(f *fakeTransport){
		"killed": func(f *fakeTransport) { f.dead = true },
		"frozen": func(f *fakeTransport) { f.frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTransport{}
				r := newTestDetector(t, f)
				var changes atomic.Int32
				r.Watch(func() { changes.Add(1) })
				ask(r)
				f.set(fail)
				ask(r)
				assert.Assert(t, !r.Unresponsive("r2"), "unresponsive after one call")
				time.Sleep(2 * unresponsiveAfter)
				assert.Assert(t, r.Unresponsive("r2"))
				time.Sleep(5 * time.Second)
				assert.Equal(t, changes.Load(), int32(1))
				f.set(func(f *fakeTransport) { f.dead, f.frozen = false, false })
				time.Sleep(2 * time.Second)
				assert.Assert(t, !r.Unresponsive("r2"))
				assert.Equal(t, changes.Load(), int32(2))
			})
		})
	}
}

// One call is lost, as on a link that drops packets, or a router pauses for a
// quarter of a second. If the router were considered unresponsive, its endpoints
// would move to other owners and back.
func TestShortSilenceChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{frozen: true}
		r := newTestDetector(t, f)
		r.Watch(func() { t.Error("router considered unresponsive") })
		ask(r)
		time.Sleep(150 * time.Millisecond)
		f.set(func(f *fakeTransport) { f.frozen = false })
		time.Sleep(time.Minute)
		f.set(func(f *fakeTransport) { assert.Assert(t, f.calls < 6, "%d calls: probing went on", f.calls) })
	})
}

// Once the fleet has declared a router dead, probing must stop. Otherwise every
// router that ever died would cause traffic for ever.
func TestProbingStopsForRemovedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{dead: true}
		r := newTestDetector(t, f)
		ask(r)
		time.Sleep(10 * time.Second)
		f.set(func(f *fakeTransport) { f.gone = true })
		time.Sleep(time.Second)
		calls := 0
		f.set(func(f *fakeTransport) { calls = f.calls })
		time.Sleep(time.Minute)
		f.set(func(f *fakeTransport) { assert.Equal(t, f.calls, calls) })
	})
}

// If the list of responsive routers is not recomputed when one stops responding,
// requests wait for that router until it is declared dead.
func TestResponsiveListIsUpdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{}
		r := newTestDetector(t, f)
		assert.Equal(t, len(r.Responsive()), 1)
		f.set(func(f *fakeTransport) { f.dead = true })
		ask(r)
		time.Sleep(unresponsiveAfter + 2*probeInterval)
		assert.Equal(t, len(r.Responsive()), 0)
		f.set(func(f *fakeTransport) { f.dead = false })
		time.Sleep(2 * recoveryProbes * probeInterval)
		assert.Equal(t, len(r.Responsive()), 1)
		f.set(func(f *fakeTransport) { f.gone = true })
		assert.Equal(t, len(r.Responsive()), 0)
	})
}
