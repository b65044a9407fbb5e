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
	// leastWatchers is how many routers watch the store at least. Each change is
	// answered to each watch and each has a price, so that only a few watch and
	// tell the others; one of three that is cut off, or dies, leaves two.
	leastWatchers = 3
	// perWatcher is for how many routers there is one that watches. A large desired
	// state goes from it to each of them.
	perWatcher = 64
	// mostWatchers bounds what the store is called at rest, however large the fleet.
	mostWatchers = 8
)

// Watchers returns the routers that watch the store for the fleet as long as it
// serves them, in different availability zones as far as there are. All routers
// with the same list choose the same.
func Watchers(members []placement.Router) []coordination.Instance {
	n := (len(members) + perWatcher - 1) / perWatcher
	return placement.NewRouters(members, min(max(n, leastWatchers), mostWatchers)).Owners()
}

// standIns is how many routers watch the store if it serves none of those that
// usually do. Another three might be cut off as well, and each such three costs
// a second in which nobody hears of a change; if it serves none of fifteen it
// is away for all.
const standIns = 15

// enoughStandIns is how many routers have to have told what they had from the
// store before the other stand-ins leave it to them: each watch has its price.
const enoughStandIns = 2

// Served tells of whom the store serves, as far as a router knows.
type Served struct {
	// Maybe reports whether a router is not known to be cut off.
	Maybe func(coordination.Instance) bool
	// Surely reports whether a router has told lately what it had from the
	// store.
	Surely func(coordination.Instance) bool
}

// Watching returns the routers that watch the store now, among the members that
// answer.
func Watching(members []placement.Router, served Served) []coordination.Instance {
	return rank(members).watching(served)
}

// ranks tells who watches the store among the same members. To work it out takes a
// while in a large fleet, and it is asked for several times a second.
type ranks struct {
	members  []placement.Router
	usual    []coordination.Instance        // if the store serves them
	standIns func() []coordination.Instance // if it serves none of these; worked out when asked for
}

func rank(members []placement.Router) *ranks {
	return &ranks{
		members: members,
		usual:   Watchers(members),
		standIns: sync.OnceValue(func() []coordination.Instance {
			return placement.NewRouters(members, standIns).Owners()
		}),
	}
}

// watching returns those that watch the store now.
func (r *ranks) watching(served Served) []coordination.Instance {
	if lo.SomeBy(r.usual, served.Maybe) {
		return Watchers(lo.Filter(r.members, func(m placement.Router, _ int) bool { return served.Maybe(m.ID) }))
	}
	more := lo.Filter(r.standIns(), func(id coordination.Instance, _ int) bool { return served.Maybe(id) })
	if sure := lo.Filter(more, func(id coordination.Instance, _ int) bool { return served.Surely(id) }); len(sure) >= enoughStandIns {
		return sure[:min(len(sure), leastWatchers)]
	}
	if len(more) > 0 {
		return more
	}
	return r.usual
}

// perMemberWait is how much longer a router waits at another one for each
// member of the fleet. The few that watch are asked by all others: at 330
// routers and five of them this makes 17 calls a second each.
const (
	perMemberWait = 12 * time.Millisecond
	leastPeerWait = time.Second
	// staleWaits is how many waits a router goes without a confirmation of the
	// store through others before it asks the store itself. A watch confirms
	// when it ends, after two seconds, and the word takes up to two waits.
	staleWaits = 4
)

// PeerWait returns for how long a router of a fleet of this size waits at
// another one for a change.
func PeerWait(members int) time.Duration {
	return max(leastPeerWait, time.Duration(members)*perMemberWait)
}

// NeedsStore reports whether a router of a fleet of this size has to ask the
// store itself: it is one of those that watch, or what it holds has not been
// confirmed for too long.
func NeedsStore(self coordination.Instance, watching []coordination.Instance, members int, age time.Duration) bool {
	return slices.Contains(watching, self) || age > staleWaits*PeerWait(members)+leastPeerWait
}

// A watch of the store may hear nothing although there are changes, and an
// answer that never comes looks like a quiet store: a revoked key stays good.
// Only a new watch, or a list, brings the change. Each watch is a call that has
// a price, so the routers that watch take turns: with their waits spread over
// time, some router begins a new watch every watchPace, and the others hear
// from it. The longest silence is then about three times that, well within the
// two seconds in which a change has to be in force.
const (
	watchPace    = 600 * time.Millisecond
	shortestWait = 1850 * time.Millisecond
	longestWatch = 25 * time.Second // the store allows 30 s
	// firstWatch is the wait of the first watch after the store was lost. It
	// ends soon, so that everybody knows at once that the store is back.
	firstWatch = 50 * time.Millisecond
)

// WatchWait returns for how long one of so many routers that watch the store
// lets its next watch wait; lost says that its last one failed. It is spread by an
// eighth to both sides, lest they fall into step.
func WatchWait(watchers int, lost bool) time.Duration {
	if lost {
		return firstWatch
	}
	d := time.Duration(watchers) * watchPace
	d = min(max(d, shortestWait), longestWatch)
	return d - d/8 + rand.N(d/4)
}
