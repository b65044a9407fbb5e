package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wisteriaspool/standin/replica"
)

const (
	// unevenService is a plain service whose endpoints differ in speed.
	unevenService = "uneven"
	unevenPath    = "/uneven/"
	unevenSlots   = 6
	unevenDelay   = 40 * time.Millisecond

	// changingEndpoints is the number of endpoints whose pace changes, one of them every
	// paceInterval. The last one reports that it is never slow.
	changingEndpoints = 4
	paceInterval      = 500 * time.Millisecond
	slowPace          = 4.0

	// surgingAccount has surgeCallers requests at a time during a surge; its share of the
	// slots is 9.
	surgingAccount = "surge"
	surgeCallers   = 100
	surgeTime      = 2 * time.Second
	// calmCallers is the number of callers of each account in calmAccounts, which is within
	// its share.
	calmCallers = 8
	calmPause   = 20 * time.Millisecond // mean pause between two requests of a caller
	// unevenDeadline is short enough that the surging account is not served all of its
	// requests in time.
	unevenDeadline = 500 * time.Millisecond

	// minCalmServed is the share of requests that a calm account is served, relative to the
	// other accounts; minAccountRequests is the number of requests from which on it counts.
	minCalmServed      = 0.9
	minAccountRequests = 100

	// sampleInterval is the time between two samples of the endpoints' loads. An endpoint
	// counts from paceSettleTime after a change on. Below minSamples of slow or of fast
	// endpoints nothing is checked.
	sampleInterval = 20 * time.Millisecond
	paceSettleTime = time.Second
	minSamples     = 100
	// maxSlowLoad is the mean number of requests that slow endpoints run, relative to
	// fast ones.
	maxSlowLoad = 0.9
)

var calmAccounts = []string{"calm-1", "calm-2", "calm-3"}

// capacitySetting returns the line of the routers' settings that makes them measure the
// capacity of endpoints.
func (s *soak) capacitySetting() string {
	if !s.opts.Uneven {
		return ""
	}
	return "capacity = measured\n"
}

// startUneven adds the endpoints: those whose pace is changed, one that slows down from half
// of its slots on, and one that alternates by itself.
func (s *soak) startUneven() error {
	for n := range changingEndpoints + 2 {
		_, err := s.addEndpointWith(unevenService, func(o *replica.Options) {
			o.Slots, o.Delay, o.Reports = unevenSlots, unevenDelay, replica.CorrectReport
			switch n {
			case changingEndpoints - 1:
				o.Reports, o.FalsePace = replica.FalseReport, 100
			case changingEndpoints:
				o.SlowAbove, o.SlowBy, o.Reports = unevenSlots/2, 1, replica.ThreeNumbers
			case changingEndpoints + 1:
				o.Pace, o.SlowPace, o.PacePeriod = 1, slowPace, paceInterval
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// changePaces changes the pace of one endpoint after the other. It has its own random number
// generator, so that the other faults of a seed are the same without it.
func (s *soak) changePaces(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<37))
	endpoints := s.upEndpoints([]string{unevenService})[:changingEndpoints]
	for time.Now().Before(end) {
		e, pace := endpoints[rng.IntN(len(endpoints))], []float64{1, slowPace}[rng.IntN(2)]
		if s.loads.setPace(e.id, pace, time.Now()) {
			s.logf("endpoint %s has pace %v", e.id, pace)
			e.SetPace(pace)
		}
		time.Sleep(paceInterval)
	}
	for _, e := range endpoints {
		e.SetPace(1)
	}
}

// surge makes one account request many times its share for a while, again and again.
func (s *soak) surge(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<38))
	for n := 0; ; n++ {
		time.Sleep(time.Duration(1500+rng.IntN(2000)) * time.Millisecond)
		until := time.Now().Add(surgeTime)
		if until.After(end) {
			return
		}
		s.logf("account %s surges for %v", surgingAccount, surgeTime)
		s.loads.setSurge(until)
		for m := range surgeCallers {
			rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(1<<39+n*surgeCallers+m)))
			s.load.wg.Go((&unevenCaller{load: s.load, rng: rng, client: s.load.newClient(), account: surgingAccount, until: until}).run)
		}
		time.Sleep(surgeTime)
	}
}

// unevenCaller sends requests of one account sequentially.
type unevenCaller struct {
	load    *load
	rng     *rand.Rand
	client  *http.Client
	account string
	until   time.Time // zero means to the end of the soak
}

func (c *unevenCaller) run() {
	defer c.client.CloseIdleConnections()
	for c.load.ctx.Err() == nil && (c.until.IsZero() || time.Now().Before(c.until)) {
		ready := *c.load.ready.Load()
		c.request(ready[c.rng.IntN(len(ready))])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * calmPause))))
	}
}

func (c *unevenCaller) request(r *router) {
	o := outcome{id: fmt.Sprintf("q%d", c.load.lastID.Add(1)), path: unevenPath, account: c.account, deadline: unevenDeadline}
	sent := time.Now()
	o.surge = c.load.soak.loads.surging(sent)
	ctx, cancel := context.WithTimeout(context.Background(), unevenDeadline+time.Second)
	defer cancel()
	c.load.exchange(ctx, c.client, r, &o, c.account)
	o.inTouch = r.healthySince(sent.Add(-contactTime)) // nor meanwhile
	c.load.record(o)
}

// loadTally sums up how many requests slow and fast endpoints run.
type loadTally struct {
	mu         sync.Mutex
	paces      map[string]paceChange // by endpoint; an absent one has had pace 1 from the start
	surgeUntil time.Time
	slow, fast loadSum
}

type paceChange struct {
	pace float64
	at   time.Time
}

type loadSum struct{ samples, running int }

func (l *loadSum) add(running int) { l.merge(loadSum{samples: 1, running: running}) }

func (l *loadSum) merge(o loadSum) {
	l.samples += o.samples
	l.running += o.running
}

func (l loadSum) mean() float64 { return float64(l.running) / float64(max(l.samples, 1)) }

// setPace records the pace of an endpoint, and reports whether it has changed.
func (t *loadTally) setPace(id string, pace float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paces == nil {
		t.paces = make(map[string]paceChange)
	}
	if old, ok := t.paces[id]; old.pace == pace || !ok && pace == 1 {
		return false
	}
	t.paces[id] = paceChange{pace, now}
	return true
}

func (t *loadTally) setSurge(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.surgeUntil = until
}

// surging reports whether an account surges.
func (t *loadTally) surging(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.surgeUntil)
}

// sample adds the numbers of requests that endpoints run now. During a surge all slots are
// in use, so that slow endpoints need not run fewer. Slow and fast ones are compared only
// at moments at which there are both: while all are slow each carries more than a fast one
// does at other times, as it may.
func (t *loadTally) sample(running map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.surgeUntil.Add(paceSettleTime)) {
		return
	}
	var slow, fast loadSum
	for id, n := range running {
		c, ok := t.paces[id]
		switch {
		case ok && now.Sub(c.at) < paceSettleTime:
		case c.pace > 1:
			slow.add(n)
		default:
			fast.add(n)
		}
	}
	if slow.samples > 0 && fast.samples > 0 {
		t.slow.merge(slow)
		t.fast.merge(fast)
	}
}

// sampleLoads samples the loads of the endpoints whose pace changes.
func (s *soak) sampleLoads(end time.Time) {
	endpoints := s.upEndpoints([]string{unevenService})[:changingEndpoints]
	for time.Now().Before(end) {
		running := make(map[string]int)
		for _, e := range endpoints {
			running[e.id] = e.Running()
		}
		s.loads.sample(running, time.Now())
		time.Sleep(sampleInterval)
	}
}

// check reports slow endpoints that run as many requests as fast ones.
func (t *loadTally) check() (violations []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slow.samples < minSamples || t.fast.samples < minSamples || t.slow.mean() <= maxSlowLoad*t.fast.mean() {
		return nil
	}
	return []string{fmt.Sprintf("slow endpoints of service %s ran %.2f requests, fast ones %.2f; allowed are %v times as many", unevenService, t.slow.mean(), t.fast.mean(), maxSlowLoad)}
}

// accountCounts counts the requests of one account.
type accountCounts struct{ asked, served int }

func (c accountCounts) share() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// countAccounts counts the requests of accounts of the service during surges, through routers
// in touch. At other times a fault of another router could affect calm accounts alone.
func countAccounts(outcomes []outcome) map[string]accountCounts {
	counts := make(map[string]accountCounts)
	for _, o := range outcomes {
		if o.path != unevenPath || !o.inTouch || !o.surge {
			continue
		}
		c := counts[o.account]
		c.asked++
		if o.served {
			c.served++
		}
		counts[o.account] = c
	}
	return counts
}

// checkAccounts reports accounts within their share that are served less than others.
func checkAccounts(counts map[string]accountCounts) (violations []string) {
	for _, account := range calmAccounts {
		own, best := counts[account], 0.0
		for other, c := range counts {
			if other != account && c.asked >= minAccountRequests {
				best = max(best, c.share())
			}
		}
		if own.asked >= minAccountRequests && own.share() < minCalmServed*best {
			violations = append(violations, fmt.Sprintf("account %s, within its share, was served %d of %d requests, others a share of %.2f", account, own.served, own.asked, best))
		}
	}
	return violations
}

// checkUneven reports the figures of the service, and what they violate.
func (s *soak) checkUneven() {
	counts := countAccounts(s.load.outcomes())
	for _, account := range append([]string{surgingAccount}, calmAccounts...) {
		s.logf("account %s was served %d of %d requests during surges", account, counts[account].served, counts[account].asked)
	}
	s.logf("slow endpoints ran %.2f requests in %d samples, fast ones %.2f in %d", s.loads.slow.mean(), s.loads.slow.samples, s.loads.fast.mean(), s.loads.fast.samples)
	for _, line := range append(s.loads.check(), checkAccounts(counts)...) {
		s.reportViolation("%s", line)
	}
}
