package engine

import (
	"net/http"
	"sort"
	"time"
)

// State tells whether an engine takes new work.
type State string

// The states of an engine. A dead one has crashed and is not back yet.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Sample is the engine's load from a time on.
type Sample struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	State       State     `json:"state"`
	Incarnation uint64    `json:"incarnation"`
}

// Load returns the attempts that the engine has to serve.
func (s Sample) Load() int { return s.Running + s.Waiting }

// Stats count what the engine saw since its start, over all its lives.
type Stats struct {
	Arrivals        int       `json:"arrivals"` // requests for a completion
	Accepted        int       `json:"accepted"`
	Refused         int       `json:"refused"`
	Duplicates      int       `json:"duplicates"` // refused for a live attempt id
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	PeakRunning     int       `json:"peak_running"`
	PeakLoad        int       `json:"peak_load"` // running and waiting
	PromptTokens    int       `json:"prompt_tokens"`
	CachedTokens    int       `json:"cached_tokens"`
	GeneratedTokens int       `json:"generated_tokens"`
	Cancelled       int       `json:"cancelled"`
	Resumed         int       `json:"resumed"`
	Continued       int       `json:"continued"`       // requests with a partial answer
	WrongContinued  int       `json:"wrong_continued"` // whose partial answer is not ours
	Crashes         int       `json:"crashes"`
	Exports         int       `json:"exports"`
	Imports         int       `json:"imports"`
	ArrivalsLeaving int       `json:"arrivals_leaving"` // while leaving
	LastArrival     time.Time `json:"last_arrival"`
	Incarnation     uint64    `json:"incarnation"`
	History         []Sample  `json:"history,omitempty"`
}

// sampleLocked records the load in the history.
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

// sample records the load, when it changes without a request.
func (e *Engine) sample() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sampleLocked()
}

// Stats returns the counts with the history of the load.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running, s.Waiting = len(e.running), len(e.waiting)
	s.Incarnation = e.incarnation
	s.History = append([]Sample(nil), e.history...)
	return s
}

// handleStats answers with the counts. The query since, in RFC 3339, limits
// the history; history=0 leaves it out.
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

// Load is the body of a load report.
type Load struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Capacity    int       `json:"capacity"`
	State       State     `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	ObservedAt  time.Time `json:"observed_at"`
}

// handleLoad answers with the load as it stood the lag ago.
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
