package daemon

import (
	"slices"
	"sync"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/peer"
)

// fleet holds the list of reachable routers in the forms that placement needs.
// They are computed once for each change of the fleet, because their size
// grows with the fleet and every call to another router reads them.
type fleet struct {
	detector *peer.FailureDetector
	ownerCap int

	mu           sync.Mutex
	members      []membership.Member // the members that the fields below are computed from
	all          []placement.Router
	ownerRouters []placement.Router // routers that may own endpoints
	snapshot     *placement.Routers // of ownerRouters
}

func newFleet(i do.Injector) (*fleet, error) {
	return &fleet{detector: do.MustInvoke[*peer.FailureDetector](i), ownerCap: configOf(i).Peers.OwnerCap}, nil
}

// routers returns the routers that this one considers reachable. The caller
// must not modify the slice.
func (f *fleet) routers() []placement.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.all
}

// owners returns the reachable routers that may own endpoints.
func (f *fleet) owners() *placement.Routers {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.snapshot
}

// refresh recomputes the lists if the membership has changed. The caller holds
// f.mu.
func (f *fleet) refresh() {
	members := f.detector.Responsive()
	if f.snapshot != nil && membership.SameList(members, f.members) {
		return
	}
	f.members = members
	all := lo.Map(members, routerOf)
	owning := lo.FilterMap(members, func(m membership.Member, i int) (placement.Router, bool) { return all[i], m.Owner })
	if f.snapshot != nil && slices.Equal(all, f.all) && slices.Equal(owning, f.ownerRouters) {
		return
	}
	f.all, f.ownerRouters, f.snapshot = all, owning, placement.NewRouters(owning, f.ownerCap)
}

// routerOf omits the incarnation: a router that was frozen rejoins with a
// higher one, but the same process still holds its grants.
func routerOf(m membership.Member, _ int) placement.Router {
	return placement.Router{ID: m.Instance, Zone: m.Zone}
}
