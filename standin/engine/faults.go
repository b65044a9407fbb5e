package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults selects the faults that the engine injects. Crash and FreezeMillis take
// effect once. The others stay in force, except that CutStreams and RefuseNext
// count down to zero. Shares range from 0 to 1.
type Faults struct {
	// CutStreams is the number of upcoming streams whose connection breaks
	// after CutAfter tokens. The attempt continues, unless CutDropsAttempt is
	// set.
	CutStreams      int  `json:"cut_streams"`
	CutAfter        int  `json:"cut_after"`
	CutDropsAttempt bool `json:"cut_loses"`
	// Duplicates is the share of chunks that are sent twice.
	Duplicates float64 `json:"duplicates"`
	// Swaps is the share of chunks that are sent after their successor.
	Swaps float64 `json:"swaps"`
	// Strays is the share of chunks that are preceded by a chunk of another
	// attempt.
	Strays float64 `json:"strays"`
	// RefuseNext is the number of upcoming requests refused as not run.
	RefuseNext int `json:"refuse_next"`
	// Refuse is the share of requests refused as not run.
	Refuse float64 `json:"refuse"`
	// Slow multiplies the duration of a step if it is above 1.
	Slow float64 `json:"slow"`
	// LoadLagMillis is the age of the reported load in milliseconds.
	LoadLagMillis int `json:"load_lag_ms"`
	// RestartMillis is the downtime after a crash in milliseconds; 0 means
	// Options.RestartDelay.
	RestartMillis int `json:"restart_ms"`

	// Crash crashes the engine immediately.
	Crash bool `json:"crash,omitempty"`
	// FreezeMillis stops all processing for a time in milliseconds, like a
	// paused process.
	FreezeMillis int `json:"freeze_ms,omitempty"`
}

// SetFaults replaces the persistent faults and triggers the one-time faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faults.Crash, e.faults.FreezeMillis = false, 0
	if f.FreezeMillis > 0 {
		e.frozenUntil = time.Now().Add(time.Duration(f.FreezeMillis) * time.Millisecond)
	}
	if f.Crash {
		e.crashLocked()
	}
}

// Faults returns the persistent faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	next := e.Faults()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&next); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.SetFaults(next)
	writeJSON(w, http.StatusOK, e.Faults())
}

// faultApplies reports true with probability share.
func (e *Engine) faultApplies(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}

// shouldRefuseLocked reports whether a fault refuses the current request.
func (e *Engine) shouldRefuseLocked() bool {
	if e.faults.RefuseNext > 0 {
		e.faults.RefuseNext--
		return true
	}
	return e.faults.Refuse > 0 && e.random.Float64() < e.faults.Refuse
}

// nextStreamCut returns the number of tokens after which the connection of the
// current stream breaks, or a negative number for never, and whether the attempt
// is dropped with it.
func (e *Engine) nextStreamCut() (after int, dropsAttempt bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams <= 0 {
		return -1, false
	}
	e.faults.CutStreams--
	return e.faults.CutAfter, e.faults.CutDropsAttempt
}

// waitWhileFrozen blocks while the engine is frozen, or until callerDone is closed.
// A frozen engine neither reads nor writes.
func (e *Engine) waitWhileFrozen(callerDone <-chan struct{}) {
	for {
		e.mu.Lock()
		pause := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if pause <= 0 {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-callerDone:
			timer.Stop()
			return
		}
	}
}
