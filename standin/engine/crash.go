package engine

import (
	"strings"
	"time"
)

// hasPoisonPrompt reports whether a's prompt contains the text that crashes the
// engine.
func (e *Engine) hasPoisonPrompt(a *attempt) bool {
	for _, m := range a.request.Messages {
		if strings.Contains(string(m.Content), e.opts.Poison) {
			return true
		}
	}
	return false
}

// Crash simulates an immediate crash and restart. Connections break, attempts,
// orders and the cache are lost, and a new incarnation answers after the restart
// delay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	now := time.Now()
	e.stats.Crashes++
	e.deadUntil = now.Add(e.restartDelayLocked())
	e.incarnation = max(e.incarnation+1, uint64(e.deadUntil.UnixMilli()))
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.attempts = make(map[string]*attempt)
	e.waiting, e.running = nil, nil
	e.cache = newPrefixCache(e.opts.CacheBlocks)
	e.events, e.eventTimes, e.eventSeq = nil, nil, 0
	e.orders = orderLog{}
	e.sampleLocked()
	time.AfterFunc(time.Until(e.deadUntil), e.sample)
	e.checkIdleLocked()
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

func (e *Engine) restartDelayLocked() time.Duration {
	if e.faults.RestartMillis > 0 {
		return time.Duration(e.faults.RestartMillis) * time.Millisecond
	}
	return e.opts.RestartDelay
}
