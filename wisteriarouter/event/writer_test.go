package event_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/event"
)

// blockableOutput is an output whose writes block until a channel is closed.
type blockableOutput struct {
	mu      sync.Mutex
	blocked chan struct{} // writes wait until it is closed
	text    strings.Builder
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	<-o.blocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *blockableOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func newTestLog(out io.Writer) (event.Log, *event.Writer, func()) {
	w, stop := event.NewWriter(out)
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	w.Attach(logger)
	return event.NewLog(logger), w, stop
}

// Nothing reads the log, and the pipe is full. A request that waited for its
// line to be written would be delayed, and so would all requests after it.
func TestBlockedOutputDoesNotBlockEmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockableOutput{blocked: make(chan struct{})}
		log, w, stop := newTestLog(out)
		start := time.Now()
		for second := range 60 {
			for range 200 {
				log.Emit(event.RelayPlaced)
			}
			time.Sleep(time.Until(start.Add(time.Duration(second+1) * time.Second)))
		}
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Assert(t, w.Dropped() > 0)
		// Warnings have their own queue.
		before := w.Dropped()
		log.Emit(event.RelayCut, event.F("request", "last"))
		assert.Equal(t, w.Dropped(), before)
		close(out.blocked)
		stop()
		assert.Assert(t, strings.Contains(out.String(), `"request":"last"`))
		first := strings.Index(out.String(), `"relay-cut"`)
		assert.Assert(t, first < 1000, "a warning was written after informational lines")
	})
}

// A router that stops while nothing reads its log must not hang.
func TestStopTimesOutOnBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockableOutput{blocked: make(chan struct{})}
		log, _, stop := newTestLog(out)
		log.Emit(event.Started)
		start := time.Now()
		stop()
		assert.Assert(t, time.Since(start) <= time.Second)
		close(out.blocked)
	})
}

func TestStopFlushesQueue(t *testing.T) {
	out := &blockableOutput{blocked: make(chan struct{})}
	close(out.blocked)
	log, w, stop := newTestLog(out)
	for range 100 {
		log.Emit(event.RelayPlaced)
	}
	stop()
	assert.Equal(t, strings.Count(out.String(), "\n"), 100)
	assert.Equal(t, w.Dropped(), uint64(0))
}

// Many refused requests flood the log with one kind of event. The rate of its
// lines is limited, and the number of dropped lines is logged.
func TestFloodOfOneKindIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockableOutput{blocked: make(chan struct{})}
		close(out.blocked)
		log, _, stop := newTestLog(out)
		for range 5000 {
			log.Emit(event.RelayRefused)
		}
		log.Emit(event.RelayCut)
		time.Sleep(time.Second)
		log.Emit(event.RelayRefused)
		stop()
		assert.Equal(t, strings.Count(out.String(), `"relay-refused"`), 301+1, "300 in the first second, one after, one in the count")
		assert.Equal(t, strings.Count(out.String(), `"relay-cut"`), 1)
		assert.Assert(t, strings.Contains(out.String(), `"count":4700`), out.String()[len(out.String())-300:])
	})
}

// A request at full load logs two lines. Writing them synchronously would add
// the time of the write to the request, and a blocked write would block the
// request.
func BenchmarkEmit(b *testing.B) {
	log, _, stop := newTestLog(io.Discard)
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(event.RelayPlaced,
			event.F("request", "9c41d07be2a35f68"), event.F("endpoint", "i-7f3a91c2"), event.F("rank", 0),
			event.F("key", "5c1e07a2"), event.F("place-ms", 3), event.F("left-ms", 11980))
	}
}

// BenchmarkLine measures the cost of a line to the request that logs it: the
// line is formatted and queued, and written to the output later.
func BenchmarkLine(b *testing.B) {
	w, stop := event.NewWriter(io.Discard)
	defer stop()
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	w.Attach(logger)
	b.ReportAllocs()
	for b.Loop() {
		logger.WithFields(logrus.Fields{
			"event": 806, "request": "9c41d07be2a35f68", "endpoint": "i-7f3a91c2", "rank": 0,
			"key": "5c1e07a2", "place-ms": 3, "left-ms": 11980, "router": "edge-1",
		}).Info("relay-placed")
	}
}
