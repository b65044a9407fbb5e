package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/samber/lo/mutable"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// A router that starts asks the others which requests crash endpoints before it serves
// any. Rumors would bring the records only after seconds.
const (
	// catchUpLimit is how long it asks if no router answers.
	catchUpLimit = joinWait
	// catchUpSettle is how long it looks for routers that have run for longer if all
	// that it knows have just started as well.
	catchUpSettle = 300 * time.Millisecond
	// catchUpAsked is how many routers it asks at most that have just started as well. In
	// a large fleet that starts, asking all would cost each router hundreds of connections.
	catchUpAsked = 8
	// catchUpTimeout limits one call.
	catchUpTimeout = 200 * time.Millisecond
	// catchUpPause is the time between two looks at the list of routers.
	catchUpPause = 10 * time.Millisecond
	// compareInterval is the mean time between two comparisons with a neighbor. A router
	// that was cut off or stood still, or a rumor that was dropped, is made good within
	// a few of them.
	compareInterval = time.Second
)

// catchUp asks other routers for the records of requests that crash endpoints, neighbors
// first, since connections to them are open.
type catchUp struct {
	guard    *suspicion.Guard
	node     *peer.Node
	detector *peer.FailureDetector
	log      event.Log

	answered map[coordination.Instance]bool // have just started as well
}

func (c *catchUp) run(ctx context.Context) {
	defer c.guard.EndCatchUp()
	c.answered = make(map[coordination.Instance]bool)
	began := time.Now()
	for time.Since(began) < catchUpLimit {
		others := c.others()
		if id, ok := c.next(others); ok && c.pull(ctx, id) {
			return
		}
		allNew := len(c.answered) > 0 && len(c.answered) >= min(len(others), catchUpAsked)
		if allNew && time.Since(began) >= catchUpSettle || !coordination.Sleep(ctx, catchUpPause) {
			return
		}
	}
	c.log.Emit(event.CatchUpFailed, event.F("answered", len(c.answered)), event.F("ms", time.Since(began).Milliseconds()))
}

// others returns the other routers that respond, neighbors first, else in random order.
func (c *catchUp) others() []coordination.Instance {
	var others []coordination.Instance
	for _, m := range c.detector.Responsive() {
		if m.Instance != c.node.Self().Instance {
			others = append(others, m.Instance)
		}
	}
	mutable.Shuffle(others)
	neighbors := c.node.Neighbors()
	near, far := lo.FilterReject(others, func(id coordination.Instance, _ int) bool { return slices.Contains(neighbors, id) })
	return append(near, far...)
}

// next returns the router to ask next, if any is left.
func (c *catchUp) next(others []coordination.Instance) (coordination.Instance, bool) {
	if len(c.answered) >= catchUpAsked {
		return "", false
	}
	return lo.Find(others, func(id coordination.Instance) bool { return !c.answered[id] })
}

// pull asks one router, and reports whether it knows what the fleet knows.
func (c *catchUp) pull(ctx context.Context, id coordination.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	caughtUp, _, err := c.guard.Pull(ctx, id)
	if err == nil && !caughtUp {
		c.answered[id] = true
	}
	return err == nil && caughtUp
}

// recordComparer compares the records of requests that crash endpoints with a neighbor
// from time to time. If they are equal, that takes two messages of some ten bytes.
type recordComparer struct {
	guard *suspicion.Guard
	node  *peer.Node
	log   event.Log
}

func (c recordComparer) loop(ctx context.Context) {
	for coordination.Sleep(ctx, coordination.Jitter(compareInterval)) {
		neighbors := c.node.Neighbors()
		if len(neighbors) == 0 {
			continue
		}
		c.compare(ctx, neighbors[rand.IntN(len(neighbors))])
	}
}

// compare asks one neighbor. One that does not answer is asked again later.
func (c recordComparer) compare(ctx context.Context, id coordination.Instance) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_, news, err := c.guard.Pull(ctx, id)
	if err == nil && news > 0 {
		c.log.Emit(event.RecordsMissed, event.F("peer", id), event.F("records", news))
	}
}
