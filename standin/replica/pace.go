package replica

import (
	"fmt"
	"net/http"
	"time"
)

// Reports selects what a replica reports about its load in X-Instance-Load.
type Reports int

// The reports of a replica. A false one has four numbers too, the last of which is always
// Options.FalsePace.
const (
	ThreeNumbers  Reports = iota // running, waiting and slots
	CorrectReport                // these, and its pace in percent
	FalseReport
	NoReport
)

// SetPace makes work take pace times Options.Delay from now on, in place of Options.Pace and
// Options.SlowPace. What a request waits for at this moment is not prolonged.
func (r *Replica) SetPace(pace float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setPace = pace
}

// Running returns the number of requests that hold a slot.
func (r *Replica) Running() int { return r.runningCount() }

// pace returns how long work takes now, as a multiple of Options.Delay. The caller holds
// r.mu.
func (r *Replica) pace(now time.Time) float64 {
	pace := 1.0
	switch {
	case r.setPace > 0:
		pace = r.setPace
	case r.opts.PacePeriod > 0 && now.Sub(r.startedAt)/r.opts.PacePeriod%2 == 1:
		pace = r.opts.SlowPace
	case r.opts.Pace > 0:
		pace = r.opts.Pace
	}
	if above := r.running - r.opts.SlowAbove; r.opts.SlowAbove > 0 && above > 0 {
		pace *= 1 + r.opts.SlowBy*float64(above)
	}
	return pace
}

// delay returns Options.Delay at the current pace.
func (r *Replica) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(r.opts.Delay) * r.pace(time.Now()))
}

// setReport sets the header that reports the load.
func (r *Replica) setReport(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Waiting requests are reported as zero, as before there were reports of the pace.
	load := fmt.Sprintf("%d,0,%d", r.running, r.opts.Slots)
	switch r.opts.Reports {
	case NoReport:
		return
	case CorrectReport:
		load += fmt.Sprintf(",%.0f", 100*r.pace(time.Now()))
	case FalseReport:
		load += fmt.Sprintf(",%d", r.opts.FalsePace)
	}
	h.Set("X-Instance-Load", load)
}
