// Package synctest runs tests on a clock that stands still while they work, as
// testing/synctest does, and keeps them from a crash of the runtime.
//
// A goroutine that polls a channel of a timer which has expired runs the timer
// itself. With the race detector, all timers of a bubble run in one context of the
// detector, which must not be used by two processors at once; if it is, the process
// may end with a segmentation violation in the runtime. This package therefore has
// bubbles run on one processor with the race detector. Without it they run on all.
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

// Wait returns when all other goroutines of the caller's bubble are durably blocked.
func Wait() { synctest.Wait() }

// bubbles are those of this process that run now.
var bubbles processors

// processors limits a process to one processor while something runs.
type processors struct {
	mu       sync.Mutex
	running  int
	previous int // processors while nothing runs
}

// enter sets the limit, and returns what lifts it when the last has left.
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
