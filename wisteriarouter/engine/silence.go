package engine

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
)

// idleWatchdog ends a request whose engine stays silent for too long. A frozen
// engine keeps its connections open, so that without it a caller would wait
// for ever.
//
// The limit has to allow for a long prompt, so a caller would see its answer
// stand still for all of it when the engine freezes. Therefore an engine that
// has been quiet for much longer than its own pace is asked for its load
// beside the stream: one that is only busy answers, and is waited for.
type idleWatchdog struct {
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex // guards the setting of timer
	timer     *time.Timer
	timeout   time.Duration
	probe     func(context.Context) bool // nil for no question
	gotConn   atomic.Bool
	lastEvent coordination.MonotonicTime // of the last event
	meanGap   atomic.Int64               // nanoseconds between two events, as a moving mean
	events    atomic.Int32
	probes    atomic.Int32 // questions since the last event
}

const (
	// defaultIdleTimeout is the limit of a request that names none.
	defaultIdleTimeout = 10 * time.Second

	// minProbeDelay and quietGaps tell after what silence an engine is asked;
	// earlyQuiet goes for one whose pace is not known yet.
	minProbeDelay     = 500 * time.Millisecond
	initialProbeDelay = time.Second
	probeDelayGaps    = 20

	// minGapEvents is after how many events the pace is known.
	minGapEvents = 4

	// maxDoublings keeps the time between two questions from overflowing.
	maxDoublings = 10

	// latestGapWeight is the weight of the latest gap in the pace.
	latestGapWeight = 0.2
)

// newWatchdog watches a request of which nothing but its silence is known.
func newWatchdog(ctx context.Context, idle time.Duration) *idleWatchdog {
	return newProbingWatchdog(ctx, idle, nil)
}

func newProbingWatchdog(ctx context.Context, idle time.Duration, alive func(context.Context) bool) *idleWatchdog {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	w := &idleWatchdog{timeout: idle, probe: alive}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.lastEvent.Set(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.probeDelay(), w.onTimer)
	return w
}

// probeDelay returns the silence after which the engine is asked, each time twice as
// long: many requests may wait at one that is busy.
func (w *idleWatchdog) probeDelay() time.Duration {
	if w.probe == nil {
		return w.timeout
	}
	quiet := initialProbeDelay
	if w.events.Load() >= minGapEvents {
		quiet = max(minProbeDelay, probeDelayGaps*time.Duration(w.meanGap.Load()))
	}
	return min(w.timeout, quiet<<min(w.probes.Load(), maxDoublings))
}

// onTimer ends the request if the limit has passed or the engine is not alive.
func (w *idleWatchdog) onTimer() {
	if w.ctx.Err() != nil {
		return
	}
	last := w.lastEvent.Offset()
	if w.remaining() <= 0 || w.probe != nil && !w.probe(w.ctx) && w.lastEvent.Offset() == last {
		w.cancel()
		return
	}
	w.probes.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(max(min(w.probeDelay(), w.remaining()), time.Millisecond))
}

// remaining returns what is remaining of the limit.
func (w *idleWatchdog) remaining() time.Duration { return w.timeout - w.lastEvent.Ago(time.Now()) }

// traceContext returns a context that notes when a byte of the request may have left.
// A connection that was made but not written to has told the engine nothing.
func (w *idleWatchdog) traceContext() context.Context {
	return httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.gotConn.Store(true) },
	})
}

// recordEvent notes an event.
func (w *idleWatchdog) recordEvent() {
	gap := w.lastEvent.Set(time.Now())
	if w.events.Add(1) > 1 { // the first gap is the time to the first token
		w.meanGap.Store(int64((1-latestGapWeight)*float64(w.meanGap.Load()) + latestGapWeight*float64(gap)))
	}
	w.probes.Store(0)
	w.timer.Reset(w.probeDelay())
}

func (w *idleWatchdog) stop() {
	w.timer.Stop()
	w.cancel()
}
