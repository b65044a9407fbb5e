package engine

import (
	"net/http"
	"sort"
	"time"
)

// State says whether an engine accepts new requests.
type State string

// The states of an engine. A dead engine has crashed and not yet restarted.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Sample is the engine's load from At until the next sample.
type Sample struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	State       State     `json:"state"`
	Incarnation uint64    `json:"incarnation"`
}

// Load returns the number of running and waiting attempts.
func (s Sample) Load() int { return s.Running + s.Waiting }

// Stats holds counters over all incarnations since the engine was created, and
// its current load.
type Stats struct {
	Arrivals        int       `json:"arrivals"` // completion requests
	Accepted        int       `json:"accepted"`
	Refused         int       `json:"refused"`
	Duplicates      int       `json:"duplicates"` // refused because the attempt id was in use
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	PeakRunning     int       `json:"peak_running"`
	PeakLoad        int       `json:"peak_load"` // highest sum of running and waiting attempts
	PromptTokens    int       `json:"prompt_tokens"`
	CachedTokens    int       `json:"cached_tokens"`
	GeneratedTokens int       `json:"generated_tokens"`
	Cancelled       int       `json:"cancelled"`
	Resumed         int       `json:"resumed"`
	Continued       int       `json:"continued"`       // requests that continue a partial answer
	WrongContinued  int       `json:"wrong_continued"` // of these, requests with a partial answer that this engine would not generate
	Crashes         int       `json:"crashes"`
	Exports         int       `json:"exports"`
	Imports         int       `json:"imports"`
	ArrivalsLeaving int       `json:"arrivals_leaving"` // completion requests received while leaving
	LastArrival     time.Time `json:"last_arrival"`
	Incarnation     uint64    `json:"incarnation"`
	History         []Sample  `json:"history,omitempty"`
}

// sampleLocked appends the current load to the history. At twice
// Options.HistoryLimit samples, the older half is dropped.
func (e *Engine) sampleLocked() {
	s := Sample{
		At: time.Now(), Running: len(e.running), Waiting: len(e.waiting),
		State: e.stateLocked(), Incarnation: e.incarnation,
	}
	e.stats.PeakLoad = max(e.stats.PeakLoad, s.Load())
	e.history = append(e.history, s)
	if over := len(e.history) - 2*e.opts.HistoryLimit; over >= 0 {
		e.history = append([]Sample(nil), e.history[e.opts.HistoryLimit:]...)
	}
}

func (e *Engine) stateLocked() State {
	switch {
	case time.Now().Before(e.deadUntil):
		return Dead
	case e.leaving:
		return Leaving
	}
	return Live
}

// sample records the state after a restart, which no request triggers.
func (e *Engine) sample() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampleLocked()
}

// Stats returns the counters and the load history.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running, s.Waiting = len(e.running), len(e.waiting)
	s.Incarnation = e.incarnation
	s.History = append([]Sample(nil), e.history...)
	return s
}

// handleStats responds with the counters. The query parameter since, in RFC 3339
// format, limits the history to samples from that time on; history=0 omits it.
func (e *Engine) handleStats(w http.ResponseWriter, r *http.Request) {
	s := e.Stats()
	if since, err := time.Parse(time.RFC3339Nano, r.FormValue("since")); err == nil {
		n := sort.Search(len(s.History), func(i int) bool { return !s.History[i].At.Before(since) })
		s.History = s.History[n:]
	}
	if r.FormValue("history") == "0" {
		s.History = nil
	}
	writeJSON(w, http.StatusOK, s)
}

// Load is the body of a load report. It describes the load at ObservedAt.
type Load struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Capacity    int       `json:"capacity"`
	State       State     `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	ObservedAt  time.Time `json:"observed_at"`
}

// handleLoad responds with the load as it was LoadLagMillis ago.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	seen := time.Now().Add(-time.Duration(e.faults.LoadLagMillis) * time.Millisecond)
	n := sort.Search(len(e.history), func(i int) bool { return e.history[i].At.After(seen) })
	s := e.history[max(n-1, 0)]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, Load{
		Running: s.Running, Waiting: s.Waiting, Capacity: e.opts.Capacity,
		State: s.State, Incarnation: s.Incarnation, ObservedAt: seen,
	})
}
