package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// Numbers of the log events of a router that tell what it has sent where.
const (
	startedEvent = 100
	attemptEvent = 800
	placedEvent  = 806
)

// attemptLine holds the fields of a router's log line on an attempt.
type attemptLine struct {
	Event    int       `json:"event"`
	Time     time.Time `json:"time"`
	Request  string    `json:"request"`
	Attempt  int       `json:"attempt"`
	Endpoint string    `json:"endpoint"`
	Ended    string    `json:"ended"`
	Leaving  bool      `json:"leaving"`
	PauseMs  int       `json:"asked-pause-ms"`
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// What may still reach an endpoint from a router that it has told to send nothing.
const (
	leavingNotice = 2 * time.Second // after its word that it leaves
	pauseNotice   = 500 * time.Millisecond
	maxInPause    = 2 // requests, between pauseNotice and the end of the pause
)

// sendLog is what one lifetime of a router has sent, and what endpoints have told it.
type sendLog struct {
	placed map[attemptKey]time.Time
	sent   map[string][]time.Time // by endpoint
	left   map[string]time.Time   // first word of each endpoint that leaves
	pauses []askedPause
}

// askedPause is a pause that an endpoint has asked for.
type askedPause struct {
	endpoint string
	at       time.Time
	length   time.Duration
}

func newSendLog() *sendLog {
	return &sendLog{placed: make(map[attemptKey]time.Time), sent: make(map[string][]time.Time), left: make(map[string]time.Time)}
}

// add adds a line of the log.
func (l *sendLog) add(line attemptLine) {
	key := attemptKey{line.Request, line.Attempt}
	if line.Event == placedEvent {
		l.placed[key] = line.Time
		return
	}
	if line.Ended != "withheld" && line.Ended != "unsent" && !l.placed[key].IsZero() {
		l.sent[line.Endpoint] = append(l.sent[line.Endpoint], l.placed[key])
	}
	if _, known := l.left[line.Endpoint]; line.Leaving && !known {
		l.left[line.Endpoint] = line.Time
	}
	if line.PauseMs > 0 {
		l.pauses = append(l.pauses, askedPause{line.Endpoint, line.Time, time.Duration(line.PauseMs) * time.Millisecond})
	}
}

// violations returns what the router has sent to endpoints that had told it not to.
func (l *sendLog) violations() (all []string) {
	for id, at := range l.left {
		if n := l.sentBetween(id, at.Add(leavingNotice), at.Add(time.Hour)); n > 0 {
			all = append(all, fmt.Sprintf("sent %d requests to endpoint %s over %v after it had said that it leaves", n, id, leavingNotice))
		}
	}
	for _, p := range l.pauses {
		if n := l.sentBetween(p.endpoint, p.at.Add(pauseNotice), p.at.Add(p.length)); n > maxInPause {
			all = append(all, fmt.Sprintf("sent %d requests to endpoint %s in a pause of %v", n, p.endpoint, p.length))
		}
	}
	return all
}

func (l *sendLog) sentBetween(endpoint string, from, until time.Time) (n int) {
	for _, at := range l.sent[endpoint] {
		if at.After(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// checkHeeded finds requests that routers sent to endpoints which had told them to send
// none, according to their own logs.
func (s *soak) checkHeeded() {
	for _, r := range s.routers {
		f, err := os.Open(r.logFile())
		if err != nil {
			s.reportViolation("the log of router %d cannot be read: %v", r.n, err)
			continue
		}
		found, err := unheeded(f)
		if err != nil {
			s.reportViolation("the log of router %d cannot be read to its end: %v", r.n, err)
		}
		for _, line := range found {
			s.reportViolation("router %d %s; see %s", r.n, line, r.logFile())
		}
		_ = f.Close() // opened for reading only
	}
}

// unheeded returns the violations that the log of a router shows, over all its
// lifetimes: a router that starts knows nothing of what it was told before.
func unheeded(log io.Reader) (all []string, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	sends := newSendLog()
	for lines.Scan() {
		var line attemptLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // not a line of the router
		}
		switch line.Event {
		case startedEvent:
			all = append(all, sends.violations()...)
			sends = newSendLog()
		case placedEvent, attemptEvent:
			sends.add(line)
		}
	}
	return append(all, sends.violations()...), lines.Err()
}
