package soak

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// pieceProblem is how a stream breaks the promise that its pieces come in order.
type pieceProblem string

// The kinds of problems of streams.
const (
	pieceMissing   pieceProblem = "a piece is missing"
	pieceTwice     pieceProblem = "a piece comes twice"
	pieceForeign   pieceProblem = "a piece of another stream"
	pieceChanged   pieceProblem = "a piece is not as it was written"
	pieceOfVersion pieceProblem = "a piece of another version"
	pieceOfRun     pieceProblem = "pieces of two runs"
	pieceAfterEnd  pieceProblem = "a piece after the end"
	endTooEarly    pieceProblem = "an end that looks complete before the last piece"
)

// piecePattern matches the data of an event.
var piecePattern = regexp.MustCompile(`(?m)^data: piece (\d+) of \d+ of (\S+) at (\S+) in (\S+) x*$`)

// pieceCheck checks what the caller of one stream gets over all its tries.
type pieceCheck struct {
	shape      pieceShape
	repeatable bool // a further run may go on with the stream
	got        int  // pieces
	version    string
	run        string          // that wrote the last piece
	runs       map[string]bool // that wrote pieces
}

func newPieceCheck(path string, repeatable bool) *pieceCheck {
	return &pieceCheck{shape: shapeOf(path), repeatable: repeatable, runs: make(map[string]bool)}
}

// complete reports whether the caller has all pieces.
func (c *pieceCheck) complete() bool { return c.got == len(c.shape.ids) }

// lastID returns the id of the last piece; empty if there is none.
func (c *pieceCheck) lastID() string {
	if c.got == 0 {
		return ""
	}
	return strconv.Itoa(c.shape.ids[c.got-1])
}

// addResponse checks one response of status 200. inOrder reports that it ended as a complete
// one does. It returns the first problem and what shows it, or two empty strings.
func (c *pieceCheck) addResponse(body string, inOrder bool) (problem pieceProblem, shown string) {
	end := strings.LastIndex(body, "\n\n")
	rest := body
	if end >= 0 {
		rest = body[end+2:]
		for event := range strings.SplitSeq(body[:end], "\n\n") {
			if problem = c.addEvent(event); problem != "" {
				return problem, event
			}
		}
	}
	if inOrder && (rest != "" || !c.complete()) {
		return endTooEarly, fmt.Sprintf("%d of %d pieces and %q", c.got, len(c.shape.ids), rest)
	}
	return "", ""
}

// addEvent checks an event, without the empty line at its end.
func (c *pieceCheck) addEvent(event string) pieceProblem {
	if strings.HasPrefix(event, ":") && !strings.Contains(event, "\n") {
		return ""
	}
	m := piecePattern.FindStringSubmatch(event)
	if m == nil {
		return pieceChanged
	}
	number, _ := strconv.Atoi(m[1]) // matched as a number
	version, run := m[3], m[4]
	switch {
	case m[2] != c.shape.path:
		return pieceForeign
	case number < 1 || number > len(c.shape.ids):
		return pieceChanged
	case c.complete():
		return pieceAfterEnd
	case number <= c.got:
		return pieceTwice
	case number > c.got+1:
		return pieceMissing
	case !strings.HasSuffix(c.shape.event(c.got, version, run), event+"\n\n"):
		return pieceChanged
	case c.version != "" && version != c.version:
		return pieceOfVersion
	case run != c.run && (c.runs[run] || c.run != "" && !c.repeatable):
		return pieceOfRun
	}
	c.got, c.version, c.run = number, version, run
	c.runs[run] = true
	return ""
}
