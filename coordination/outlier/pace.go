package outlier

import (
	"slices"
	"time"
)

// latencyTail holds the longest times until the first byte of an answer, over the
// current span and the one before. Mean and deviation, as TCP takes them for its
// time-outs, are no measure here: a long prompt holds up all requests at its
// engine for half a second, and the few that wait ten times the mean belong to
// the usual. The zero value has seen nothing.
type latencyTail struct {
	current, previous latencyWindow
}

// latencyWindow is what was seen in one span of time.
type latencyWindow struct {
	start   time.Time
	n       int
	longest [tailSize]time.Duration // in falling order
}

const (
	// windowLength is the length of a span. A router of a large fleet sees a kind
	// of request about once a second.
	windowLength = 15 * time.Second
	// tailSize is how many of the longest times are kept.
	tailSize = 4
	// tailShare is one in how many answers may take longer than the limit, so
	// that a single one that was held up by a lost packet does not set it.
	tailShare = 50
	// limitMargin is how many times the limit an answer may take before it is
	// overdue. On a calm day, 24 requests of 2,000 were taken for overdue
	// without it and answered within twice the time; a lookup that was sent
	// again then had no attempt left for a failure.
	limitMargin = 2
	// minAnswers is the number of answers below which nothing is known.
	minAnswers = 8
)

func (p *latencyTail) observe(now time.Time, took time.Duration) {
	p.rotate(now)
	s := &p.current
	s.n++
	for i := range s.longest {
		if took > s.longest[i] {
			took, s.longest[i] = s.longest[i], took
		}
	}
}

// rotate begins a new span when the current one is over.
func (p *latencyTail) rotate(now time.Time) {
	age := now.Sub(p.current.start)
	switch {
	case age < windowLength:
		return
	case age < 2*windowLength:
		p.previous = p.current
	default:
		p.previous = latencyWindow{}
	}
	p.current = latencyWindow{start: now}
}

// limit returns paceMargin times the time that one answer in paceShare has
// exceeded, or the longest if there were fewer; zero if too few were seen.
func (p *latencyTail) limit(now time.Time) time.Duration {
	p.rotate(now)
	n := p.current.n + p.previous.n
	if n < minAnswers {
		return 0
	}
	all := append(p.current.longest[:], p.previous.longest[:]...)
	slices.Sort(all)
	rank := min(n/tailShare, tailSize-1)
	return limitMargin * all[len(all)-1-rank]
}
