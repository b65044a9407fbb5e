package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

const (
	// keeperCount is the number of routers that are told of a stream, besides the one
	// that forwards it. They are in different availability zones, so that the loss of
	// a zone with the forwarding router leaves one.
	keeperCount = 2
	// askedCount is the number of routers that are asked for a stream. Lists of routers
	// differ for a while when routers come and go, and the forwarding router is not
	// among the keepers that it chose.
	askedCount = 6
)

// ranked is a router with its rank for a stream.
type ranked struct {
	router placement.Router
	hash   uint64
	turn   int // how many routers of the same availability zone come before
}

// order returns the routers in the order in which they keep a stream, by rendezvous
// hashing: the first of each availability zone, then the second of each, and so on. All
// routers that have the same list return the same order.
func order(attempt coordination.Attempt, routers []placement.Router) []placement.Router {
	all := make([]ranked, len(routers))
	for i, r := range routers {
		all[i] = ranked{router: r, hash: xxhash.Sum64String(string(attempt) + "\x00" + string(r.ID))}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	seen := make(map[coordination.Zone]int)
	for i := range all {
		all[i].turn = seen[all[i].router.Zone]
		seen[all[i].router.Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	return lo.Map(all, func(r ranked, _ int) placement.Router { return r.router })
}

// keepersOf returns the routers that are told of a stream by one that knows it.
func keepersOf(attempt coordination.Attempt, routers []placement.Router, self coordination.Instance) []placement.Router {
	return firstOthers(order(attempt, routers), self, keeperCount)
}

// firstOthers returns the first n routers of a list except self.
func firstOthers(routers []placement.Router, self coordination.Instance, n int) []placement.Router {
	others := lo.Reject(routers, func(r placement.Router, _ int) bool { return r.ID == self })
	return others[:min(n, len(others))]
}
