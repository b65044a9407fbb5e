package daemon

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/peer"
)

// recentRouters remembers the routers that were members of the fleet within maxStreamAge. One
// that is not a member any more may run on, cut off from this one. Those that have left as
// planned do not count.
type recentRouters struct {
	node *peer.Node

	mu      sync.Mutex
	members []membership.Member
	gone    map[coordination.Instance]goneRouter
}

// goneRouter is a router that has ceased to be a member without leaving.
type goneRouter struct {
	placement.Router
	at time.Time
}

func newRecentRouters(i do.Injector) (*recentRouters, error) {
	r := &recentRouters{node: do.MustInvoke[*peer.Node](i), gone: make(map[coordination.Instance]goneRouter)}
	r.node.OnChange(r.update)
	return r, nil
}

// update records the members.
func (r *recentRouters) update(members []membership.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, m := range r.members {
		if m.State != membership.Leaving {
			r.gone[m.Instance] = goneRouter{routerOf(m, 0), now}
		}
	}
	for _, m := range members {
		delete(r.gone, m.Instance)
	}
	maps.DeleteFunc(r.gone, func(_ coordination.Instance, g goneRouter) bool { return now.Sub(g.at) > maxStreamAge })
	r.members = members
}

// list returns the routers, ordered by instance.
func (r *recentRouters) list() []placement.Router {
	r.update(r.node.Members())
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []placement.Router
	for _, m := range r.members {
		if m.State != membership.Leaving {
			all = append(all, routerOf(m, 0))
		}
	}
	for _, g := range r.gone {
		all = append(all, g.Router)
	}
	slices.SortFunc(all, func(a, b placement.Router) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
