package mirror

import (
	"math/rand/v2"
	"time"
)

// A watch of the store may hear nothing although there are changes, and an
// answer that never comes looks like a quiet store: a revoked key stays good.
// Only a new watch, or a list, brings the change. Each watch is a call that has
// a price, so the routers that watch take turns: with their waits spread over
// time, some router begins a new watch every watchPace, and the others hear
// from it. The longest silence is then about three times that, well within the
// two seconds in which a change has to be in force.
const (
	watchPace    = 500 * time.Millisecond
	shortestWait = 2 * time.Second
	longestWatch = 25 * time.Second // the store allows 30 s
)

// WatchWait returns for how long one of so many routers that watch the store
// lets its next watch wait. It is spread by a quarter to both sides, lest they
// fall into step.
func WatchWait(watchers int) time.Duration {
	d := time.Duration(watchers) * watchPace
	d = min(max(d, shortestWait), longestWatch)
	return d - d/4 + rand.N(d/2)
}
