package caller

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a load. Wrong, Partial, Poison.Ran, Actions.Differing,
// Actions.Doubled, Actions.FalseNotRun and Actions.FalseRan must be zero.
type Report struct {
	Seconds    float64      `json:"seconds"`
	Requests   int          `json:"requests"`  // turns of chats
	Returning  int          `json:"returning"` // turns after the first of a chat
	Ran        int          `json:"ran"`
	NotRun     int          `json:"not_run"`
	Unknown    int          `json:"unknown"`
	Wrong      int          `json:"wrong"`
	Partial    int          `json:"partial"`
	Resumes    int          `json:"resumes"`
	Resent     int          `json:"resent"`
	Refusals   Refusals     `json:"refusals"`
	Codes      CodeCounts   `json:"codes"` // last error codes of turns without the outcome ran
	Tokens     int          `json:"tokens"`
	Reuse      Reuse        `json:"reuse"`
	FirstToken Quantiles    `json:"first_token"`
	TokenGap   Quantiles    `json:"per_token"`
	Actions    ActionReport `json:"actions"`
	Poison     PoisonReport `json:"poison"`
	Skew       *Skew        `json:"skew,omitempty"`
	Counters   []Rate       `json:"counters,omitempty"`
	Unchecked  []string     `json:"unchecked,omitempty"` // reasons why checks could not be made
}

// CodeCounts counts answers by error code.
type CodeCounts map[string]int

// String lists the counts in order of their codes, with "none" for the empty
// code.
func (c CodeCounts) String() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(c)) {
		name := code
		if name == "" {
			name = "none"
		}
		parts = append(parts, fmt.Sprintf("%d %s", c[code], name))
	}
	return strings.Join(parts, ", ")
}

// Refusals counts responses that refused a request.
type Refusals struct {
	WithRetryAfter    int `json:"with_retry_after"`
	WithoutRetryAfter int `json:"without_retry_after"`
}

func (r *Refusals) add(x refusal) {
	if x.hasRetry {
		r.WithRetryAfter++
	} else {
		r.WithoutRetryAfter++
	}
}

// Reuse counts the prompt tokens of turns after a chat's first, and how many of
// them were in the engine's cache.
type Reuse struct {
	PromptTokens int     `json:"prompt_tokens"`
	CachedTokens int     `json:"cached_tokens"`
	Ratio        float64 `json:"ratio"`
}

// Quantiles summarizes latencies, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// ActionReport counts actions, each of which was sent through two routers.
type ActionReport struct {
	Sent        int        `json:"sent"`
	Ran         int        `json:"ran"`     // reported as run by at least one router
	NotRun      int        `json:"not_run"` // reported as not run by both routers
	Unknown     int        `json:"unknown"` // all others
	Differing   int        `json:"differing"`
	Checked     int        `json:"checked"`       // compared with the services' records
	Doubled     int        `json:"doubled"`       // ran more than once
	FalseNotRun int        `json:"false_not_run"` // ran, but reported as not run
	FalseRan    int        `json:"false_ran"`     // never ran, but reported as run
	Refusals    Refusals   `json:"refusals"`
	Codes       CodeCounts `json:"codes"`
}

// Failures returns the number of violated guarantees in the report.
func (r Report) Failures() int {
	a := r.Actions
	return r.Wrong + r.Partial + r.Poison.Ran + a.Differing + a.Doubled + a.FalseNotRun + a.FalseRan
}

// The histograms record microseconds up to ten minutes, with three significant
// digits.
const (
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// recorder accumulates the report while the load runs.
type recorder struct {
	mu         sync.Mutex
	totals     Report
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		totals:     Report{Codes: CodeCounts{}, Actions: ActionReport{Codes: CodeCounts{}}, Poison: PoisonReport{Codes: CodeCounts{}}},
		firstToken: hdrhistogram.New(1, maxLatency, significantDigits),
		tokenGap:   hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

func (r *recorder) addTurn(t *turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.totals
	s.Requests++
	s.Resumes += t.resumes
	s.Resent += t.resent
	for _, x := range t.refusals {
		s.Refusals.add(x)
	}
	switch t.fault {
	case wrongAnswer:
		s.Wrong++
	case partialAnswer:
		s.Partial++
	}
	if t.returning {
		s.Returning++
	}
	switch t.outcome {
	case ran:
		s.Ran++
		r.addRanLocked(t)
		return
	case notRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	s.Codes[t.code]++
}

func (r *recorder) addRanLocked(t *turn) {
	r.totals.Tokens += t.offset
	if t.returning {
		r.totals.Reuse.PromptTokens += t.usage.PromptTokens
		r.totals.Reuse.CachedTokens += t.usage.PromptDetails.CachedTokens
	}
	if !t.stream {
		return
	}
	recordLatency(r.firstToken, t.firstToken)
	for _, gap := range t.gaps {
		recordLatency(r.tokenGap, gap)
	}
}

// recordLatency records d, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatency)) // cannot fail: the value is in range
}

func (r *recorder) addAction(a *action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.totals.Actions
	s.Sent++
	switch result := a.result(); {
	case result.ran:
		s.Ran++
	case result.notRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if a.differs() {
		s.Differing++
	}
	for _, answer := range a.answers {
		if answer.refusal != nil {
			s.Refusals.add(*answer.refusal)
			s.Codes[answer.code]++
		}
	}
}

func (r *recorder) report(elapsed time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.Seconds = elapsed.Seconds()
	if out.Reuse.PromptTokens > 0 {
		out.Reuse.Ratio = float64(out.Reuse.CachedTokens) / float64(out.Reuse.PromptTokens)
	}
	out.FirstToken, out.TokenGap = quantiles(r.firstToken), quantiles(r.tokenGap)
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("requests", "%d in %.1f s (%d returning)", r.Requests, r.Seconds, r.Returning)
	row("outcomes", "%d ran, %d not run, %d unknown", r.Ran, r.NotRun, r.Unknown)
	if len(r.Codes) > 0 {
		row("error codes", "%s", r.Codes)
	}
	row("wrong answers", "%d", r.Wrong)
	row("partial answers", "%d", r.Partial)
	row("cache reuse", "%.3f (%d of %d prompt tokens of returning chats)", r.Reuse.Ratio, r.Reuse.CachedTokens, r.Reuse.PromptTokens)
	row("first token", "%s", r.FirstToken)
	row("per token", "%s", r.TokenGap)
	row("resumes", "%d, resent %d", r.Resumes, r.Resent)
	row("refusals", "%d with Retry-After, %d without", r.Refusals.WithRetryAfter, r.Refusals.WithoutRetryAfter)
	if a := r.Actions; a.Sent > 0 {
		row("actions", "%d sent through two routers each: %d ran, %d not run, %d unknown", a.Sent, a.Ran, a.NotRun, a.Unknown)
		row("actions checked", "%d: %d doubled, %d falsely not run, %d falsely ran, %d differing answers", a.Checked, a.Doubled, a.FalseNotRun, a.FalseRan, a.Differing)
		row("action refusals", "%d with Retry-After, %d without", a.Refusals.WithRetryAfter, a.Refusals.WithoutRetryAfter)
	}
	if p := r.Poison; p.Requests > 0 {
		row("poison requests", "%d sent %d times: %d final refusals, %d ran, %d engine crashes", p.Requests, p.Sent, p.Final, p.Ran, p.Crashes)
		row("poison codes", "%s", p.Codes)
	}
	if s := r.Skew; s != nil {
		row("load skew", "max/mean p50 %.2f, p99 %.2f, worst %.2f", s.P50, s.P99, s.Worst)
		row("over the bound", "%d of %d placements, by %d at most; %d of %d samples; bound ceil(%.2f x mean)", s.PlacementsOver, s.Placements, s.MaxExcess, s.SamplesOver, s.Samples, s.Bound)
	}
	for _, c := range r.Counters {
		row(c.Name, "%.1f a second for each of %d routers, highest %.1f", c.Mean, c.Routers, c.Highest)
	}
	for _, reason := range r.Unchecked {
		row("not checked", "%s", reason)
	}
	return t.Flush()
}

// String formats q as in the text report.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms", q.P50, q.P95, q.P99, q.Max)
}
