package engine

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
)

// idleWatchdog cancels a request whose engine sends no event for too long. A
// frozen engine keeps its connections open, so without a limit the caller would
// wait forever.
//
// The timeout has to allow for the processing of a long prompt, so it alone
// would detect a frozen engine late. Therefore, when the engine has been silent
// for much longer than its usual gap between events, the watchdog also requests
// its load report. If that call fails, the request is canceled at once; a busy
// engine responds and is given the whole timeout.
type idleWatchdog struct {
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex // guards the assignment of timer
	timer     *time.Timer
	timeout   time.Duration
	probe     func(context.Context) bool // reports whether the engine responds; nil for no probes
	gotConn   atomic.Bool                // the engine may have received a part of the request
	lastEvent coordination.MonotonicTime // time of the last event, or of the start
	meanGap   atomic.Int64               // moving average of the time between events, in nanoseconds
	events    atomic.Int32
	probes    atomic.Int32 // probes since the last event
}

const (
	// defaultIdleTimeout is the timeout of a request that sets none.
	defaultIdleTimeout = 10 * time.Second

	// An engine is probed after a silence of probeDelayGaps mean gaps, but of
	// at least minProbeDelay. initialProbeDelay applies while the mean gap is
	// unknown.
	minProbeDelay     = 500 * time.Millisecond
	initialProbeDelay = time.Second
	probeDelayGaps    = 20

	// minGapEvents is the number of events after which the mean gap is used.
	minGapEvents = 4

	// maxDoublings keeps the delay between two probes from overflowing.
	maxDoublings = 10

	// latestGapWeight is the weight of the latest gap in the moving average.
	latestGapWeight = 0.2
)

// newWatchdog returns a running watchdog that does not probe the engine.
func newWatchdog(ctx context.Context, timeout time.Duration) *idleWatchdog {
	return newProbingWatchdog(ctx, timeout, nil)
}

// newProbingWatchdog returns a running watchdog that probes the engine with
// probe, or only applies the timeout if probe is nil. A timeout that is not
// positive means defaultIdleTimeout.
func newProbingWatchdog(ctx context.Context, timeout time.Duration, probe func(context.Context) bool) *idleWatchdog {
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	w := &idleWatchdog{timeout: timeout, probe: probe}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.lastEvent.Set(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.probeDelay(), w.onTimer)
	return w
}

// probeDelay returns the silence after which the engine is probed. It doubles
// with each probe since the last event, because many requests may be waiting
// for the same busy engine.
func (w *idleWatchdog) probeDelay() time.Duration {
	if w.probe == nil {
		return w.timeout
	}
	delay := initialProbeDelay
	if w.events.Load() >= minGapEvents {
		delay = max(minProbeDelay, probeDelayGaps*time.Duration(w.meanGap.Load()))
	}
	return min(w.timeout, delay<<min(w.probes.Load(), maxDoublings))
}

// onTimer cancels the request if the timeout has passed or the engine does not
// respond to a probe. Otherwise it schedules the next check.
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

// remaining returns the time left until the timeout.
func (w *idleWatchdog) remaining() time.Duration { return w.timeout - w.lastEvent.Ago(time.Now()) }

// traceContext returns a context that records when a connection is assigned to
// the request. Before that, the engine cannot have received any part of it.
func (w *idleWatchdog) traceContext() context.Context {
	return httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.gotConn.Store(true) },
	})
}

// recordEvent records the arrival of an event and restarts the timer.
func (w *idleWatchdog) recordEvent() {
	gap := w.lastEvent.Set(time.Now())
	if w.events.Add(1) > 1 { // the first gap is the time to the first event
		w.meanGap.Store(int64((1-latestGapWeight)*float64(w.meanGap.Load()) + latestGapWeight*float64(gap)))
	}
	w.probes.Store(0)
	w.timer.Reset(w.probeDelay())
}

// stop stops the timer and cancels the request.
func (w *idleWatchdog) stop() {
	w.timer.Stop()
	w.cancel()
}
