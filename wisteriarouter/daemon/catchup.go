package daemon

import (
	"context"
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
