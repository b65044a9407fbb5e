package outlier

import (
	"slices"
	"time"
)

// latencyTail keeps the longest times to the first byte of an answer over the
// current and the previous window. A limit from mean and deviation, as TCP uses
// for its retransmission timeout, does not fit: a long prompt delays all
// requests at its engine for half a second, so that a few normal requests take
// ten times the mean. The zero value has no observations.
type latencyTail struct {
	current, previous latencyWindow
}

// latencyWindow holds the observations of one time window.
type latencyWindow struct {
	start   time.Time
	n       int
	longest [tailSize]time.Duration // in descending order
}

const (
	// windowLength is the length of a window. A router of a large fleet sees a
	// kind of request about once a second.
	windowLength = 15 * time.Second
	// tailSize is the number of longest times that are kept.
	tailSize = 4
	// tailShare is the number of answers of which one may exceed the limit, so
	// that a single answer delayed by a lost packet does not set it.
	tailShare = 50
	// limitMargin is the factor by which an answer may exceed the tail before
	// it is overdue. Without it, 24 of 2,000 requests without any fault were
	// taken for overdue and answered within twice the limit; a lookup that was
	// resent for that reason then had no attempt left for a failure.
	limitMargin = 2
	// minAnswers is the number of answers below which there is no limit.
	minAnswers = 8
)

func (t *latencyTail) observe(now time.Time, took time.Duration) {
	t.rotate(now)
	w := &t.current
	w.n++
	for i := range w.longest {
		if took > w.longest[i] {
			took, w.longest[i] = w.longest[i], took
		}
	}
}

// rotate starts a new window when the current one is over.
func (t *latencyTail) rotate(now time.Time) {
	age := now.Sub(t.current.start)
	switch {
	case age < windowLength:
		return
	case age < 2*windowLength:
		t.previous = t.current
	default:
		t.previous = latencyWindow{}
	}
	t.current = latencyWindow{start: now}
}

// limit returns limitMargin times the time that one answer in tailShare has
// exceeded, or the longest time if there were fewer answers than that. It
// returns zero below minAnswers.
func (t *latencyTail) limit(now time.Time) time.Duration {
	t.rotate(now)
	n := t.current.n + t.previous.n
	if n < minAnswers {
		return 0
	}
	all := append(t.current.longest[:], t.previous.longest[:]...)
	slices.Sort(all)
	rank := min(n/tailShare, tailSize-1)
	return limitMargin * all[len(all)-1-rank]
}
