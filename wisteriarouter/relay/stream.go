package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"wisteriaspool/wisteriarouter/upstream"
)

// stream is how far the caller has got of a series of events.
type stream struct {
	headSent bool // the caller has got the head of an answer
	// unrepeatable says that the caller has got a part of an answer that is no
	// series of events, which cannot go on elsewhere.
	unrepeatable bool
	lastEventID  string // id of the last event that the caller has whole
	firstEventAt time.Time
	lastEventAt  time.Time     // when the last event came
	longestPause time.Duration // longest between two events
}

func (s *stream) firstMs(arrived time.Time) int64 {
	if s.firstEventAt.IsZero() {
		return 0
	}
	return s.firstEventAt.Sub(arrived).Milliseconds()
}

// recordEvents notes that events have come.
func (s *stream) recordEvents(now time.Time, events []byte) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if id := lastID(events); id != "" {
		s.lastEventID = id
	}
}

// streamBuffer holds some events; most come one by one.
const streamBuffer = 4 << 10

// forwardStream hands on the events of an answer as they come, each in one piece:
// an endpoint may stop in the middle of an event, and the caller must not get
// a part of one that another endpoint then sends in full. Nor does it get an
// event twice, if an endpoint that is to go on begins too early.
func (x *exchange) forwardStream(resp *upstream.Response) attemptResult {
	goesOn := x.stream.headSent
	if !goesOn {
		x.copyHeader(resp)
		x.w.WriteHeader(resp.Status)
		x.stream.headSent = true
	}
	e := eventReader{body: resp.Body, buf: make([]byte, 0, streamBuffer)}
	flush := http.NewResponseController(x.w).Flush
	for {
		events, err := e.next()
		if len(events) > 0 {
			if goesOn && !idAfter(firstID(events), x.stream.lastEventID) {
				return cut
			}
			goesOn = false
			now := time.Now()
			x.watch.recordFirstByte(now)
			x.stream.recordEvents(now, events)
			if _, werr := x.w.Write(events); werr != nil {
				return cut
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return delivered
		case err != nil:
			return x.watch.result(cut)
		case len(events) > 0 && !resp.Body.Buffered() && flush() != nil:
			return cut
		}
	}
}

// eventReader reads whole events.
type eventReader struct {
	body *upstream.Body
	buf  []byte
	used int // bytes of buf that were returned
}

// next returns the whole events that one read has brought, perhaps none. With
// io.EOF it returns all that is left.
func (e *eventReader) next() ([]byte, error) {
	e.buf = append(e.buf[:0], e.buf[e.used:]...)
	e.used = 0
	if len(e.buf) == cap(e.buf) {
		e.buf = append(e.buf, 0)[:len(e.buf)]
	}
	n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.used = wholeEvents(e.buf)
	if errors.Is(err, io.EOF) {
		e.used = len(e.buf)
	}
	return e.buf[:e.used], err
}

// wholeEvents returns the length of the whole events at the start of b. An
// event ends with an empty line.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID returns the id of the last event in b that has one.
func lastID(b []byte) string { return idAt(b, bytes.LastIndex(b, []byte("\nid:"))) }

// firstID returns the id of the first event in b that has one.
func firstID(b []byte) string {
	if bytes.HasPrefix(b, []byte("id:")) {
		return idAt(b, -1)
	}
	return idAt(b, bytes.Index(b, []byte("\nid:")))
}

// idAt returns the id whose line begins behind the line end at i. A negative i
// stands for the start of b.
func idAt(b []byte, i int) string {
	line, ok := bytes.CutPrefix(b[i+1:], []byte("id:"))
	if !ok {
		return ""
	}
	line, _, _ = bytes.Cut(line, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// idAfter reports whether an event's id comes idAfter another one's. Ids that are
// no numbers cannot be compared and are taken to be in order.
func idAfter(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
