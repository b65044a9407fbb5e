package daemon

import (
	"context"
	"math/rand/v2"
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
	// catchUpTimeout limits one call.
	catchUpTimeout = 200 * time.Millisecond
	// catchUpPause is the time between two looks at the list of routers.
	catchUpPause = 10 * time.Millisecond
	// compareInterval is the mean time between two comparisons with a neighbor. A router
	// that was cut off or stood still, or a rumor that was dropped, is made good within
	// a few of them.
	compareInterval = time.Second
)

// catchUp asks the other routers for the records of requests that crash endpoints.
type catchUp struct {
	guard    *suspicion.Guard
	detector *peer.FailureDetector
	self     coordination.Instance
	log      event.Log
}

func (c catchUp) run(ctx context.Context) {
	defer c.guard.EndCatchUp()
	began := time.Now()
	answered := make(map[coordination.Instance]bool)
	for time.Since(began) < catchUpLimit {
		others := c.others()
		mutable.Shuffle(others)
		for _, id := range others {
			if !answered[id] && c.pull(ctx, id, answered) {
				return
			}
		}
		allNew := len(others) > 0 && lo.EveryBy(others, func(id coordination.Instance) bool { return answered[id] })
		if allNew && time.Since(began) >= catchUpSettle || !coordination.Sleep(ctx, catchUpPause) {
			return
		}
	}
	c.log.Emit(event.CatchUpFailed, event.F("answered", len(answered)), event.F("ms", time.Since(began).Milliseconds()))
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

// others returns the other routers that respond.
func (c catchUp) others() (all []coordination.Instance) {
	for _, m := range c.detector.Responsive() {
		if m.Instance != c.self {
			all = append(all, m.Instance)
		}
	}
	return all
}

// pull asks one router, and reports whether it knows what the fleet knows.
func (c catchUp) pull(ctx context.Context, id coordination.Instance, answered map[coordination.Instance]bool) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	caughtUp, _, err := c.guard.Pull(ctx, id)
	if err == nil {
		answered[id] = true
	}
	return err == nil && caughtUp
}
