package synctest

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a runtime crash when goroutines poll expired timers
// concurrently.
func TestExpiredTimersArePolledSideBySide(t *testing.T) {
	const bubbles, pollers = 5000, 8
	for range bubbles {
		Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for range pollers {
				wg.Go(func() {
					timer := time.NewTimer(0)
					defer timer.Stop()
					<-timer.C
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a limit that remains after its bubble, or that applies without
// the race detector.
func TestProcessorsWhileABubbleRuns(t *testing.T) {
	usual := runtime.GOMAXPROCS(0)
	want := usual
	if raceDetector {
		want = 1
	}
	Test(t, func(t *testing.T) { assert.Equal(t, runtime.GOMAXPROCS(0), want) })
	assert.Equal(t, runtime.GOMAXPROCS(0), usual)
}

// Guards against a limit that is lifted when the first of several bubbles ends.
func TestLimitHoldsUntilTheLastHasLeft(t *testing.T) {
	usual := runtime.GOMAXPROCS(0)
	var p processors
	first, second := p.enter(), p.enter()
	first()
	assert.Equal(t, runtime.GOMAXPROCS(0), 1)
	second()
	assert.Equal(t, runtime.GOMAXPROCS(0), usual)
}

func TestWait(t *testing.T) {
	Test(t, func(t *testing.T) {
		done := false
		time.AfterFunc(time.Second, func() { done = true })
		time.Sleep(time.Second)
		Wait()
		assert.Assert(t, done)
	})
}
