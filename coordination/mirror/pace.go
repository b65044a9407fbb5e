package mirror

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

const (
	// minWatchers is how many routers watch the store at least. Each change is
	// answered to each watch and each has a price, so that only a few watch and
	// tell the others; one of three that is cut off, or dies, leaves two.
	minWatchers = 3
	// routersPerWatcher is for how many routers there is one that watches. A large desired
	// state goes from it to each of them.
	routersPerWatcher = 64
	// maxWatchers bounds what the store is called at rest, however large the fleet.
	maxWatchers = 8
)

// DefaultWatchers returns the routers that watch the store for the fleet as long as it
// serves them, in different availability zones as far as there are. All routers
// with the same list choose the same.
func DefaultWatchers(members []placement.Router) []coordination.Instance {
	n := (len(members) + routersPerWatcher - 1) / routersPerWatcher
	return placement.NewRouters(members, min(max(n, minWatchers), maxWatchers)).Owners()
}

// fallbackCount is how many routers watch the store if it serves none of those that
// usually do. Another three might be cut off as well, and each such three costs
// a second in which nobody hears of a change; if it serves none of fifteen it
// is away for all.
const fallbackCount = 15

// enoughFallbacks is how many routers have to have told what they had from the
// store before the other stand-ins leave it to them: each watch has its price.
const enoughFallbacks = 2

// StoreReach tells of whom the store serves, as far as a router knows.
type StoreReach struct {
	// Possible reports whether a router is not known to be cut off.
	Possible func(coordination.Instance) bool
	// Confirmed reports whether a router has told lately what it had from the
	// store.
	Confirmed func(coordination.Instance) bool
}

// CurrentWatchers returns the routers that watch the store now, among the members that
// answer.
func CurrentWatchers(members []placement.Router, reach StoreReach) []coordination.Instance {
	return newWatcherCandidates(members).current(reach)
}

// watcherCandidates tells who watches the store among the same members. To work it out takes a
// while in a large fleet, and it is asked for several times a second.
type watcherCandidates struct {
	members   []placement.Router
	defaults  []coordination.Instance        // if the store serves them
	fallbacks func() []coordination.Instance // if it serves none of these; worked out when asked for
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

// current returns those that watch the store now.
func (r *watcherCandidates) current(reach StoreReach) []coordination.Instance {
	if lo.SomeBy(r.defaults, reach.Possible) {
		return DefaultWatchers(lo.Filter(r.members, func(m placement.Router, _ int) bool { return reach.Possible(m.ID) }))
	}
	fallbacks := lo.Filter(r.fallbacks(), func(id coordination.Instance, _ int) bool { return reach.Possible(id) })
	if confirmed := lo.Filter(fallbacks, func(id coordination.Instance, _ int) bool { return reach.Confirmed(id) }); len(confirmed) >= enoughFallbacks {
		return confirmed[:min(len(confirmed), minWatchers)]
	}
	if len(fallbacks) > 0 {
		return fallbacks
	}
	return r.defaults
}

// waitPerMember is how much longer a router waits at another one for each
// member of the fleet. The few that watch are asked by all others: at 330
// routers and five of them this makes 17 calls a second each.
const (
	waitPerMember = 12 * time.Millisecond
	minPeerWait   = time.Second
	// maxUnconfirmedWaits is how many waits a router goes without a confirmation of the
	// store through others before it asks the store itself. A watch confirms
	// when it ends, after two seconds, and the word takes up to two waits.
	maxUnconfirmedWaits = 4
)

// PeerWait returns for how long a router of a fleet of this size waits at
// another one for a change.
func PeerWait(members int) time.Duration {
	return max(minPeerWait, time.Duration(members)*waitPerMember)
}

// NeedsStore reports whether a router of a fleet of this size has to ask the
// store itself: it is one of those that watch, or what it holds has not been
// confirmed for too long.
func NeedsStore(self coordination.Instance, watchers []coordination.Instance, members int, age time.Duration) bool {
	return slices.Contains(watchers, self) || age > maxUnconfirmedWaits*PeerWait(members)+minPeerWait
}

// A watch of the store may hear nothing although there are changes, and an
// answer that never comes looks like a quiet store: a revoked key stays good.
// Only a new watch, or a list, brings the change. Each watch is a call that has
// a price, so the routers that watch take turns: with their waits spread over
// time, some router begins a new watch every watchInterval, and the others hear
// from it. The longest silence is then about three times that, well within the
// two seconds in which a change has to be in force.
const (
	watchInterval = 600 * time.Millisecond
	minWatchWait  = 1850 * time.Millisecond
	maxWatchWait  = 25 * time.Second // the store allows 30 s
	// recoveryWatchWait is the wait of the first watch after the store was lost. It
	// ends soon, so that everybody knows at once that the store is back.
	recoveryWatchWait = 50 * time.Millisecond
)

// WatchWait returns for how long one of so many routers that watch the store
// lets its next watch wait; lost says that its last one failed. It is spread by an
// eighth to both sides, lest they fall into step.
func WatchWait(watchers int, lost bool) time.Duration {
	if lost {
		return recoveryWatchWait
	}
	d := time.Duration(watchers) * watchInterval
	d = min(max(d, minWatchWait), maxWatchWait)
	return d - d/8 + rand.N(d/4)
}
