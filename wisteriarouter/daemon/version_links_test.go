package daemon

import (
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/route"
)

func linkedRoute(prefix string, pools ...coordination.Pool) route.Route {
	return route.Route{Host: "h", Prefix: prefix, Kind: route.Stream, Resumable: true, Shares: lo.Map(pools, func(p coordination.Pool, _ int) route.Share {
		return route.Share{Pool: p, Weight: 1}
	})}
}

// Guards against a pool whose streams may have begun in another one, and that counts as one of
// a single version, and against pools that count as linked for ever or without a reason.
func TestPoolLinksOfChangedRoutes(t *testing.T) {
	table := func(routes ...route.Route) *route.Table { return route.NewTable(route.State{Routes: routes}) }
	plain := linkedRoute("/", "b")
	plain.Resumable = false
	for _, tc := range []struct {
		name            string
		former, current *route.Table
		now, later      []coordination.Pool // linked to a
	}{
		{"first table", nil, table(linkedRoute("/", "a")), nil, nil},
		{"divided", nil, table(linkedRoute("/", "a", "b")), []coordination.Pool{"b"}, []coordination.Pool{"b"}},
		{"unchanged", table(linkedRoute("/", "b"), linkedRoute("/x/", "a")), table(linkedRoute("/", "b"), linkedRoute("/x/", "a")), nil, nil},
		{"moved to", table(linkedRoute("/", "b")), table(linkedRoute("/", "a")), []coordination.Pool{"b"}, nil},
		{"moved from", table(linkedRoute("/", "a")), table(linkedRoute("/", "b")), []coordination.Pool{"b"}, nil},
		{"part given away", table(linkedRoute("/", "a")), table(linkedRoute("/", "a"), linkedRoute("/x/", "b")), []coordination.Pool{"b"}, nil},
		{"part taken", table(linkedRoute("/", "a"), linkedRoute("/x/", "b")), table(linkedRoute("/", "a")), []coordination.Pool{"b"}, nil},
		{"no longer divided", table(linkedRoute("/", "a", "b")), table(linkedRoute("/", "a")), []coordination.Pool{"b"}, nil},
		{"not resumable", table(plain), table(linkedRoute("/", "a")), nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, start := make(poolLinks), time.Now()
			if tc.former != nil {
				l.update(start, nil, tc.former)
			}
			l.update(start, tc.former, tc.current)
			assert.DeepEqual(t, linkedPools(l, start, "a"), tc.now)
			l.update(start, tc.current, tc.current)
			assert.DeepEqual(t, linkedPools(l, start, "a"), tc.now)
			assert.DeepEqual(t, linkedPools(l, start.Add(maxStreamAge+1), "a"), tc.later)
		})
	}
}

func linkedPools(l poolLinks, now time.Time, pool coordination.Pool) []coordination.Pool {
	all := lo.Keys(l.recent(now, pool))
	slices.Sort(all)
	if len(all) == 0 {
		return nil
	}
	return all
}
