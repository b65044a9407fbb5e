package relay

import (
	"bytes"
	"errors"
	"io"
	"math/big"
	"net/http"
	"time"
	"unicode"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/upstream"
)

// stream is the progress of a response, as far as the caller has received it.
type stream struct {
	headSent bool // the headers of a response were sent to the caller
	// began reports that the caller has an event of the stream, from an endpoint whose
	// software has version.
	began   bool
	version coordination.SoftwareVersion
	// recorded reports that other routers can learn of version.
	recorded bool
	// unrepeatable reports that the caller has part of a response that is not an
	// event stream, and that another endpoint therefore cannot continue.
	unrepeatable bool
	// unnamed reports that the last event has no id. Another endpoint would repeat it.
	unnamed      bool
	answering    bool   // the last endpoint has written events for answeringTime
	lastEventID  string // id of the last complete event sent to the caller
	partial      int    // bytes of an incomplete event at the end of the last response
	firstEventAt time.Time
	lastEventAt  time.Time     // arrival of the last event
	longestPause time.Duration // longest time between two events
}

func (s *stream) firstMs(arrived time.Time) int64 {
	if s.firstEventAt.IsZero() {
		return 0
	}
	return s.firstEventAt.Sub(arrived).Milliseconds()
}

// writtenMs returns the time between the first and the last event in milliseconds.
func (s *stream) writtenMs() int64 { return s.lastEventAt.Sub(s.firstEventAt).Milliseconds() }

// recordEvents records the arrival of complete events.
func (s *stream) recordEvents(now time.Time, events []byte) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	ids := readIDs(events, s.unnamed)
	if ids.last != "" {
		s.lastEventID = ids.last
	}
	s.unnamed = ids.unnamed
}

// resumesAfter returns the id of the event after which the next attempt goes on with a
// stream, or an empty string for one that begins.
func (x *exchange) resumesAfter() string {
	if x.stream.lastEventID != "" {
		return x.stream.lastEventID
	}
	return platform.LastEvent(x.r.Header)
}

// resumes reports whether the next response goes on with a stream of which the caller has
// events.
func (x *exchange) resumes() bool {
	return x.stream.headSent || x.route.Resumable && platform.Resumes(x.r.Header)
}

// streamBuffer is the initial buffer size in bytes. It holds several events; most arrive singly.
const streamBuffer = 4 << 10

// forwardStream forwards the events of a response as they arrive, only complete
// ones: an endpoint may fail in the middle of an event, which another endpoint then
// sends in full. If the endpoint that continues a stream starts too early, the
// response ends, so that the caller receives no event twice.
func (x *exchange) forwardStream(resp *upstream.Response) attemptResult {
	resumed := x.resumes() // and no event with an id has come since
	if !x.stream.headSent {
		x.copyHeader(resp)
		x.w.WriteHeader(resp.Status)
		x.stream.headSent = true
	}
	e := eventReader{body: resp.Body, hold: x.hold, buf: make([]byte, 0, streamBuffer)}
	defer func() { x.stream.partial = len(e.rest()) }()
	flush := http.NewResponseController(x.w).Flush
	x.gaps.stream = true
	var first time.Time // of the events of this endpoint
	for {
		together := resp.Body.Buffered()
		events, err := e.next()
		now := time.Now()
		if len(events) > 0 {
			if first.IsZero() && !x.stream.firstEventAt.IsZero() {
				events = bytes.TrimPrefix(events, byteOrderMark) // it may only begin a response
			}
			if resumed {
				id := readIDs(events, false).first
				if !idAfter(id, x.resumesAfter()) {
					return cut
				}
				resumed = id == "" // as comments have none
			}
			if first.IsZero() {
				first = now
			}
			if !x.watch.recordFirstByte(now) {
				return x.watch.result(cut)
			}
			x.recordAnswering(first, now)
			x.recordOrigin()
			x.stream.recordEvents(now, events)
			x.gaps.record(now, events, together)
			if _, werr := x.w.Write(events); werr != nil {
				return cut
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if resp.Undelimited {
				_ = flush() // it takes time to find out whether the response is complete
			}
			return x.streamEnd(resp)
		case err != nil:
			_ = flush() // an aborted response loses what was not sent
			return x.watch.result(cut)
		case len(events) > 0 && !resp.Body.Buffered() && flush() != nil:
			return cut
		}
		x.gaps.writing += time.Since(now)
	}
}

// streamEnd returns the result of a stream that has ended in order after its last
// event. A connection that is closed before the first event has delivered nothing; only
// a stream that is resumed may have none left.
func (x *exchange) streamEnd(resp *upstream.Response) attemptResult {
	empty := resp.Undelimited && x.stream.firstEventAt.IsZero() && !platform.Resumes(x.r.Header)
	if empty || x.endedByDeath(resp) {
		return x.watch.result(cut)
	}
	return delivered
}

// maxEvent bounds the bytes of an event that is not complete. An event of a stream has a few
// hundred bytes.
const maxEvent = 256 << 10

var errEventTooLong = errors.New("relay: an event of the stream is too long")

// eventReader reads complete events.
type eventReader struct {
	body *upstream.Body
	hold *memory.Hold // of the memory beyond the initial buffer
	buf  []byte
	used int // number of bytes of buf already returned
}

// next returns the complete events after one read, which may be none. With io.EOF it
// returns what is left. The error is io.ErrUnexpectedEOF if the body ends inside an
// event, however it was delimited, errEventTooLong if an event exceeds maxEvent, and
// errNoMemory if the client account may not hold the event.
func (e *eventReader) next() ([]byte, error) {
	if len(e.rest()) > maxEvent {
		return nil, errEventTooLong
	}
	e.buf, e.used = append(e.buf[:0], e.rest()...), 0
	if len(e.buf) == cap(e.buf) {
		if !e.hold.Take(memory.Bytes(cap(e.buf))) {
			return nil, errNoMemory
		}
		e.buf = append(make([]byte, 0, 2*cap(e.buf)), e.buf...)
	}
	n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.used = wholeEvents(e.buf)
	if errors.Is(err, io.EOF) {
		if !onlyComments(e.rest()) {
			return e.buf[:e.used], io.ErrUnexpectedEOF
		}
		e.used = len(e.buf)
	}
	return e.buf[:e.used], err
}

// rest returns the bytes that have been read and not returned.
func (e *eventReader) rest() []byte { return e.buf[e.used:] }

// wholeEvents returns the length of the complete events at the start of b. An event
// ends with an empty line.
func wholeEvents(b []byte) int {
	end := 0
	for start := 0; start < len(b); {
		line, next, ok := nextLine(b, start)
		if !ok {
			break
		}
		if len(line) == 0 {
			end = next
		}
		start = next
	}
	return end
}

// onlyComments reports whether b consists of complete lines that are comments.
func onlyComments(b []byte) bool {
	for start := 0; start < len(b); {
		line, next, ok := nextLine(b, start)
		if !ok || !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
		start = next
	}
	return true
}

// nextLine returns the line of b that begins at start, without its end, and the index
// after it. A line ends with CR LF, LF or CR. It returns false if the line is not
// complete.
func nextLine(b []byte, start int) (line []byte, next int, ok bool) {
	n := bytes.IndexAny(b[start:], "\r\n")
	if n < 0 {
		return nil, start, false
	}
	end := start + n
	next = end + 1
	if b[end] == '\r' && next < len(b) && b[next] == '\n' {
		next++
	}
	return b[start:end], next, true
}

// eventIDs holds the ids of events.
type eventIDs struct {
	first, last string // empty if no event has one
	unnamed     bool   // the last event with data has no id
}

// readIDs returns the ids of the complete events in b. They follow on an event that has no id
// if unnamed is set. The last id of an event counts.
func readIDs(b []byte, unnamed bool) eventIDs {
	b = bytes.TrimPrefix(b, byteOrderMark)
	ids := eventIDs{unnamed: unnamed}
	var id string
	var data bool
	for start := 0; ; {
		line, next, ok := nextLine(b, start)
		if !ok {
			return ids
		}
		start = next
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
			ids.add(id, data)
			id, data = "", false
		case string(name) == "id":
			id = usableID(value)
		case string(name) == "data":
			data = true
		}
	}
}

// add adds an event.
func (ids *eventIDs) add(id string, data bool) {
	if id == "" {
		ids.unnamed = ids.unnamed || data
		return
	}
	if ids.first == "" {
		ids.first = id
	}
	ids.last, ids.unnamed = id, false
}

// byteOrderMark may begin an event stream, and is no part of its first event.
var byteOrderMark = []byte("\ufeff")

// usableID returns the id in the value of a field, or an empty string for one that cannot be the
// value of a header.
func usableID(value []byte) string {
	value = bytes.TrimSpace(value)
	if bytes.ContainsFunc(value, unicode.IsControl) {
		return ""
	}
	return string(value)
}

// idAfter reports whether an event id comes after another one. Ids are compared as whole
// numbers of any size. Others, but equal ones, cannot be compared and are assumed to be in
// order.
func idAfter(id, last string) bool {
	if id != "" && id == last {
		return false
	}
	a, okA := new(big.Int).SetString(id, 10)
	b, okB := new(big.Int).SetString(last, 10)
	return !okA || !okB || a.Cmp(b) > 0
}
