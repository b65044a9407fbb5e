package origin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/synctest"
)

// viewReplies replies to questions about versions with the view of the router asked, and not
// at all for routers without one.
type viewReplies map[coordination.Instance]View

func (r viewReplies) Call(ctx context.Context, to coordination.Instance, _ string, _ []byte) ([]byte, error) {
	if v, ok := r[to]; ok {
		return encode(v), nil
	}
	<-ctx.Done()
	return nil, errors.New("no reply")
}

// Guards against routers that are cut off together, and vouch for each other's view.
func TestWitnessNeedsStoreOrAllRecentRouters(t *testing.T) {
	stale, other, confirmed := View{Single: true, Version: "v1"}, View{Single: true, Version: "v2"}, View{Single: true, Version: "v1", Confirmed: true}
	for _, tc := range []struct {
		name    string
		routers int // that were members lately
		replies viewReplies
		single  bool
	}{
		{"one replies, others are silent", 6, viewReplies{"r1": stale, "r2": stale}, false},
		{"one is silent", 4, viewReplies{"r1": stale, "r2": stale}, false},
		{"all reply", 4, viewReplies{"r1": stale, "r2": stale, "r3": stale}, true},
		{"one reaches the store", 4, viewReplies{"r1": confirmed}, true},
		{"one knows another version", 4, viewReplies{"r1": stale, "r2": other, "r3": stale}, false},
		{"one knows several", 4, viewReplies{"r1": stale, "r2": {}, "r3": stale}, false},
		{"no other router is known", 1, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var routers []placement.Router
				for n := range tc.routers {
					routers = append(routers, placement.Router{ID: coordination.Instance(fmt.Sprint("r", n)), Zone: coordination.Zone(fmt.Sprint(n % 3))})
				}
				w := NewWitness(WitnessConfig{
					Self: "r0", Transport: tc.replies,
					Recent:   func() []placement.Router { return routers },
					Confirm:  func(context.Context) bool { return false },
					Recently: func() bool { return true },
					View:     func(coordination.Pool) View { return stale },
				})
				start := time.Now()
				got := w.Ask(t.Context(), "model")
				assert.Equal(t, got.Single, tc.single)
				assert.Assert(t, time.Since(start) <= viewTimeout)
			})
		})
	}
}

// Guards against requests that wait, one after the other, for what a router which is cut off
// can't find out.
func TestWitnessRefusesAtOnceWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routers := []placement.Router{{ID: "r0"}, {ID: "r1"}, {ID: "r2"}}
		w := NewWitness(WitnessConfig{
			Self: "r0", Transport: viewReplies{},
			Recent: func() []placement.Router { return routers },
			Confirm: func(ctx context.Context) bool {
				<-ctx.Done()
				return false
			},
			Recently: func() bool { return true },
			View:     func(coordination.Pool) View { return View{Single: true, Version: "v1"} },
		})
		var waited []time.Duration
		var mu sync.Mutex
		var group sync.WaitGroup
		for range 40 {
			group.Go(func() {
				start := time.Now()
				assert.Check(t, !w.Ask(t.Context(), "model").Single)
				mu.Lock()
				defer mu.Unlock()
				waited = append(waited, time.Since(start))
			})
			time.Sleep(50 * time.Millisecond)
		}
		group.Wait()
		assert.Assert(t, slices.Max(waited) <= viewTimeout)
		assert.Assert(t, lo.Sum(waited)/40 <= viewTimeout/2, "%v", waited)
	})
}

// loopback is the Transport between two witnesses.
type loopback map[coordination.Instance]*Witness

func (l loopback) Call(ctx context.Context, to coordination.Instance, _ string, payload []byte) ([]byte, error) {
	type result struct {
		b   []byte
		err error
	}
	replies := make(chan result, 1)
	go func() {
		// The context of the caller does not reach the other router.
		b, err := l[to].HandleView(context.WithoutCancel(ctx), payload)
		replies <- result{b, err}
	}()
	select {
	case r := <-replies:
		return r.b, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a router that takes others for silent, and holds a request for long, as a slow
// store makes all of them wait.
func TestWitnessRepliesWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routers := []placement.Router{{ID: "r0"}, {ID: "r1"}, {ID: "r2"}}
		all := make(loopback)
		for _, r := range routers {
			all[r.ID] = NewWitness(WitnessConfig{
				Self: r.ID, Transport: all,
				Recent: func() []placement.Router { return routers },
				// A confirmation waits for another one that has begun, and both fail.
				Confirm: func(ctx context.Context) bool {
					coordination.Sleep(ctx, 800*time.Millisecond)
					return false
				},
				Recently: func() bool { return true },
				View:     func(coordination.Pool) View { return View{Single: true, Version: "v1"} },
			})
		}
		start := time.Now()
		got := all["r0"].Ask(t.Context(), "model")
		assert.Equal(t, got.Silent, 0)
		assert.Assert(t, got.Single)
		assert.Assert(t, time.Since(start) <= 2*viewTimeout, "%v", time.Since(start))
	})
}
