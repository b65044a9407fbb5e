package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// droppedEvent is the number of the log event with which a router reports that a
// connection ended with a request that was read but not answered.
const droppedEvent = 108

// The numbers of the log events with which a router reports a kind of call that a peer
// finds wrong, or that does not succeed.
const (
	callRejectedEvent = 306
	callsFailingEvent = 307
)

// logLine holds the fields of a router's log line that the checks use.
type logLine struct {
	Event  int    `json:"event"`
	Gone   bool   `json:"gone"`
	WaitMs int64  `json:"waited-ms"`
	Time   string `json:"time"`
	Call   string `json:"call"`
	Status string `json:"status"`
}

// maxCallerWait is how long callers keep a connection open at most on which they wait.
const maxCallerWait = callerDeadline + time.Second

// violation returns what a line tells of a violated guarantee, or "" if it tells of none.
// A request whose caller has disconnected may be dropped. A router that has stood still may
// not have read yet that a caller is gone which has waited for longer than any does.
func (l logLine) violation() string {
	gone := l.Gone || time.Duration(l.WaitMs)*time.Millisecond > maxCallerWait
	switch {
	case l.Event == droppedEvent && !gone:
		return "read a request and dropped it at " + l.Time
	case l.Event == callRejectedEvent:
		return "made a call that was rejected at " + l.Time + ": " + l.Call
	case l.Event == callsFailingEvent:
		return "made calls that did not succeed until " + l.Time + ": " + l.Call + ", " + l.Status
	default:
		return ""
	}
}

// checkLogs finds requests that a router read and dropped, and kinds of calls that it made
// in vain, according to its own log.
func (s *soak) checkLogs() {
	for _, r := range s.routers {
		f, err := os.Open(r.logFile())
		if err != nil {
			s.reportViolation("the log of router %d cannot be read: %v", r.n, err)
			continue
		}
		found, err := logViolations(f)
		if err != nil {
			s.reportViolation("the log of router %d cannot be read to its end: %v", r.n, err)
		}
		for _, line := range found {
			s.reportViolation("router %d %s; see %s", r.n, line, r.logFile())
		}
		_ = f.Close() // opened for reading only
	}
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logViolations returns the violations that a router's log tells of. It returns an error
// if the log cannot be read to its end.
func logViolations(log io.Reader) (found []string, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if v := line.violation(); v != "" {
			found = append(found, v)
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

// send sends one request that no route matches, and checks the status of the response. If
// the router drops the request, its log shows that.
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
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the router has closed the connection, or was killed
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable {
		c.load.soak.reportViolation("a request that no route matches got status %d", resp.StatusCode)
	}
}
