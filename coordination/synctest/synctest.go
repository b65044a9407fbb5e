// Package synctest wraps testing/synctest, which runs tests on a fake clock,
// and works around a crash of the Go runtime.
//
// A goroutine that polls the channel of an expired timer runs the timer itself.
// With the race detector, all timers of a bubble run in one context of the
// detector, which must not be used by two processors at once; otherwise the
// process may end with a segmentation violation in the runtime. With the race
// detector, bubbles therefore run on one processor; without it they run on all.
package synctest

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a new bubble.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		defer bubbles.enter()()
	}
	synctest.Test(t, f)
}

// Wait waits until all other goroutines of the caller's bubble are durably
// blocked.
func Wait() { synctest.Wait() }

// bubbles limits the processors while any bubble of this process runs.
var bubbles processors

// processors limits the process to one processor while at least one user is
// active.
type processors struct {
	mu       sync.Mutex
	running  int
	previous int // GOMAXPROCS while nothing is running
}

// enter applies the limit and returns a function that lifts it once the last
// user has left.
func (p *processors) enter() (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == 0 {
		p.previous = runtime.GOMAXPROCS(1)
	}
	p.running++
	return p.leave
}

func (p *processors) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if p.running == 0 {
		runtime.GOMAXPROCS(p.previous)
	}
}
