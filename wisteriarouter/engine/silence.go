package engine

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
)

// silence ends a request whose engine stays silent for too long. A frozen
// engine keeps its connections open, so that without it a caller would wait
// for ever.
//
// The limit has to allow for a long prompt, so a caller would see its answer
// stand still for all of it when the engine freezes. Therefore an engine that
// has been quiet for much longer than its own pace is asked for its load
// beside the stream: one that is only busy answers, and is waited for.
type silence struct {
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // guards the setting of timer
	timer  *time.Timer
	idle   time.Duration
	alive  func(context.Context) bool // nil for no question
	wrote  atomic.Bool
	last   coordination.MonotonicTime // of the last event
	pace   atomic.Int64               // nanoseconds between two events, as a moving mean
	events atomic.Int32
	asked  atomic.Int32 // questions since the last event
}

const (
	// defaultIdle is the limit of a request that names none.
	defaultIdle = 10 * time.Second

	// leastQuiet and quietGaps tell after what silence an engine is asked;
	// earlyQuiet goes for one whose pace is not known yet.
	leastQuiet = 500 * time.Millisecond
	earlyQuiet = time.Second
	quietGaps  = 20

	// knownEvents is after how many events the pace is known.
	knownEvents = 4

	// mostDoublings keeps the time between two questions from overflowing.
	mostDoublings = 10

	// paceShare is the weight of the latest gap in the pace.
	paceShare = 0.2
)

// watch watches a request of which nothing but its silence is known.
func watch(ctx context.Context, idle time.Duration) *silence {
	return watchEngine(ctx, idle, nil)
}

func watchEngine(ctx context.Context, idle time.Duration, alive func(context.Context) bool) *silence {
	if idle <= 0 {
		idle = defaultIdle
	}
	w := &silence{idle: idle, alive: alive}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.last.Set(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.quiet(), w.run)
	return w
}

// quiet returns the silence after which the engine is asked, each time twice as
// long: many requests may wait at one that is busy.
func (w *silence) quiet() time.Duration {
	if w.alive == nil {
		return w.idle
	}
	quiet := earlyQuiet
	if w.events.Load() >= knownEvents {
		quiet = max(leastQuiet, quietGaps*time.Duration(w.pace.Load()))
	}
	return min(w.idle, quiet<<min(w.asked.Load(), mostDoublings))
}

// run ends the request if the limit has passed or the engine is not alive.
func (w *silence) run() {
	if w.ctx.Err() != nil {
		return
	}
	last := w.last.Offset()
	if w.left() <= 0 || w.alive != nil && !w.alive(w.ctx) && w.last.Offset() == last {
		w.cancel()
		return
	}
	w.asked.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(max(min(w.quiet(), w.left()), time.Millisecond))
}

// left returns what is left of the limit.
func (w *silence) left() time.Duration { return w.idle - w.last.Ago(time.Now()) }

// trace returns a context that notes when a byte of the request may have left.
// A connection that was made but not written to has told the engine nothing.
func (w *silence) trace() context.Context {
	return httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.wrote.Store(true) },
	})
}

// heard notes an event.
func (w *silence) heard() {
	gap := w.last.Set(time.Now())
	if w.events.Add(1) > 1 { // the first gap is the time to the first token
		w.pace.Store(int64((1-paceShare)*float64(w.pace.Load()) + paceShare*float64(gap)))
	}
	w.asked.Store(0)
	w.timer.Reset(w.quiet())
}

func (w *silence) stop() {
	w.timer.Stop()
	w.cancel()
}
