// Package engine simulates a model engine for tests and the demo. It implements
// continuous batching, a prefix cache of limited size, streaming of deterministic
// answers, and fault injection. All delays use package time, so that tests can
// run it under a fake clock.
package engine

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Options configures an Engine. Zero fields take their defaults.
type Options struct {
	ID               string
	Capacity         int           // maximum number of running attempts; 0 means 16
	MaxWaiting       int           // maximum number of waiting attempts; 0 means no limit
	CacheBlocks      int           // size of the prefix cache in blocks of 16 tokens; 0 means 4096
	Step             time.Duration // time to generate one token with one running attempt; 0 means 10ms
	StepPerRunning   time.Duration // added to Step for each further running attempt; 0 means Step/50
	PrefillPerToken  time.Duration // prefill time of each uncached prompt token; 0 means 200µs
	LoadReportLag    time.Duration // initial age of the reported load; see Faults.LoadLagMillis
	EventDelay       time.Duration // delay before a cache event is visible
	EventLoss        float64       // share of cache events that are lost, from 0 to 1
	KVBytesPerToken  int           // simulated KV cache bytes per token; 0 means 131072
	LinkBytesPerSec  float64       // simulated bandwidth of KV export and import; 0 means 1.25e9
	UnreadTimeout    time.Duration // how long an attempt is kept without a reader; 0 means 10s
	IgnoreFencing    bool          // accepts orders with an outdated fencing token
	Poison           string        // text in a message that crashes the engine; empty means "POISON"
	RestartDelay     time.Duration // downtime after a crash; 0 means 1s
	Seed             uint64        // seed of the random choices for faults and lost events
	OnCrash          func()        // called on a crash with the engine's lock held, for example to exit the process
	HistoryLimit     int           // minimum number of load samples kept; 0 means 100000
	FirstIncarnation uint64        // 0 means the current Unix time in milliseconds
}

func (o *Options) setDefaults() {
	setDefault(&o.Capacity, 16)
	setDefault(&o.CacheBlocks, 4096)
	setDefault(&o.KVBytesPerToken, 131072)
	setDefault(&o.HistoryLimit, 100000)
	setDuration(&o.Step, 10*time.Millisecond)
	setDuration(&o.StepPerRunning, o.Step/50)
	setDuration(&o.PrefillPerToken, 200*time.Microsecond)
	setDuration(&o.UnreadTimeout, 10*time.Second)
	setDuration(&o.RestartDelay, time.Second)
	if o.LinkBytesPerSec == 0 {
		o.LinkBytesPerSec = 1.25e9
	}
	if o.Poison == "" {
		o.Poison = "POISON"
	}
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// Engine is an http.Handler that implements the API of a model engine. Its
// methods are safe for concurrent use.
type Engine struct {
	opts Options
	mux  *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	frozenUntil time.Time
	leaving     bool
	incarnation uint64
	deadUntil   time.Time
	crashed     chan struct{} // closed when this incarnation crashes
	attempts    map[string]*attempt
	waiting     attemptQueue
	running     []*attempt
	arrivals    int
	cache       *prefixCache
	events      []CacheEvent
	eventTimes  []time.Time
	eventSeq    int
	orders      orderLog
	stats       Stats
	history     []Sample
	idle        chan struct{} // closed when a leaving engine has no attempt left to serve

	wake   chan struct{}
	closed chan struct{}
}

// New starts an engine and returns it with a function that stops it.
func New(opts Options) (*Engine, func()) {
	opts.setDefaults()
	e := &Engine{
		opts:     opts,
		mux:      http.NewServeMux(),
		random:   rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		attempts: make(map[string]*attempt),
		cache:    newPrefixCache(opts.CacheBlocks),
		crashed:  make(chan struct{}),
		idle:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
	e.incarnation = opts.FirstIncarnation
	if e.incarnation == 0 {
		e.incarnation = uint64(time.Now().UnixMilli())
	}
	e.faults.LoadLagMillis = int(opts.LoadReportLag.Milliseconds())
	e.sampleLocked()
	e.routes()
	done := make(chan struct{})
	go e.run(done)
	return e, sync.OnceFunc(func() {
		close(e.closed)
		<-done
	})
}

// run executes generation steps while there are attempts to serve, until the
// engine is closed.
func (e *Engine) run(done chan<- struct{}) {
	defer close(done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.mu.Lock()
		pause, busy := e.nextStepDelayLocked()
		e.mu.Unlock()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-e.closed:
			return
		}
		e.step()
	}
}

// nextStepDelayLocked admits waiting attempts and returns the time until the next
// step. It reports false if there is nothing to do.
func (e *Engine) nextStepDelayLocked() (time.Duration, bool) {
	if frozen := time.Until(e.frozenUntil); frozen > 0 {
		return frozen, len(e.running)+len(e.waiting) > 0
	}
	e.admitLocked()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.opts.Step + time.Duration(len(e.running)-1)*e.opts.StepPerRunning
	if e.faults.Slow > 1 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	return step, true
}

// admitLocked starts waiting attempts while there is capacity. An attempt with a
// poison prompt crashes the engine when it starts.
func (e *Engine) admitLocked() {
	for len(e.running) < e.opts.Capacity && len(e.waiting) > 0 {
		a := heap.Pop(&e.waiting).(*attempt)
		if e.hasPoisonPrompt(a) {
			e.crashLocked()
			return
		}
		e.startLocked(a)
	}
}

// startLocked looks up the prompt of a in the prefix cache and starts its
// prefill.
func (e *Engine) startLocked(a *attempt) {
	hashes := chainedHashes(a.prompt)
	a.cachedTokens = e.cache.matchPrefix(hashes) * blockTokens
	a.phase = running
	a.readyAt = time.Now().Add(time.Duration(len(a.prompt)-a.cachedTokens) * e.opts.PrefillPerToken)
	e.running = append(e.running, a)
	e.storeLocked(a.chat, hashes)
	e.stats.PromptTokens += len(a.prompt)
	e.stats.CachedTokens += a.cachedTokens
	e.stats.PeakRunning = max(e.stats.PeakRunning, len(e.running))
	e.sampleLocked()
}

// step generates one token for each running attempt whose prefill is complete.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.frozenUntil) {
		return
	}
	for _, a := range slices.Clone(e.running) {
		if now.Before(a.readyAt) {
			continue
		}
		if a.delivered() < a.total {
			a.generated++
			e.stats.GeneratedTokens++
		}
		if a.delivered() >= a.total {
			e.endLocked(a, finished)
		}
		a.notifyReaders()
	}
}

// endLocked removes a from the batch and sets its final phase. The attempt is
// kept for Options.UnreadTimeout after its last reader has left, so that a reader
// whose connection broke can resume.
func (e *Engine) endLocked(a *attempt, p phase) {
	if a.ended() {
		return
	}
	if a.phase == running {
		e.cacheResultLocked(a)
	}
	a.phase = p
	e.waiting.remove(a)
	e.running = slices.DeleteFunc(e.running, func(other *attempt) bool { return other == a })
	if p == cancelled {
		e.stats.Cancelled++
	}
	a.notifyReaders()
	e.sampleLocked()
	e.signal()
	if a.readers == 0 {
		e.scheduleExpiryLocked(a)
	}
	e.checkIdleLocked()
}

// cacheResultLocked caches the prompt and the answer, which together are the
// prefix of the chat's next request.
func (e *Engine) cacheResultLocked(a *attempt) {
	tokens := slices.Clone(a.prompt)
	for i := a.partialLen; i < a.delivered(); i++ {
		token := tokenAt(a.hash, i)
		token = token[:len(token)-1]
		if i == 0 {
			token = "assistant\x00" + token
		}
		tokens = append(tokens, token)
	}
	e.storeLocked(a.chat, chainedHashes(tokens))
}

// signal wakes run because there may be work.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Incarnation returns the number of the current incarnation, which grows with
// every crash.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Leave makes the engine refuse new requests. Accepted attempts continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.sampleLocked()
	e.checkIdleLocked()
}

// Leaving reports whether Leave was called.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Drain waits, after Leave, until every accepted attempt has ended and every
// finished answer has been read completely. An attempt whose reader has
// disconnected is waited for until it expires. Drain returns ctx.Err() if ctx is
// done first, and nil if the engine is closed.
func (e *Engine) Drain(ctx context.Context) error {
	select {
	case <-e.idle:
		return nil
	case <-e.closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkIdleLocked closes e.idle once a leaving engine has nothing left to serve.
func (e *Engine) checkIdleLocked() {
	if !e.leaving || len(e.running)+len(e.waiting) > 0 {
		return
	}
	for _, a := range e.attempts {
		if a.readers > 0 || a.phase == finished && !a.fullyRead {
			return
		}
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}
