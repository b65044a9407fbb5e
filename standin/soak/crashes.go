package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wisteriaspool/standin/replica"
)

// crashMark is in the path of each request that crashes the endpoints that run it.
const crashMark = "crash-"

const (
	// crashingPause is the mean time between the first attempts of two crashing requests,
	// and between two kills of many routers beside them.
	crashingPause = 6 * time.Second
	// restartDelay is how long a killed router is away.
	restartDelay = 500 * time.Millisecond
	// contactTime is how long a router has to be without a fault for a promise with a
	// time limit to bind it.
	contactTime = 3 * time.Second
	// allowedCrashes is how many endpoints a request may crash before it counts as a
	// crashing one. As many retries may reach endpoints later than contactTime after that.
	allowedCrashes = 3
)

// repeatCrashingRequests starts callers that repeat requests which crash endpoints, and
// kills many routers at once beside them. It has its own random number generator, so that
// the other faults of a seed are the same without it.
func (s *soak) repeatCrashingRequests(end time.Time) {
	paths := []string{"/safe/", "/unsafe/", "/resumable/"}
	for n := 0; time.Now().Before(end); n++ {
		rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<34+uint64(n)))
		c := &crashingCaller{load: s.load, rng: rng, path: paths[rng.IntN(len(paths))], until: end}
		c.target = fmt.Sprintf("%s%s%d", c.path, crashMark, n)
		s.logf("request %s crashes the endpoints that run it", c.target)
		s.load.wg.Go(c.run)
		pause := time.Duration(rng.Int64N(int64(crashingPause)))
		time.Sleep(pause)
		s.killRouters(rng, len(s.routers)/(1+rng.IntN(2)))
		time.Sleep(crashingPause - pause)
	}
}

// killRouters kills n routers at once.
func (s *soak) killRouters(rng *rand.Rand, n int) {
	s.logf("%d routers are killed at once", n)
	for _, i := range rng.Perm(len(s.routers))[:n] {
		r := s.routers[i]
		r.markFault()
		r.kill()
		s.after(restartDelay, func() { s.restart(r) })
	}
}

// crashingCaller sends one request that crashes endpoints again and again.
type crashingCaller struct {
	load   *load
	rng    *rand.Rand
	path   string // the prefix of its route
	target string
	until  time.Time
}

func (c *crashingCaller) run() {
	for time.Now().Before(c.until) && c.load.ctx.Err() == nil {
		ready := *c.load.ready.Load()
		c.send(ready[c.rng.IntN(len(ready))])
		time.Sleep(time.Duration(50+c.rng.IntN(400)) * time.Millisecond)
	}
}

// send sends the request once, in one of four cases with a caller that disconnects
// while the endpoint is about to crash.
func (c *crashingCaller) send(r *router) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	if c.rng.IntN(4) == 0 {
		early, stop := context.WithTimeout(ctx, time.Duration(10+c.rng.IntN(30))*time.Millisecond)
		defer stop()
		ctx = early
	}
	o := outcome{id: fmt.Sprintf("q%d", c.load.lastID.Add(1)), path: c.path, repeated: c.target, sent: time.Now()}
	o.inTouch = c.load.soak.inTouch(r)
	client := c.load.newClient()
	defer client.CloseIdleConnections()
	c.load.exchange(ctx, client, r, &o, steadyKey)
	c.load.record(o)
}

// inTouch reports whether neither a router nor the store has had a fault for
// contactTime.
func (s *soak) inTouch(r *router) bool {
	since := time.Now().Add(-contactTime)
	s.mu.Lock()
	stable := s.lastStoreFault.Before(since)
	s.mu.Unlock()
	return stable && r.healthySince(since)
}

// endpointCrash is the crash of an endpoint by a request.
type endpointCrash struct {
	soak     *soak
	n        int // number of the endpoint, which selects how it ends
	endpoint *endpoint
}

// The ways in which endpoints end: at once, with their connections some time before they
// refuse new ones, or after a time in which they answer nothing.
var (
	listenerDelays = []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 0}
	crashDelays    = []time.Duration{0, 0, 0, time.Second}
)

// run ends the endpoint and starts its successor.
func (c *endpointCrash) run() {
	s, e := c.soak, c.endpoint
	time.Sleep(crashDelays[c.n%len(crashDelays)])
	s.mu.Lock()
	first := e.until().IsZero()
	if first {
		e.crashed = time.Now()
	}
	s.mu.Unlock()
	delay := listenerDelays[c.n%len(listenerDelays)]
	s.logf("endpoint %s is crashed by a request, and refuses connections after %v", e.id, delay)
	s.recordFaultSpan(entryExpiry)
	if delay == 0 {
		e.stopProxy()
	}
	e.kill()
	e.proxy.Reset()
	time.Sleep(delay)
	e.stopProxy()
	s.after(entryExpiry, func() { s.store.Delete(e.Key()) })
	if first {
		time.Sleep(entryExpiry / 3)
		s.replaceEndpoint(e.service)
	}
}

// crashingRun is a run of a request that crashes endpoints.
type crashingRun struct {
	endpoint string
	at       time.Time
	late     bool // sent later than contactTime after the third crash, by a router in touch
}

// crashingRuns returns the runs of crashing requests by their paths, in order.
func (h *history) crashingRuns() map[string][]crashingRun {
	sent := make(map[string]outcome)
	for _, o := range h.outcomes {
		if !o.sent.IsZero() && o.part == "" {
			sent[o.id] = o
		}
	}
	runs := make(map[string][]crashingRun)
	crashed := make(map[string][]string) // endpoints by path
	third := make(map[string]time.Time)
	for _, a := range h.arrivals {
		o, ok := sent[a.ID]
		if !ok {
			continue
		}
		after := third[a.Path]
		late := o.inTouch && !after.IsZero() && o.sent.After(after.Add(contactTime))
		runs[a.Path] = append(runs[a.Path], crashingRun{endpoint: a.endpoint, at: a.StartedAt, late: late})
		if slices.Contains(crashed[a.Path], a.endpoint) {
			continue
		}
		crashed[a.Path] = append(crashed[a.Path], a.endpoint)
		if len(crashed[a.Path]) == allowedCrashes {
			third[a.Path] = a.StartedAt
		}
	}
	return runs
}

// checkCrashes finds requests that routers in touch kept sending to endpoints although
// they had crashed allowedCrashes of them.
func (h *history) checkCrashes() (violations []string) {
	for path, runs := range h.crashingRuns() {
		late := 0
		for _, r := range runs {
			if r.late {
				late++
			}
		}
		if late > allowedCrashes {
			violations = append(violations, fmt.Sprintf("request %s, which crashes endpoints, ran %d times, %d of them later than %v after the third crash", path, len(runs), late, contactTime))
		}
	}
	slices.Sort(violations)
	return violations
}

// crashCounts returns, for each request that crashes endpoints, how often it ran and how
// many of these runs were late.
func (h *history) crashCounts() (counts []string) {
	for path, runs := range h.crashingRuns() {
		late := 0
		endpoints := make(map[string]bool)
		for _, r := range runs {
			endpoints[r.endpoint] = true
			if r.late {
				late++
			}
		}
		counts = append(counts, fmt.Sprintf("%s ran %d times, crashed %d endpoints, %d late", path, len(runs), len(endpoints), late))
	}
	slices.Sort(counts)
	return counts
}

// crashes returns how many endpoints requests have crashed.
func (s *soak) crashes() (n int) {
	for _, e := range s.endpoints {
		for _, a := range e.Arrivals() {
			if strings.Contains(a.Path, crashMark) || replica.HasPart(a.Prompt, crashPart) {
				n++
				break
			}
		}
	}
	return n
}
