// Package caller stands in for callers: it makes a seeded open-loop load of
// chats that return after pauses, and of actions, and checks that every answer
// is whole and its own.
package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wisteriaspool/standin/engine"
)

// Options configure a load. Routers, Duration and Rate are required.
type Options struct {
	Routers  []string // base URLs, used in turn while they are ready
	Team     string   // empty means "demo"
	Model    string   // empty means "m"
	Duration time.Duration
	Requests int    // at most so many turns of chats; 0 means no limit
	Seed     uint64 // of all arrivals, pauses and texts

	Rate            float64       // new chats a second, over all accounts
	Accounts        int           // client accounts; 0 means 10
	SurgingAccounts int           // accounts that surge in the middle third of the time
	SurgeFactor     float64       // times their rate; 0 means 10
	Turns           int           // mean turns of a chat; 0 means 4
	Pause           time.Duration // mean pause before a chat returns; 0 means 2s

	SystemWords    int           // shared by an account's chats; 0 means 32
	FirstWords     int           // of a chat's first message; 0 means 96
	TurnWords      int           // of the later messages; 0 means 24
	MaxTokens      int           // of an answer; 0 means its natural length
	NonStreamShare float64       // share of turns without a stream
	Timeout        time.Duration // of one turn, reconnects included; 0 means 60s
	Retries        int           // of a turn that was refused as not run

	PoisonRequests int      // requests that crash each engine that runs them
	Service        string   // plain service of the actions; empty means "order-desk"
	Action         string   // empty means "confirm"
	ActionRate     float64  // actions a second, each sent through two routers at once
	Services       []string // base URLs of stand-in services, read at the end to check the actions
	Engines        []string // base URLs of stand-in engines, read at the end to measure skew
	Counters       []string // metrics to show as rates, as name or name{label="value"}
	Metrics        []string // base URLs of the routers' metrics; empty means Routers
	LoadBound      float64  // times the mean load that an engine may carry; 0 means 1.25

	HTTP *http.Client // nil means one of its own
}

func (o *Options) setDefaults() error {
	if len(o.Routers) == 0 || o.Duration <= 0 || o.Rate < 0 || o.Rate+o.ActionRate <= 0 {
		return errors.New("caller: routers, a duration and a rate are required")
	}
	setText(&o.Team, "demo")
	setText(&o.Model, "m")
	setText(&o.Service, "order-desk")
	setText(&o.Action, "confirm")
	setNumber(&o.Accounts, 10)
	setNumber(&o.Turns, 4)
	setNumber(&o.SystemWords, 32)
	setNumber(&o.FirstWords, 96)
	setNumber(&o.TurnWords, 24)
	setDuration(&o.Pause, 2*time.Second)
	setDuration(&o.Timeout, time.Minute)
	setFactor(&o.SurgeFactor, 10)
	setFactor(&o.LoadBound, 1.25)
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	return nil
}

func setText(v *string, d string) {
	if *v == "" {
		*v = d
	}
}

func setNumber(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setFactor(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// load is one run of a load.
type load struct {
	opts     Options
	balancer *balancer
	recorder *recorder
	start    time.Time
	stop     time.Time // no turn starts later

	mu            sync.Mutex
	started       int // turns
	chats         int
	actionResults map[string]actionResult // by key
	inFlight      sync.WaitGroup
}

// Run makes the load and returns what came of it. It ends when the time or the
// requests are used up and everything in flight has ended.
func Run(ctx context.Context, opts Options) (Report, error) {
	if err := opts.setDefaults(); err != nil {
		return Report{}, err
	}
	now := time.Now()
	l := &load{
		opts: opts, recorder: newRecorder(), start: now, stop: now.Add(opts.Duration),
		actionResults: make(map[string]actionResult),
	}
	balancer, cleanup := newBalancer(opts)
	defer cleanup()
	l.balancer = balancer
	before := l.readCounters(ctx)
	crashes, known := l.readCrashes(ctx)
	for n := range opts.Accounts {
		l.inFlight.Add(1)
		go newAccount(l, n).run(ctx)
	}
	if opts.ActionRate > 0 {
		l.inFlight.Add(1)
		go (&actionSender{load: l, random: newRandom(opts.Seed, actionStream)}).run(ctx)
	}
	if opts.PoisonRequests > 0 {
		l.inFlight.Add(1)
		go (&poisonSender{load: l}).run(ctx)
	}
	l.inFlight.Wait()
	report := l.recorder.report(time.Since(l.start))
	l.checkActions(ctx, &report)
	l.countCrashes(ctx, crashes, known, &report)
	l.measureSkew(ctx, &report)
	report.Counters = l.rates(before, l.readCounters(ctx), report.Seconds)
	return report, ctx.Err()
}

// reserveTurn reserves one turn, while time and requests last.
func (l *load) reserveTurn(ctx context.Context) bool {
	if ctx.Err() != nil || !time.Now().Before(l.stop) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.Requests > 0 && l.started >= l.opts.Requests {
		return false
	}
	l.started++
	return true
}

func (l *load) nextChatNumber() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats++
	return l.chats
}

// wait sleeps until at. It is false if the load is over before.
func (l *load) wait(ctx context.Context, at time.Time) bool {
	if at.After(l.stop) {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// The streams of random numbers that a seed gives; accounts and chats count up
// from theirs.
const (
	actionStream  = 1
	poisonStream  = 1 << 8
	accountStream = 1 << 16
	chatStream    = 1 << 32
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// exponential draws a duration with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// account is a client account, whose chats arrive at random times.
type account struct {
	load   *load
	name   string
	random *rand.Rand
	surges bool
	system engine.Message
}

func newAccount(l *load, n int) *account {
	a := &account{
		load:   l,
		name:   fmt.Sprintf("account-%d", n+1),
		random: newRandom(l.opts.Seed, accountStream+uint64(n)),
		surges: n < l.opts.SurgingAccounts,
	}
	a.system = engine.Message{Role: "system", Content: randomText(a.random, l.opts.SystemWords)}
	return a
}

// run starts chats at the account's rate, whatever becomes of the earlier ones.
func (a *account) run(ctx context.Context) {
	defer a.load.inFlight.Done()
	if a.load.opts.Rate <= 0 {
		return
	}
	at := a.load.start
	for {
		at = a.arrival(at)
		if !a.load.wait(ctx, at) {
			return
		}
		n := a.load.nextChatNumber()
		a.load.inFlight.Add(1)
		go newChat(a, n, at).run(ctx)
	}
}

// arrival draws the time of the first chat after at. An account that surges
// draws at its highest rate, and outside the surge drops its share of them.
func (a *account) arrival(at time.Time) time.Time {
	opts := a.load.opts
	rate := opts.Rate / float64(opts.Accounts)
	if !a.surges {
		return at.Add(exponential(a.random, meanInterval(rate)))
	}
	for {
		at = at.Add(exponential(a.random, meanInterval(rate*opts.SurgeFactor)))
		if a.load.inSurge(at) || a.random.Float64()*opts.SurgeFactor < 1 {
			return at
		}
	}
}

// inSurge tells whether at lies in the middle third of the load.
func (l *load) inSurge(at time.Time) bool {
	third := l.opts.Duration / 3
	since := at.Sub(l.start)
	return since > third && since < 2*third
}

// meanInterval returns the mean time between events of a rate.
func meanInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// randomText draws n words.
func randomText(random *rand.Rand, n int) engine.Content {
	out := make([]byte, 0, 8*n)
	for range n {
		out = fmt.Appendf(out, "w%05x ", random.IntN(1<<20))
	}
	return engine.Content(out)
}
