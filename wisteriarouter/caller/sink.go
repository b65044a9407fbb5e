package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
)

// Names of response headers.
const (
	headerHint       = "X-Route-Hint"
	headerAttempt    = "X-Attempt-Id"
	headerRequest    = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// errCallerDisconnected is the error of a sink whose caller has disconnected
// or stopped reading.
var errCallerDisconnected = errors.New("caller: connection lost")

// responseSink writes the answer to a caller.
type responseSink interface {
	// chunk writes one chunk of the answer.
	chunk(id coordination.Attempt, c engine.Chunk) error
	// finish ends a complete answer.
	finish(id coordination.Attempt, end outcomeEvent)
	// refuse ends the request without a complete answer.
	refuse(r *outcome.Refusal)
}

// outcomeEvent is the data of the outcome event that ends a stream.
type outcomeEvent struct {
	Outcome outcome.Outcome `json:"outcome"`
	Hint    string          `json:"route_hint,omitempty"`
}

// writer writes to one caller with a time limit for each write. A caller that
// stops reading would otherwise hold its placement forever.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newWriter(w http.ResponseWriter, timeout time.Duration) writer {
	c := http.NewResponseController(w)
	// The read deadline set for the body must not expire during the answer:
	// the server would treat the caller as disconnected.
	_ = c.SetReadDeadline(time.Time{})
	return writer{w: w, control: c, timeout: timeout}
}

func (w writer) write(text []byte) error {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	if _, err := w.w.Write(text); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	if err := w.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// refuse writes a refusal as the whole response.
func (w writer) refuse(r *outcome.Refusal) {
	h := w.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, r.Outcome.String())
	h.Set(headerRetryAfter, strconv.Itoa(r.RetryAfterSeconds()))
	w.w.WriteHeader(r.Code.HTTPStatus())
	_ = w.write([]byte(marshal(r.Envelope()) + "\n"))
}

// marshal encodes a value of a type that always encodes. It panics on an
// error.
func marshal(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("caller: encoding %T: %v", v, err))
	}
	return string(data)
}

// streamSink writes the answer as server-sent events.
type streamSink struct {
	writer
	started bool
	buf     []byte // last event, reused for the next one
}

func (s *streamSink) begin(id coordination.Attempt) {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerAttempt, string(id))
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) chunk(id coordination.Attempt, c engine.Chunk) error {
	s.begin(id)
	e := append(s.buf[:0], "id: "...)
	e = engine.EventID{Attempt: id, Offset: c.Offset}.Append(e)
	e = append(e, "\ndata: "...)
	e = append(e, c.Data...)
	s.buf = append(e, "\n\n"...)
	return s.write(s.buf)
}

func (s *streamSink) finish(id coordination.Attempt, end outcomeEvent) {
	s.begin(id)
	_ = s.write([]byte("event: outcome\ndata: " + marshal(end) + "\n\ndata: [DONE]\n\n"))
}

func (s *streamSink) refuse(r *outcome.Refusal) {
	if !s.started {
		s.writer.refuse(r)
		return
	}
	_ = s.write([]byte("event: error\ndata: " + marshal(r.Envelope()) + "\n\nevent: outcome\ndata: " + marshal(outcomeEvent{Outcome: r.Outcome}) + "\n\n"))
}

// jsonSink collects the answer and writes it as one JSON object.
type jsonSink struct {
	writer
	model  string
	text   strings.Builder
	reason string
	usage  engine.Usage
}

func (s *jsonSink) chunk(_ coordination.Attempt, c engine.Chunk) error {
	s.text.WriteString(c.Text)
	if c.Finish != "" {
		s.reason = c.Finish
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	return nil
}

func (s *jsonSink) finish(id coordination.Attempt, end outcomeEvent) {
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, end.Outcome.String())
	h.Set(headerHint, end.Hint)
	h.Set(headerAttempt, string(id))
	_ = s.write([]byte(marshal(s.completion(id)) + "\n"))
}

// completion is an OpenAI-compatible chat completion.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   completionUsage `json:"usage"`
}

type choice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type completionUsage struct {
	Prompt     coordination.Tokens `json:"prompt_tokens"`
	Completion coordination.Tokens `json:"completion_tokens"`
	Total      coordination.Tokens `json:"total_tokens"`
	Details    usageDetails        `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached coordination.Tokens `json:"cached_tokens"`
}

func (s *jsonSink) completion(id coordination.Attempt) completion {
	return completion{
		ID:      string(id),
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   s.model,
		Choices: []choice{{Message: chatMessage{Role: "assistant", Content: s.text.String()}, FinishReason: s.reason}},
		Usage: completionUsage{
			Prompt:     s.usage.Prompt,
			Completion: s.usage.Completion,
			Total:      s.usage.Prompt + s.usage.Completion,
			Details:    usageDetails{Cached: s.usage.Cached},
		},
	}
}
