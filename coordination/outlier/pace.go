package outlier

import (
	"slices"
	"time"
)

// pace holds the longest times until the first byte of an answer, over the
// current span and the one before. Mean and deviation, as TCP takes them for its
// time-outs, are no measure here: a long prompt holds up all requests at its
// engine for half a second, and the few that wait ten times the mean belong to
// the usual. The zero value has seen nothing.
type pace struct {
	now, before paceSpan
}

// paceSpan is what was seen in one span of time.
type paceSpan struct {
	began   time.Time
	n       int
	longest [paceRanks]time.Duration // in falling order
}

const (
	// paceLength is the length of a span. A router of a large fleet sees a kind
	// of request about once a second.
	paceLength = 15 * time.Second
	// paceRanks is how many of the longest times are kept.
	paceRanks = 4
	// paceShare is one in how many answers may take longer than the limit, so
	// that a single one that was held up by a lost packet does not set it.
	paceShare = 50
	// paceMargin is how many times the limit an answer may take before it is
	// overdue. On a calm day, 24 requests of 2,000 were taken for overdue
	// without it and answered within twice the time; a lookup that was sent
	// again then had no attempt left for a failure.
	paceMargin = 2
	// fewAnswers is the number of answers below which nothing is known.
	fewAnswers = 8
)

func (p *pace) observe(now time.Time, took time.Duration) {
	p.turn(now)
	s := &p.now
	s.n++
	for i := range s.longest {
		if took > s.longest[i] {
			took, s.longest[i] = s.longest[i], took
		}
	}
}

// turn begins a new span when the current one is over.
func (p *pace) turn(now time.Time) {
	age := now.Sub(p.now.began)
	switch {
	case age < paceLength:
		return
	case age < 2*paceLength:
		p.before = p.now
	default:
		p.before = paceSpan{}
	}
	p.now = paceSpan{began: now}
}

// limit returns paceMargin times the time that one answer in paceShare has
// exceeded, or the longest if there were fewer; zero if too few were seen.
func (p *pace) limit(now time.Time) time.Duration {
	p.turn(now)
	n := p.now.n + p.before.n
	if n < fewAnswers {
		return 0
	}
	all := append(p.now.longest[:], p.before.longest[:]...)
	slices.Sort(all)
	rank := min(n/paceShare, paceRanks-1)
	return paceMargin * all[len(all)-1-rank]
}
