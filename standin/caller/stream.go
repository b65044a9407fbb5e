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

const maxEvent = 1 << 20 // maximum size of a line of a stream, and of an error body, in bytes

// errorBody is the JSON body of an error response.
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

// sseReader parses server-sent events.
type sseReader struct {
	lines *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEvent)
	return &sseReader{lines: lines}
}

// next returns the next event, or false at the end of the connection. An event
// that is cut off by the end is discarded, as the format requires.
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

// readStream reads events until the answer is complete or the connection breaks.
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

// done handles the [DONE] event. The outcome is unknown if the stream did not
// report one.
func (t *turn) done() connectResult {
	if t.outcome == "" {
		t.outcome = unknown
	}
	return settled
}

func (t *turn) readOutcome(data string) {
	var reported struct {
		Outcome   outcome `json:"outcome"`
		RouteHint string  `json:"route_hint"`
	}
	if err := json.Unmarshal([]byte(data), &reported); err != nil {
		t.fault = wrongAnswer
		return
	}
	t.outcome, t.hint = reported.Outcome, reported.RouteHint
}

// readError records the error code of a stream that ends early.
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

// recordTokens checks that the offset in id advanced by the n new tokens, and
// records when they arrived.
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
