package settings

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

func newMembers(n, zones int) []Member {
	return lo.Times(n, func(i int) Member {
		return Member{Instance: coordination.Instance(fmt.Sprintf("r%d", i)), Zone: coordination.Zone(fmt.Sprintf("z%d", i%zones))}
	})
}

// The number of watchers must not grow with the fleet, because the platform counts
// each open watch as a call.
func TestWatcherCountIsBounded(t *testing.T) {
	for _, tt := range []struct{ routers, zones, want int }{
		{0, 1, 0}, {1, 3, 1}, {3, 3, 3}, {7, 3, 4}, {330, 5, 6}, {2000, 5, 6},
	} {
		members := newMembers(tt.routers, tt.zones)
		chosen := selectWatchers(1, members)
		assert.Equal(t, len(chosen), tt.want, "%d routers", tt.routers)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		assert.DeepEqual(t, selectWatchers(1, members), chosen)
	}
}

// When a watcher leaves, exactly one router must replace it and the other watchers
// must stay, because each new watcher lists all settings.
func TestWatcherSetIsStable(t *testing.T) {
	members := newMembers(330, 5)
	before := selectWatchers(1, members)
	removed := before[2]
	after := selectWatchers(1, lo.Filter(members, func(m Member, _ int) bool { return m.Instance != removed }))
	left, added := lo.Difference(before, after)
	assert.DeepEqual(t, left, []coordination.Instance{removed})
	assert.Equal(t, len(added), 1)
}

func BenchmarkWatchers(b *testing.B) {
	for _, n := range []int{7, 330, 2000} {
		members := newMembers(n, 5)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				selectWatchers(1, members)
			}
		})
	}
}
