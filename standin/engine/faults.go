package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are what goes wrong at the engine. Crash and FreezeMillis happen
// once; the others last, or are used up by count.
type Faults struct {
	// CutStreams is the number of next streams whose connection breaks after
	// CutAfter tokens. The attempt lives on, unless CutLoses is set.
	CutStreams      int  `json:"cut_streams"`
	CutAfter        int  `json:"cut_after"`
	CutDropsAttempt bool `json:"cut_loses"`
	// Duplicates is the share of chunks that are sent twice.
	Duplicates float64 `json:"duplicates"`
	// Swaps is the share of chunks that come after their successor.
	Swaps float64 `json:"swaps"`
	// Strays is the share of chunks before which a late chunk of another
	// attempt is sent.
	Strays float64 `json:"strays"`
	// RefuseNext is the number of next requests refused as not run.
	RefuseNext int `json:"refuse_next"`
	// Refuse is the share of requests refused as not run.
	Refuse float64 `json:"refuse"`
	// Slow multiplies the time of a step.
	Slow float64 `json:"slow"`
	// LoadLagMillis delays the load report, in milliseconds.
	LoadLagMillis int `json:"load_lag_ms"`
	// RestartMillis is how long the engine is dead after a crash.
	RestartMillis int `json:"restart_ms"`

	// Crash ends the present life at once.
	Crash bool `json:"crash,omitempty"`
	// FreezeMillis stops everything for a time, as a paused process does.
	FreezeMillis int `json:"freeze_ms,omitempty"`
}

// SetFaults replaces the lasting faults and makes the others happen.
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

// Faults returns the lasting faults.
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

// faultApplies is true for a share of calls.
func (e *Engine) faultApplies(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}

// shouldRefuseLocked tells whether a fault refuses the request at hand.
func (e *Engine) shouldRefuseLocked() bool {
	if e.faults.RefuseNext > 0 {
		e.faults.RefuseNext--
		return true
	}
	return e.faults.Refuse > 0 && e.random.Float64() < e.faults.Refuse
}

// nextStreamCut returns after how many tokens the stream at hand breaks; a negative
// number means never.
func (e *Engine) nextStreamCut() (after int, dropsAttempt bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams <= 0 {
		return -1, false
	}
	e.faults.CutStreams--
	return e.faults.CutAfter, e.faults.CutDropsAttempt
}

// waitWhileFrozen waits while the engine is frozen, or until gone is closed. A frozen
// engine neither reads nor writes.
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
