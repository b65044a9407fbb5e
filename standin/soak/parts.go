package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspool/standin/replica"
)

// crashPart is what the id of each part of a prompt begins with that crashes the endpoints
// that begin to answer a request with it.
const crashPart = "c4a5"

const (
	// partPause is the time between the first requests with two crashing parts.
	partPause = 7 * time.Second
	// partInterval is the mean time between two requests with one part.
	partInterval = 150 * time.Millisecond
	// allowedPartCrashes is how many endpoints a part may crash before it counts as a
	// crashing one. allowedLateParts requests with it may reach endpoints later than
	// contactTime after that.
	allowedPartCrashes = 5
	allowedLateParts   = 3
)

// sendCrashingParts sends requests that have only a part of their prompts in common, which
// crashes endpoints, and kills or stops routers beside them. It has its own random number
// generator, so that the other faults of a seed are the same without it.
func (s *soak) sendCrashingParts(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<35+uint64(n)))
		c := &partCaller{load: s.load, rng: rng, part: fmt.Sprintf("%s%04x", crashPart, n), until: time.Now().Add(2 * partPause)}
		if c.until.After(end) {
			c.until = end
		}
		s.logf("part %s of prompts crashes the endpoints that answer it", c.part)
		s.load.wg.Go(c.run)
		pause := time.Duration(rng.Int64N(int64(partPause)))
		time.Sleep(pause)
		switch rng.IntN(3) {
		case 0:
			s.killRouters(rng, len(s.routers)/(1+rng.IntN(2)))
		case 1:
			s.killRouters(rng, 1)
		}
		time.Sleep(partPause - pause)
	}
}

// partCaller sends requests with one crashing part through any router, no two alike.
type partCaller struct {
	load  *load
	rng   *rand.Rand
	part  string
	until time.Time
}

func (c *partCaller) run() {
	for time.Now().Before(c.until) && c.load.ctx.Err() == nil {
		ready := *c.load.ready.Load()
		r := ready[c.rng.IntN(len(ready))]
		o := outcome{id: fmt.Sprintf("q%d", c.load.lastID.Add(1)), path: []string{"/stream/", "/resumable/"}[c.rng.IntN(2)], part: c.part, sent: time.Now()}
		o.inTouch = r.healthySince(o.sent.Add(-contactTime)) // routers need no store for this
		c.load.wg.Go(partRequest{c.load, r, o}.run)
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * partInterval))))
	}
}

// partRequest is one request of a partCaller.
type partRequest struct {
	load   *load
	router *router
	o      outcome
}

func (p partRequest) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	client := p.load.newClient()
	defer client.CloseIdleConnections()
	p.load.exchange(ctx, client, p.router, &p.o, steadyKey)
	p.load.record(p.o)
}

// checkParts finds parts of prompts with which routers in touch kept sending requests to
// endpoints although they had crashed allowedPartCrashes of them.
func (h *history) checkParts() (violations []string) {
	sent := make(map[string]outcome)
	for _, o := range h.outcomes {
		if o.part != "" {
			sent[o.id] = o
		}
	}
	crashed := make(map[string][]string) // endpoints by part
	ended := make(map[string]time.Time)  // when the last allowed one was, by part
	late := make(map[string]int)
	for _, a := range h.arrivals {
		o, ok := sent[a.ID]
		if !ok || !replica.HasPart(a.Prompt, o.part) {
			continue
		}
		if after := ended[o.part]; o.inTouch && !after.IsZero() && o.sent.After(after.Add(contactTime)) {
			late[o.part]++
		}
		if slices.Contains(crashed[o.part], a.endpoint) {
			continue
		}
		crashed[o.part] = append(crashed[o.part], a.endpoint)
		if len(crashed[o.part]) == allowedPartCrashes {
			ended[o.part] = a.StartedAt
		}
	}
	for part, n := range late {
		if n > allowedLateParts {
			violations = append(violations, fmt.Sprintf("part %s of prompts, which crashes endpoints, crashed %d, and %d requests with it ran later than %v after the fifth", part, len(crashed[part]), n, contactTime))
		}
	}
	slices.Sort(violations)
	return violations
}
