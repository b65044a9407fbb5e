package relay

import (
	"bytes"
	"net/http"
	"time"

	"wisteriaspool/coordination/capacity"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// Work is what one attempt shows of the speed of its endpoint.
type Work struct {
	// Took is the time from sending the request to the first byte of a single response,
	// or the mean time between two events of a stream; zero if it is not known.
	Took   time.Duration
	Stream bool // whether Took is that of a stream
	// Tokens is the size of the prompt of a single response. The time between events
	// does not depend on it.
	Tokens   int
	Reported capacity.Pace // by the endpoint; zero if it reported none
	Heard    time.Time     // when the report arrived
}

// recordWork passes what an attempt showed of its endpoint's speed to the observer.
// Failures and refusals show no duration of work, but their reports count.
func (x *exchange) recordWork(p Placement, end attemptResult) {
	if p.Observer == nil {
		return
	}
	w := Work{Reported: capacity.Pace(x.reply.Load.Pace) / 100, Heard: x.repliedAt}
	if end == delivered && x.status < http.StatusBadRequest {
		w.Took, w.Stream = x.workTime()
		if !w.Stream {
			w.Tokens = promptTokens(x.metadata.Parts)
		}
	}
	if w.Took > 0 || w.Reported > 0 {
		x.pace = p.Observer.RecordWork(w)
	}
}

// workTime returns the duration of the work of a delivered response, zero if it is not
// known, and whether the response is a stream.
func (x *exchange) workTime() (took time.Duration, stream bool) {
	if x.gaps.stream {
		return x.gaps.mean(), true
	}
	if x.sentAt.IsZero() {
		return 0, false
	}
	return x.repliedAt.Sub(x.sentAt), false
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(parts []platform.PromptPart) (tokens int) {
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

const (
	// minEvents is the least number of events of a stream whose mean gap is used. The
	// gaps of shorter ones vary too much.
	minEvents = 8
	// minGaps is the least number of gaps left without the longest one, after which
	// several events may have arrived at once.
	minGaps = 4
	// maxWriteShare is the largest share 1/n of the measured time that writes to the
	// caller may take. A write takes some 50 us and events are 3 ms or more apart.
	maxWriteShare = 4
)

// eventGaps measures the time between the events of one endpoint. The longest gap and
// the events that end it are left out: a lost packet delays an event by 200 ms, and
// those after it arrive together with it.
type eventGaps struct {
	stream        bool // the response is a stream
	events        int
	first         int // events that arrived first, and together
	began, last   time.Time
	longest       time.Duration
	longestEvents int           // that ended the longest gap
	afterLongest  bool          // the last events arrived together with these
	writing       time.Duration // spent in writes to the caller
}

// record records the arrival of complete events, which may be comments only. together
// reports that at least their beginning had been received when earlier ones were read.
func (g *eventGaps) record(now time.Time, events []byte, together bool) {
	n := countEvents(events)
	if n == 0 {
		return
	}
	gap := now.Sub(g.last)
	switch {
	case g.events == 0:
		g.began, g.first, g.writing = now, n, 0
	case together && g.events == g.first:
		g.first += n
	case together && g.afterLongest:
		g.longestEvents += n
	case gap > g.longest:
		g.longest, g.longestEvents, g.afterLongest = gap, n, true
	case !together:
		g.afterLongest = false
	}
	g.events += n
	g.last = now
}

// mean returns the mean gap, or zero if it is not known. While a caller reads slowly, the
// times at which the router reads events are not those at which they were sent.
func (g *eventGaps) mean() time.Duration {
	gaps := g.events - g.first - g.longestEvents
	total := g.last.Sub(g.began) - g.longest
	if g.events < minEvents || gaps < minGaps || g.writing > total/maxWriteShare {
		return 0
	}
	return total / time.Duration(gaps)
}

// countEvents returns the number of events in b, which holds complete ones and comments.
func countEvents(b []byte) (n int) {
	content := false
	for start := 0; start < len(b); {
		line, next, ok := nextLine(b, start)
		if !ok {
			break
		}
		switch {
		case len(line) == 0 && content:
			n++
			content = false
		case len(line) > 0 && !bytes.HasPrefix(line, []byte(":")):
			content = true
		}
		start = next
	}
	return n
}

// paceFields returns the fields of a log line for the paces of an attempt that are known,
// in percent.
func (x *exchange) paceFields() (fields []event.Field) {
	if x.reply.Load.Pace > 0 {
		fields = append(fields, event.F("reported-pace", x.reply.Load.Pace))
	}
	if x.pace > 0 {
		fields = append(fields, event.F("pace", int(x.pace*100+0.5)))
	}
	return fields
}
