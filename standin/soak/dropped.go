package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"time"
)

// droppedEvent is the number of the log event with which a router reports that a
// connection ended with a request that was read but not answered.
const droppedEvent = 108

// logLine holds the fields of a router's log line that the check uses.
type logLine struct {
	Event int    `json:"event"`
	Gone  bool   `json:"gone"`
	Time  string `json:"time"`
}

// checkDropped finds requests that a router read and dropped, according to its
// own log.
func (s *soak) checkDropped() {
	for _, r := range s.routers {
		f, err := os.Open(r.logFile())
		if err != nil {
			s.reportViolation("the log of router %d cannot be read: %v", r.n, err)
			continue
		}
		found, err := droppedLines(f)
		if err != nil {
			s.reportViolation("the log of router %d cannot be read to its end: %v", r.n, err)
		}
		for _, line := range found {
			s.reportViolation("router %d read a request and dropped it at %s; see %s", r.n, line.Time, r.logFile())
		}
		_ = f.Close() // opened for reading only
	}
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// droppedLines returns the log lines of dropped requests whose callers were still
// connected. It returns an error if the log cannot be read to its end.
func droppedLines(log io.Reader) (found []logLine, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == droppedEvent && !line.Gone {
			found = append(found, line)
		}
	}
	return found, lines.Err()
}

// slowCaller opens a connection, waits, and sends its request in two parts, as a
// caller behind a lossy network does.
type slowCaller struct {
	load *load
	rng  *rand.Rand
}

// The maximum pauses of a slowCaller before each part of its request.
const (
	maxPauseAfterDial    = 900 * time.Millisecond
	maxPauseBetweenParts = 400 * time.Millisecond
)

func (c *slowCaller) run() {
	for c.load.ctx.Err() == nil {
		ready := *c.load.ready.Load()
		c.send(ready[c.rng.IntN(len(ready))])
	}
}

// send sends one request and ignores the response. If the router drops the
// request, its log shows that.
func (c *slowCaller) send(r *router) {
	conn, err := net.DialTimeout("tcp", r.callerAddress, callerDeadline)
	if err != nil {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxPauseAfterDial)))) // the router is down
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerDeadline)) // if this fails, the write fails as well
	text := "GET /healthz HTTP/1.1\r\nHost: soak.example\r\n\r\n"
	part := 1 + c.rng.IntN(len(text)-1)
	for _, each := range []struct {
		text  string
		pause time.Duration
	}{{text[:part], maxPauseAfterDial}, {text[part:], maxPauseBetweenParts}} {
		time.Sleep(time.Duration(c.rng.Int64N(int64(each.pause))))
		if _, err := io.WriteString(conn, each.text); err != nil {
			return // the router has closed the connection, or was killed
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // waits for the response or the end of the connection
}
