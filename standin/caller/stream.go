package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/standin/engine"
)

const maxEvent = 1 << 20 // bytes of one line of a stream

// errorBody is the body of an error.
type errorBody struct {
	Error struct {
		Code    string  `json:"code"`
		Outcome outcome `json:"outcome"`
	} `json:"error"`
}

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data string
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEvent)
	return &sseReader{lines: lines}
}

// next returns the next event. It is false at the end of the connection; an
// event that the end cut off is dropped, as the format demands.
func (s *sseReader) next() (sseEvent, bool) {
	var e sseEvent
	for s.lines.Scan() {
		line := s.lines.Text()
		if line == "" {
			if e != (sseEvent{}) {
				return e, true
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			e.data += value
		}
	}
	return sseEvent{}, false
}

// readStream reads events until the answer is done or the connection breaks.
func (t *turn) readStream(r io.Reader) connectResult {
	events := newSSEReader(r)
	for {
		e, ok := events.next()
		switch {
		case !ok:
			return connectionBroken
		case e.data == "[DONE]":
			return t.done()
		case e.name == "outcome":
			t.readOutcome(e.data)
		case e.name == "error":
			t.readError(e.data)
		default:
			t.readChunk(e)
		}
	}
}

// done settles a stream that says it is done. A stream that never told its
// outcome leaves it unknown.
func (t *turn) done() connectResult {
	if t.outcome == "" {
		t.outcome = unknown
	}
	return settled
}

func (t *turn) readOutcome(data string) {
	var told struct {
		Outcome   outcome `json:"outcome"`
		RouteHint string  `json:"route_hint"`
	}
	if err := json.Unmarshal([]byte(data), &told); err != nil {
		t.fault = wrongAnswer
		return
	}
	t.outcome, t.hint = told.Outcome, told.RouteHint
}

// readError notes why a stream ends early.
func (t *turn) readError(data string) {
	var e errorBody
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		t.fault = wrongAnswer
		return
	}
	t.code = e.Error.Code
}

func (t *turn) readChunk(e sseEvent) {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *engine.Usage `json:"usage"`
	}
	if err := json.Unmarshal([]byte(e.data), &c); err != nil {
		t.fault = wrongAnswer
		return
	}
	if c.Usage != nil {
		t.usage = *c.Usage
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return
	}
	t.text += c.Choices[0].Delta.Content
	t.recordTokens(e.id, len(strings.Fields(c.Choices[0].Delta.Content)))
}

// recordTokens checks that the offset in id counts the n new tokens, and notes
// the time that they came.
func (t *turn) recordTokens(id string, n int) {
	now := time.Now()
	cut := strings.LastIndexByte(id, '.')
	offset, err := strconv.Atoi(id[cut+1:])
	if cut < 0 || err != nil || offset != t.offset+n {
		t.fault = wrongAnswer
		return
	}
	t.attempt, t.offset = id[:cut], offset
	if t.lastAt.IsZero() {
		t.firstToken = now.Sub(t.due)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.lastAt))
	}
	t.lastAt = now
}
