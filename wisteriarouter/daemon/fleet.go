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

// fleet tells which routers answer, in the forms that the decisions need. Each
// is made once for a change: they grow with the fleet, and are asked for with
// each call to another router.
type fleet struct {
	reach    *peer.FailureDetector
	ownerCap int

	mu        sync.Mutex
	answering []membership.Member // of which the others are made
	all       []placement.Router
	owning    []placement.Router // those that may own endpoints
	snapshot  *placement.Routers // of owning
}

func newFleet(i do.Injector) (*fleet, error) {
	return &fleet{reach: do.MustInvoke[*peer.FailureDetector](i), ownerCap: settingsOf(i).Peers.OwnerCap}, nil
}

// routers returns the routers that answer, as far as this one knows. The slice
// must not be written to.
func (f *fleet) routers() []placement.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.all
}

// owners returns those of them that may own endpoints.
func (f *fleet) owners() *placement.Routers {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.snapshot
}

// refresh takes in a change. The caller holds f.mu.
func (f *fleet) refresh() {
	members := f.reach.Responsive()
	if f.snapshot != nil && membership.SameList(members, f.answering) {
		return
	}
	f.answering = members
	all := lo.Map(members, routerOf)
	owning := lo.FilterMap(members, func(m membership.Member, i int) (placement.Router, bool) { return all[i], m.Owner })
	if f.snapshot != nil && slices.Equal(all, f.all) && slices.Equal(owning, f.owning) {
		return
	}
	f.all, f.owning, f.snapshot = all, owning, placement.NewRouters(owning, f.ownerCap)
}

// routerOf leaves out the incarnation: a router that was frozen returns with a
// higher one, and its grants are still held by the same process.
func routerOf(m membership.Member, _ int) placement.Router {
	return placement.Router{ID: m.Instance, Zone: m.Zone}
}
