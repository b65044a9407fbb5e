package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

const (
	// minWatchers is the minimum number of routers that watch the store. Each
	// change causes a reply to every watch, and each reply is billed, so that
	// only a few routers watch and pass changes on to the others. If one of
	// three is cut off or fails, two remain.
	minWatchers = 3
	// routersPerWatcher is the number of routers for each watcher. A watcher
	// sends a large desired state to each of them.
	routersPerWatcher = 64
	// maxWatchers bounds the calls to an idle store, regardless of the size of
	// the fleet.
	maxWatchers = 8
)

// DefaultWatchers returns the routers that watch the store for the fleet as
// long as it serves them. They are in different availability zones as far as
// possible. All routers that have the same member list choose the same
// watchers.
func DefaultWatchers(members []placement.Router) []coordination.Instance {
	n := (len(members) + routersPerWatcher - 1) / routersPerWatcher
	return placement.NewRouters(members, min(max(n, minWatchers), maxWatchers)).Owners()
}

// fallbackCount is the number of routers that watch the store if it serves none
// of the default watchers. Three fallbacks might be cut off as well, and each
// such group costs a second in which no router learns of a change. A store that
// serves none of so many is considered down for all.
const fallbackCount = 24

// enoughFallbacks is the number of fallbacks that must have sent a revision
// from the store before the other fallbacks stop watching, because each watch
// is billed.
const enoughFallbacks = 2

// StoreReach tells which routers reach the store, as far as the local router
// knows.
type StoreReach struct {
	// Possible reports whether a router is not known to be cut off from the
	// store.
	Possible func(coordination.Instance) bool
	// Confirmed reports whether a router has recently sent a revision that it
	// had from the store.
	Confirmed func(coordination.Instance) bool
}

// CurrentWatchers returns the routers that watch the store now, among the
// members that are alive.
func CurrentWatchers(members []placement.Router, reach StoreReach) []coordination.Instance {
	return newWatcherCandidates(members).current(reach)
}

// watcherCandidates holds the possible watchers for one list of members. It is
// kept because it is needed several times a second and takes a while to compute
// for a large fleet.
type watcherCandidates struct {
	members   []placement.Router
	defaults  []coordination.Instance        // the watchers if the store serves them all
	fallbacks func() []coordination.Instance // the watchers if it serves none of the defaults; computed on first use
}

func newWatcherCandidates(members []placement.Router) *watcherCandidates {
	return &watcherCandidates{
		members:  members,
		defaults: DefaultWatchers(members),
		fallbacks: sync.OnceValue(func() []coordination.Instance {
			return placement.NewRouters(members, fallbackCount).Owners()
		}),
	}
}

// current returns the routers that watch the store now.
func (c *watcherCandidates) current(reach StoreReach) []coordination.Instance {
	if lo.SomeBy(c.defaults, reach.Possible) {
		return DefaultWatchers(lo.Filter(c.members, func(m placement.Router, _ int) bool { return reach.Possible(m.ID) }))
	}
	fallbacks := lo.Filter(c.fallbacks(), func(id coordination.Instance, _ int) bool { return reach.Possible(id) })
	if confirmed := lo.Filter(fallbacks, func(id coordination.Instance, _ int) bool { return reach.Confirmed(id) }); len(confirmed) >= enoughFallbacks {
		return confirmed[:min(len(confirmed), minWatchers)]
	}
	if len(fallbacks) > 0 {
		return fallbacks
	}
	return c.defaults
}

// waitPerMember is how much longer a router waits at another one for each
// member of the fleet. The few watchers are asked by all other routers: with
// 330 routers and five watchers, each watcher gets 17 calls a second.
const (
	waitPerMember = 12 * time.Millisecond
	minPeerWait   = time.Second
	// maxUnconfirmedWaits is the number of waits that a router goes without a
	// confirmation by the store through others before it calls the store
	// itself. A watch confirms when it ends, after two seconds, and the
	// confirmation takes up to two waits to spread.
	maxUnconfirmedWaits = 4
)

// PeerWait returns how long a router of a fleet with so many members waits at
// another router for a change.
func PeerWait(members int) time.Duration {
	return max(minPeerWait, time.Duration(members)*waitPerMember)
}

// NeedsStore reports whether a router has to call the store itself: it is one
// of the watchers, or the store has not confirmed the contents of its mirror
// for too long. age is the time since the last confirmation.
func NeedsStore(self coordination.Instance, watchers []coordination.Instance, members int, age time.Duration) bool {
	return slices.Contains(watchers, self) || age > maxUnconfirmedWaits*PeerWait(members)+minPeerWait
}

// A watch may report nothing although there are changes, and a reply that is
// lost looks like a store without changes: a revoked key stays valid. Only a
// new watch or a list is sure to report the change, as pings may be seconds old.
// Each watch is a call that is billed, so that the watchers take turns: one of
// them begins a new watch every watchInterval, and the other routers get the
// change from it. The longest silence is then about three times watchInterval,
// with two watchers that are dead or whose replies are lost, which is within the
// two seconds in which a change has to be in force.
const (
	watchInterval = 600 * time.Millisecond
	minWatchWait  = 1850 * time.Millisecond
	maxWatchWait  = 25 * time.Second // the store allows 30 s
	// recoveryWatchWait is the wait of the first watch after the store was
	// lost. It is short, so that all routers learn at once that the store has
	// recovered.
	recoveryWatchWait = 50 * time.Millisecond
)

// watchPeriod returns the time between two watches of one of so many watchers.
func watchPeriod(watchers int) time.Duration {
	return min(max(time.Duration(watchers)*watchInterval, minWatchWait), maxWatchWait)
}

// turnWait returns how long the watch waits that begins at the watcher of a
// rank, counted from 0, some time after the latest change. A change ends the
// watches of all watchers at one moment; without turns they would wait and end
// together from then on.
func turnWait(rank, watchers int, sinceChange time.Duration) time.Duration {
	period := watchPeriod(watchers)
	interval := period / time.Duration(watchers)
	wait := (time.Duration(rank+1)*interval - sinceChange) % period
	if wait < interval/4 {
		wait += period
	}
	return wait
}
