package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// DefaultOwnerLimit is the default number of routers that own endpoints. Every
// entry keeps a connection to every owner, so that the number must not grow
// with the fleet. docs/ROUTING.md derives it from the bytes that an admission
// costs its owner.
const DefaultOwnerLimit = 150

// Router describes a live router.
type Router struct {
	ID          coordination.Instance
	Incarnation coordination.Incarnation
	Zone        coordination.Zone
}

// Routers is an immutable snapshot of the live routers and of those that own
// endpoints. Snapshots of the same members select the same owners.
type Routers struct {
	members map[coordination.Instance]Router
	owners  []ownerRouter
	zones   map[coordination.Zone][]ownerRouter
}

type ownerRouter struct {
	id   coordination.Instance
	hash uint64
}

// NewRouters returns a snapshot of members, of which at most limit own
// endpoints; zero means [DefaultOwnerLimit]. Owners are spread evenly over the
// zones and are those whose IDs have the lowest hashes, so that a router that
// joins or leaves changes at most one owner.
func NewRouters(members []Router, limit int) *Routers {
	if limit <= 0 {
		limit = DefaultOwnerLimit
	}
	r := &Routers{
		members: lo.KeyBy(members, func(m Router) coordination.Instance { return m.ID }),
		zones:   make(map[coordination.Zone][]ownerRouter),
	}
	for _, m := range r.members {
		o := ownerRouter{id: m.ID, hash: xxhash.Sum64String(string(m.ID))}
		r.zones[m.Zone] = append(r.zones[m.Zone], o)
	}
	r.limitOwners(limit)
	return r
}

// limitOwners keeps at most limit owners, an equal number in each zone that has
// enough routers.
func (r *Routers) limitOwners(limit int) {
	names := lo.Keys(r.zones)
	slices.SortFunc(names, func(a, b coordination.Zone) int {
		byLen := cmp.Compare(len(r.zones[a]), len(r.zones[b]))
		return cmp.Or(byLen, strings.Compare(string(a), string(b)))
	})
	for i, name := range names {
		z := r.zones[name]
		slices.SortFunc(z, func(a, b ownerRouter) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(string(a.id), string(b.id)))
		})
		share := (limit + len(names) - i - 1) / (len(names) - i)
		z = z[:min(len(z), share)]
		limit -= len(z)
		r.zones[name] = z
		r.owners = append(r.owners, z...)
	}
	slices.SortFunc(r.owners, func(a, b ownerRouter) int {
		return strings.Compare(string(a.id), string(b.id))
	})
}

// Len returns the number of live routers.
func (r *Routers) Len() int { return len(r.members) }

// Owners returns the routers that own endpoints, sorted by ID.
func (r *Routers) Owners() []coordination.Instance {
	return lo.Map(r.owners, func(o ownerRouter, _ int) coordination.Instance { return o.id })
}

// Find returns a live router by ID.
func (r *Routers) Find(id coordination.Instance) (Router, bool) {
	m, ok := r.members[id]
	return m, ok
}

// Owner returns the router that owns an endpoint, preferring the endpoint's
// zone. It returns the empty instance if there are no routers.
func (r *Routers) Owner(id coordination.Endpoint, zone coordination.Zone) coordination.Instance {
	among := r.zones[zone]
	if len(among) == 0 {
		among = r.owners
	}
	return highestHash(among, xxhash.Sum64String(string(id)))
}

// Root returns the router that aggregates the load of a pool. Routers for which
// skip returns true are not considered. It returns the empty instance if none is
// left.
func (r *Routers) Root(name coordination.Pool, skip func(coordination.Instance) bool) coordination.Instance {
	among := lo.Reject(r.owners, func(o ownerRouter, _ int) bool { return skip(o.id) })
	return highestHash(among, xxhash.Sum64String(string(name)))
}

// OwnerOfHash returns the owner for a hash, such as a content fingerprint. All
// routers with the same members select the same owner.
func (r *Routers) OwnerOfHash(hash uint64) coordination.Instance {
	return highestHash(r.owners, hash)
}

func highestHash(among []ownerRouter, hash uint64) coordination.Instance {
	var best coordination.Instance
	var high uint64
	for _, o := range among {
		if h := mix(o.hash, hash); best == "" || h > high {
			best, high = o.id, h
		}
	}
	return best
}
