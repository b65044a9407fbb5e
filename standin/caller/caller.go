// Package caller generates a seeded open-loop load of multi-turn chats and of
// actions, and verifies that every answer is complete and belongs to its
// request.
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

// Options configures a load. Routers, Duration and either Rate or ActionRate are
// required.
type Options struct {
	Routers  []string // base URLs, selected round-robin among those that are ready
	Team     string   // default "demo"
	Model    string   // default "m"
	Duration time.Duration
	Requests int    // maximum number of chat turns; 0 means no limit
	Seed     uint64 // seed of all arrivals, pauses and texts

	Rate            float64       // new chats per second, over all accounts
	Accounts        int           // number of client accounts; 0 means 10
	SurgingAccounts int           // accounts with a higher rate in the middle third of the load
	SurgeFactor     float64       // multiplier of the rate during the surge; 0 means 10
	Turns           int           // mean number of turns per chat; 0 means 4
	Pause           time.Duration // mean pause between two turns of a chat; 0 means 2s

	SystemWords    int           // words of the system message that an account's chats share; 0 means 32
	FirstWords     int           // words of a chat's first user message; 0 means 96
	TurnWords      int           // words of each later user message; 0 means 24
	MaxTokens      int           // tokens per answer; 0 means the length that engines derive from the chat
	NonStreamShare float64       // share of turns that request no stream
	Timeout        time.Duration // per turn, including reconnects; 0 means 60s
	Retries        int           // maximum retries of a turn that was refused as not run

	PoisonRequests int      // number of requests that crash each engine that runs them
	Service        string   // service that receives the actions; default "order-desk"
	Action         string   // action name; default "confirm"
	ActionRate     float64  // actions per second, each sent through two routers concurrently
	Services       []string // base URLs of stand-in services, queried at the end to check the actions
	Engines        []string // base URLs of stand-in engines, queried for crashes and, at the end, for load skew
	Counters       []string // metrics to report as rates, as name or name{label="value"}
	Metrics        []string // base URLs of the routers' metrics; default Routers
	LoadBound      float64  // permitted ratio of an engine's load to the mean; 0 means 1.25

	HTTP *http.Client // nil means a new client
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

// load is the state of one load run.
type load struct {
	opts     Options
	balancer *balancer
	recorder *recorder
	start    time.Time
	stop     time.Time // no turn starts after this time

	mu            sync.Mutex
	started       int // number of turns started
	chats         int
	actionResults map[string]actionResult // by key
	inFlight      sync.WaitGroup
}

// Run generates the load and returns its report. It returns once the duration or
// the number of requests is exhausted and all requests in flight have ended. The
// error is non-nil if opts are invalid or ctx is done.
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

// reserveTurn reserves one turn. It returns false if the duration or the number
// of requests is exhausted.
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

// wait sleeps until at. It returns false if at is after the end of the load or
// ctx is done first.
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

// PCG stream numbers of the random generators derived from a seed. Each poison
// request, account and chat adds its index to its base.
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

// account is a client account whose chats arrive at random times.
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

// run starts chats at the account's rate, regardless of how earlier chats
// progress.
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

// arrival draws the time of the first chat after at. For a surging account it
// draws at the surge rate and, outside the surge, discards the excess arrivals
// by rejection sampling.
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

// inSurge reports whether at lies in the middle third of the load.
func (l *load) inSurge(at time.Time) bool {
	third := l.opts.Duration / 3
	since := at.Sub(l.start)
	return since > third && since < 2*third
}

// meanInterval returns the mean time between events, given their rate per second.
func meanInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// randomText returns n random words.
func randomText(random *rand.Rand, n int) engine.Content {
	out := make([]byte, 0, 8*n)
	for range n {
		out = fmt.Appendf(out, "w%05x ", random.IntN(1<<20))
	}
	return engine.Content(out)
}
