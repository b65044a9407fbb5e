// Package calls watches the outcomes of calls to other processes by kind. It tells a kind
// of call that the peer finds wrong, or that does not succeed although it is made, from
// single failures.
package calls

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

// Kind is a kind of call, as named in logs and metrics.
type Kind string

// Problem says what is wrong with a kind of call.
type Problem int

// The problems of a kind.
const (
	None Problem = iota
	// Failing means that no call has succeeded for longer than the bound, although
	// calls were made.
	Failing
	// Rejected means that the peer found a call to be wrong.
	Rejected
)

// String returns the name of p that logs and metrics use.
func (p Problem) String() string {
	switch p {
	case Failing:
		return "failing"
	case Rejected:
		return "rejected"
	default:
		return "none"
	}
}

// Report describes the calls of one kind since the start.
type Report struct {
	Kind      Kind
	Problem   Problem
	Succeeded int
	Failed    int // without those that were rejected
	Rejected  int
	// FailingFor is the time from the first failure since the last success until now. It
	// is zero if the last call succeeded.
	FailingFor time.Duration
	Last       kv.Status // of the last call that did not succeed
}

// Config configures a Watcher. All fields but Report are required.
type Config struct {
	// Bound is how long the calls of a kind may fail.
	Bound time.Duration
	// Interval is the time between two reports of a kind that still has a problem.
	Interval time.Duration
	// Report, if set, is called for a kind that has a problem, after one of its calls.
	Report func(Report)
}

// Watcher records calls. It is safe for concurrent use.
type Watcher struct {
	cfg   Config
	mu    sync.Mutex
	kinds map[Kind]*record
}

// record holds the calls of one kind.
type record struct {
	succeeded, failed, rejected int
	failing                     time.Time // first failure since the last success, or zero
	lastRejected                time.Time
	last                        kv.Status
	reported                    map[Problem]time.Time
}

// NewWatcher returns a Watcher without calls.
func NewWatcher(cfg Config) *Watcher { return &Watcher{cfg: cfg, kinds: make(map[Kind]*record)} }

// Record records a call. A conflict counts as a success.
func (w *Watcher) Record(k Kind, s kv.Status) {
	if r, due := w.record(k, s); due && w.cfg.Report != nil {
		w.cfg.Report(r)
	}
}

// record records a call and returns the report that is due after it.
func (w *Watcher) record(k Kind, s kv.Status) (report Report, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.kinds[k]
	if r == nil {
		r = &record{reported: make(map[Problem]time.Time)}
		w.kinds[k] = r
	}
	now := time.Now()
	if s == kv.Applied || s == kv.Conflict {
		r.succeeded++
		r.failing = time.Time{}
		return Report{}, false
	}
	r.last = s
	if r.failing.IsZero() {
		r.failing = now
	}
	if s == kv.Rejected {
		r.rejected++
		r.lastRejected = now
	} else {
		r.failed++
	}
	report = w.report(k, r, now)
	if report.Problem == None {
		return Report{}, false
	}
	if last, ever := r.reported[report.Problem]; ever && now.Sub(last) < w.cfg.Interval {
		return Report{}, false
	}
	r.reported[report.Problem] = now
	return report, true
}

// report returns the report on a kind. The caller holds w.mu.
func (w *Watcher) report(k Kind, r *record, now time.Time) Report {
	rep := Report{Kind: k, Succeeded: r.succeeded, Failed: r.failed, Rejected: r.rejected, Last: r.last}
	if !r.failing.IsZero() {
		rep.FailingFor = now.Sub(r.failing)
	}
	switch {
	case r.rejected > 0 && (now.Sub(r.lastRejected) < w.cfg.Interval || !r.failing.After(r.lastRejected) && !r.failing.IsZero()):
		rep.Problem = Rejected
	case rep.FailingFor > w.cfg.Bound:
		rep.Problem = Failing
	}
	return rep
}

// Reports returns the reports on all kinds of which a call was made, in order.
func (w *Watcher) Reports() []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	all := make([]Report, 0, len(w.kinds))
	for k, r := range w.kinds {
		all = append(all, w.report(k, r, now))
	}
	slices.SortFunc(all, func(a, b Report) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return all
}
