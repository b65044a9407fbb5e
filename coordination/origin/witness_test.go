package origin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

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
