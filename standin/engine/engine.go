// Package engine stands in for a model engine in tests and in the demo. It
// batches continuously, caches prompt prefixes in limited memory, streams a
// deterministic answer, and fails as told. All its time is the runtime's.
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

// Options configure an Engine. The zero value takes the defaults.
type Options struct {
	ID               string
	Capacity         int           // attempts that run at once; 0 means 16
	MaxWaiting       int           // attempts that wait; 0 means no limit
	CacheBlocks      int           // of 16 tokens; 0 means 4096
	Step             time.Duration // time of one token for one attempt; 0 means 10ms
	StepPerRunning   time.Duration // added for each further running attempt; 0 means Step/50
	PrefillPerToken  time.Duration // for each uncached prompt token; 0 means 200µs
	LoadReportLag    time.Duration // of the load report
	EventDelay       time.Duration // of cache events
	EventLoss        float64       // share of cache events that never show
	KVBytesPerToken  int           // simulated size of the KV cache; 0 means 131072
	LinkBytesPerSec  float64       // of KV export and import; 0 means 1.25e9
	UnreadTimeout    time.Duration // how long an attempt lives unread; 0 means 10s
	IgnoreFencing    bool          // takes orders with an old fencing number
	Poison           string        // a message with this text crashes the engine; empty means "POISON"
	RestartDelay     time.Duration // how long it is dead after a crash; 0 means 1s
	Seed             uint64        // of faults that hit a share
	OnCrash          func()        // called at a crash, for example to end the process
	HistoryLimit     int           // kept samples of load; 0 means 100000
	FirstIncarnation uint64        // 0 means the time in milliseconds
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

// Engine is an http.Handler with all calls of a model engine.
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
	idle        chan struct{} // closed when a leaving engine has no work left

	wake   chan struct{}
	closed chan struct{}
}

// New starts an engine and returns it with the function that ends it.
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

// run does one step after another while there is work.
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

// nextStepDelayLocked admits what it can and returns the time until the next step.
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

// admitLocked starts waiting attempts while there is capacity. A poison prompt
// takes the engine down as soon as it starts.
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

// step generates one token for each running attempt that has its prefill.
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

// endLocked takes a out of the batch. It stays known for a while, so that a
// reader whose connection broke can come back.
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

// cacheResultLocked caches the prompt with the answer, which is the prefix of the
// chat's next request.
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

// signal tells run that there may be work.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Incarnation returns the number of the present life.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Leave makes the engine refuse new requests. What it has accepted goes on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.sampleLocked()
	e.checkIdleLocked()
}

// Leaving tells whether Leave was called.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Drain waits after Leave until every accepted attempt has ended and has been
// read to its end. An attempt whose reader lost its connection is waited for as
// long as the engine keeps it.
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
