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
	begun bool   // the caller has got the head of an answer
	last  string // id of the last event that the caller has whole
	first time.Time
	moved time.Time     // when the last event came
	pause time.Duration // longest between two events
}

func (s *stream) firstMs(arrived time.Time) int64 {
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(arrived).Milliseconds()
}

// note notes that events have come.
func (s *stream) note(now time.Time, events []byte) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.pause = max(s.pause, now.Sub(s.moved))
	}
	s.moved = now
	if id := lastID(events); id != "" {
		s.last = id
	}
}

// streamBuffer holds some events; most come one by one.
const streamBuffer = 4 << 10

// handStream hands on the events of an answer as they come, each in one piece:
// an endpoint may stop in the middle of an event, and the caller must not get
// a part of one that another endpoint then sends in full.
func (x *exchange) handStream(resp *upstream.Response) ending {
	if !x.stream.begun {
		x.head(resp)
		x.w.WriteHeader(resp.Status)
		x.stream.begun = true
	}
	flush := http.NewResponseController(x.w).Flush
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ended := isEnd(err)
		whole := wholeEvents(buf)
		if ended {
			whole = len(buf)
		}
		if whole > 0 {
			x.stream.note(time.Now(), buf[:whole])
			if _, werr := x.w.Write(buf[:whole]); werr != nil {
				return cut
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		switch {
		case ended:
			return delivered
		case err != nil:
			return cut
		case whole > 0 && !resp.Body.Buffered():
			if flush() != nil {
				return cut
			}
		}
	}
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
func lastID(b []byte) string {
	i := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case i >= 0:
		b = b[i+len("\nid:"):]
	case bytes.HasPrefix(b, []byte("id:")):
		b = b[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(b, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// after reports whether an event's id comes after another one's.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }
