package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

const (
	// startLimit is how long a router that starts, once it has read the store, asks others
	// for what they retain.
	startLimit = 500 * time.Millisecond
	// startSettle is how long it does so if all that answer have just started as well.
	startSettle = 300 * time.Millisecond
	// startTimeout limits one call.
	startTimeout = 200 * time.Millisecond
	// startPause is the time between two looks at the list of routers.
	startPause = 10 * time.Millisecond
)

// starter asks another router for what it knew before a restore of the store, and for its marks:
// the store, from which a router that starts reads, may have lost them, or never had them.
type starter struct {
	feed     *Feed
	answered map[coordination.Instance]bool // have just started as well
	hinted   map[coordination.Instance]bool // were in an earlier era, and have been told
}

func newStarter(f *Feed) *starter {
	return &starter{feed: f, answered: make(map[coordination.Instance]bool), hinted: make(map[coordination.Instance]bool)}
}

func (s *starter) run(ctx context.Context) {
	defer close(s.feed.started)
	if s.feed.cfg.Alone {
		return
	}
	s.feed.cfg.Mirror.Wait(ctx, 0, nil)
	for began := time.Now(); time.Since(began) < startLimit; {
		others := lo.Reject(s.feed.cfg.Routers(), func(r placement.Router, _ int) bool {
			return r.ID == s.feed.cfg.Self || s.answered[r.ID]
		})
		if len(others) > 0 && s.ask(ctx, others[rand.IntN(len(others))].ID) {
			return
		}
		settled := len(others) == 0 && len(s.answered) > 0 && time.Since(began) >= startSettle
		if settled || !coordination.Sleep(ctx, startPause) {
			return
		}
	}
}

// ask asks one router and reports whether it has run for longer.
func (s *starter) ask(ctx context.Context, id coordination.Instance) bool {
	cfg := s.feed.cfg
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, err := cfg.Transport.Call(callCtx, id, TopicRetained, encode(Request{Prefix: cfg.Prefix}))
	if err != nil {
		return false
	}
	u, err := decodeReply(b, 0)
	if err == nil && cfg.OnMarks != nil {
		cfg.OnMarks(u.Marks)
	}
	if err != nil || u.AsOf.Number() == 0 {
		s.answered[id] = true
		return false
	}
	if asOf := cfg.Mirror.AsOf(); u.AsOf.Era() < asOf.Era() {
		// It has not noticed the restore yet.
		if !s.hinted[id] {
			s.hinted[id] = true
			s.feed.hints.send(ctx, id, Hint{AsOf: asOf})
		}
		return false
	}
	u.From = id
	cfg.Mirror.ApplyRetained(u)
	return true
}
