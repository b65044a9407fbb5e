package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Numbers of the router events that explain and losses evaluate. All events are
// listed in docs/EVENTS.md.
const (
	eventStarted         = 100
	eventStateApplied    = 200
	eventStoreLost       = 300
	eventStoreBack       = 301
	eventEndpointLeaving = 500
	eventChatRefused     = 506
	eventChatCallerGone  = 511
	eventEndpointHeld    = 512
	eventChatPlaced      = 514
	eventChatAttempt     = 515
	eventZoneEvacuated   = 517
	eventZoneRestored    = 518
	eventRelayAttempt    = 800
	eventRelayRefused    = 802
	eventRelayCut        = 803
	eventRelayCallerGone = 804
	eventRelayPlaced     = 806
)

// logLine is one entry of a router's log. Fields with names in Ms are in
// milliseconds.
type logLine struct {
	Time     time.Time `json:"time"`
	Router   string    `json:"router"`
	Event    int       `json:"event"`
	Name     string    `json:"msg"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	Version  int64     `json:"version"`
	AgeMs    int64     `json:"age-ms"`
	Ended    string    `json:"ended"`
	Attempt  int       `json:"attempt"`
	Rank     int       `json:"rank"`
	PlaceMs  int64     `json:"place-ms"`
	LeftMs   int64     `json:"left-ms"`
	FirstMs  int64     `json:"first-ms"`
	PauseMs  int64     `json:"pause-ms"`
	Ms       int64     `json:"ms"`
	Fetch    string    `json:"fetch"`
	Cold     bool      `json:"cold"` // the endpoint was cold when the request was placed
	Key      string    `json:"key"`
	Status   int       `json:"status"`
	Why      string    `json:"why"`
	Error    string    `json:"error"`
	Late     string    `json:"late"`
	Route    string    `json:"route"`

	fields map[string]any
}

// readLines reads the concatenated logs of routers and sorts their lines by
// time. It ignores any text before the first brace of a line, such as a file
// name. It skips lines that are not valid JSON, because a log may be truncated
// anywhere.
func readLines(r io.Reader) ([]logLine, error) {
	var all []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(s.Bytes()[i:], &l) != nil || json.Unmarshal(s.Bytes()[i:], &l.fields) != nil || l.Event == 0 {
			continue
		}
		all = append(all, l)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return all, s.Err()
}

// explanation is the result of explain: the history of one request.
type explanation struct {
	Request string   `json:"request"`
	Steps   []step   `json:"steps"`
	Stale   []string `json:"stale,omitempty"` // information that its routers lacked but other routers had
	Around  []step   `json:"around,omitempty"`
	Cause   string   `json:"cause"`
}

// step is one logged event.
type step struct {
	At     time.Duration `json:"at_ns"` // time since the first log line of the request
	Router string        `json:"router"`
	What   string        `json:"what"`
}

// contextWindow is how long before and after a request the events of its
// endpoints and routers are included.
const contextWindow = 5 * time.Second

func (a app) explain() *command {
	return &command{
		app: a, name: "explain", args: "REQUEST < LOGS", takesRequest: true, offline: true,
		synopsis: "tell from routers' logs what became of a request, and which belief was stale",
		do: func(_ context.Context, c *command) error {
			lines, err := readLines(c.in)
			if err != nil {
				return err
			}
			e, ok := explainRequest(string(c.requestID), lines)
			if !ok {
				return errorNamespace.NewType("no_request").New("no line names the request %q", c.requestID)
			}
			return c.show(e, func() { c.printExplanation(e) })
		},
	}
}

func (c *command) printExplanation(e explanation) {
	c.printf("request %s\n", e.Request)
	c.printSteps(e.Steps)
	if len(e.Around) > 0 {
		c.printf("around it\n")
		c.printSteps(e.Around)
	}
	for _, s := range e.Stale {
		c.printf("stale: %s\n", s)
	}
	c.printf("cause: %s\n", e.Cause)
}

func (c *command) printSteps(steps []step) {
	for _, s := range steps {
		c.printf("  %+8.3f s  %-20s %s\n", s.At.Seconds(), s.Router, s.What)
	}
}

// explainRequest returns the explanation of a request. The lines must be sorted
// by time. It returns false if no line has the request ID.
func explainRequest(id string, lines []logLine) (explanation, bool) {
	requestLines := slices.Collect(func(yield func(logLine) bool) {
		for _, l := range lines {
			if l.Request == id && !yield(l) {
				return
			}
		}
	})
	if len(requestLines) == 0 {
		return explanation{}, false
	}
	e := explanation{Request: id}
	start := requestLines[0].Time
	for _, l := range requestLines {
		e.Steps = append(e.Steps, step{At: l.Time.Sub(start), Router: l.Router, What: l.describe()})
	}
	surrounding := surroundingLines(requestLines, lines)
	for _, l := range surrounding {
		e.Around = append(e.Around, step{At: l.Time.Sub(start), Router: l.Router, What: l.describe()})
	}
	e.Stale = staleViews(requestLines, lines)
	e.Cause = outcomeCause(requestLines, lines, e.Stale)
	return e, true
}

// describe returns a readable description of l.
func (l logLine) describe() string {
	switch l.Event {
	case eventRelayPlaced:
		return fmt.Sprintf("placed at %s, attempt %d, rank %d for key %s, after %d ms; %d ms left; by desired state %d, confirmed %d ms before%s%s",
			l.Endpoint, l.Attempt, l.Rank, l.Key, l.PlaceMs, l.LeftMs, l.Version, l.AgeMs, l.fetchNote(), l.coldNote())
	case eventRelayAttempt:
		return fmt.Sprintf("attempt at %s %s, status %d, after %d ms; first event after %d ms, longest pause %d ms",
			l.Endpoint, l.Ended, l.Status, l.Ms, l.FirstMs, l.PauseMs)
	case eventChatPlaced:
		return fmt.Sprintf("placed at %s, attempt %d, after %d ms", l.Endpoint, l.Attempt, l.PlaceMs)
	case eventChatAttempt:
		return fmt.Sprintf("attempt at %s %s after %d ms", l.Endpoint, l.Ended, l.Ms)
	case eventRelayRefused, eventChatRefused:
		return fmt.Sprintf("answered %d by the router: %s", l.Status, l.Why)
	}
	return l.Name + l.otherFields()
}

func (l logLine) fetchNote() string {
	if l.Fetch == "" {
		return ""
	}
	return "; fetches the cached prompt from " + l.Fetch
}

func (l logLine) coldNote() string {
	if !l.Cold {
		return ""
	}
	return "; the endpoint is cold"
}

// routerEvent reports whether l concerns the life cycle of its router, its connection
// to the store, or the availability zones that it may use.
func (l logLine) routerEvent() bool {
	switch l.Event {
	case eventStoreLost, eventStoreBack, eventZoneEvacuated, eventZoneRestored:
		return true
	default:
		return l.Event < eventStateApplied
	}
}

// omittedFields are the fields that are printed separately or do not help to find
// a cause.
var omittedFields = []string{"time", "router", "event", "msg", "level", "request"}

// otherFields formats all fields but omittedFields, sorted by name.
func (l logLine) otherFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(omittedFields, name) {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

// placed, attempted, refused and callerGone report the kind of event of l, for
// both the relay and the chat interface.
func (l logLine) placed() bool { return l.Event == eventRelayPlaced || l.Event == eventChatPlaced }

func (l logLine) attempted() bool { return l.Event == eventRelayAttempt || l.Event == eventChatAttempt }

func (l logLine) refused() bool { return l.Event == eventRelayRefused || l.Event == eventChatRefused }

func (l logLine) callerGone() bool {
	return l.Event == eventRelayCallerGone || l.Event == eventChatCallerGone
}

// surroundingLines returns the events within contextWindow of a request that
// concern its endpoints or are events of its routers, see [logLine.routerEvent].
func surroundingLines(requestLines, lines []logLine) []logLine {
	endpoints, routers := make(map[string]bool), make(map[string]bool)
	for _, l := range requestLines {
		routers[l.Router] = true
		if l.Endpoint != "" {
			endpoints[l.Endpoint] = true
		}
	}
	from, to := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	var found []logLine
	for _, l := range lines {
		if l.Request != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if routers[l.Router] && l.routerEvent() || l.Endpoint != "" && endpoints[l.Endpoint] {
			found = append(found, l)
		}
	}
	return found
}

// staleViews describes what a router did not know when it placed or refused the
// request, although another router knew it.
func staleViews(requestLines, lines []logLine) []string {
	var found []string
	for _, p := range requestLines {
		if !p.placed() && !p.refused() {
			continue
		}
		found = append(found, staleState(p, lines)...)
		found = append(found, staleEndpoint(p, lines)...)
	}
	return slices.Compact(found)
}

func staleState(p logLine, lines []logLine) []string {
	if p.Event == eventChatPlaced || p.Event == eventChatRefused {
		return nil // chat requests are routed by team settings, not by the desired state
	}
	for _, l := range lines {
		if l.Event == eventStateApplied && l.Version > p.Version && l.Time.Before(p.Time) {
			return []string{fmt.Sprintf("%s decided by desired state %d; %s had %d in force %.3f s before", p.Router, p.Version, l.Router, l.Version, p.Time.Sub(l.Time).Seconds())}
		}
	}
	return nil
}

func staleEndpoint(p logLine, lines []logLine) []string {
	if p.Endpoint == "" {
		return nil
	}
	for _, l := range lines {
		if l.Event == eventEndpointLeaving && l.Endpoint == p.Endpoint && l.Time.Before(p.Time) {
			return []string{fmt.Sprintf("%s placed at %s; %s knew %.3f s before that it is leaving", p.Router, p.Endpoint, l.Router, p.Time.Sub(l.Time).Seconds())}
		}
	}
	return nil
}

// Minimum delays, in milliseconds, that are reported as the cause of a late
// response. Each is the shortest delay that makes a request late by itself.
const (
	lateFirstEventMs = 300
	latePlaceMs      = 100
	latePauseMs      = 120
)

// outcomeCause describes in one sentence what determined the outcome of a
// request.
func outcomeCause(requestLines, lines []logLine, stale []string) string {
	last := requestLines[len(requestLines)-1]
	var lost []string
	var slowest, placed logLine
	for _, l := range requestLines {
		switch {
		case l.attempted() && l.Ended != "delivered":
			lost = append(lost, l.Endpoint+" "+l.Ended)
		case l.attempted():
			slowest = l
		case l.placed() && l.PlaceMs > placed.PlaceMs:
			placed = l
		}
	}
	failed := strings.Join(lost, ", ")
	switch {
	case last.placed():
		return fmt.Sprintf("no line follows: %s ended while %s was at work%s", last.Router, last.Endpoint, restartNote(last, lines))
	case last.callerGone():
		return cmp.Or(failed, "no endpoint had answered in full") + "; the caller left after " + fmt.Sprint(last.fields["after-ms"]) + " ms"
	case last.Event == eventRelayCut:
		return "the answer broke off: " + failed
	case last.refused() && failed != "":
		return fmt.Sprintf("answered %d after %s", last.Status, failed)
	case last.refused():
		return fmt.Sprintf("answered %d, sent nowhere: %s", last.Status, last.Why)
	case last.Status >= 500:
		return strings.TrimPrefix(failed+fmt.Sprintf("; then %s itself answered %d, and no attempt was left", last.Endpoint, last.Status), "; ")
	case placed.PlaceMs >= latePlaceMs:
		return fmt.Sprintf("late: it waited %d ms for a place at %s%s", placed.PlaceMs, placed.Endpoint, placed.coldNote())
	case failed != "":
		return "delivered at the second endpoint; before: " + failed
	case slowest.PauseMs >= latePauseMs:
		return fmt.Sprintf("late: %s sent nothing for %d ms in the middle of its answer, or a packet was lost", slowest.Endpoint, slowest.PauseMs)
	case max(slowest.FirstMs, slowest.Ms) >= lateFirstEventMs:
		return fmt.Sprintf("late: %s took %d ms to its first event, %d ms in all", slowest.Endpoint, slowest.FirstMs, slowest.Ms)
	case len(stale) > 0:
		return "delivered, by a stale belief"
	default:
		return "delivered in time by this router; look at the link to the caller"
	}
}

// restartNote describes when the router of the last line started again, or that
// no log shows it.
func restartNote(last logLine, lines []logLine) string {
	for _, l := range lines {
		if l.Event == eventStarted && l.Router == last.Router && l.Time.After(last.Time) {
			return fmt.Sprintf("; it started again %.3f s later", l.Time.Sub(last.Time).Seconds())
		}
	}
	return "; no log tells that it started again, so its log may have been cut"
}
