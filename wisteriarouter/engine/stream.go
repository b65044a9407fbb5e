package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"wisteriaspool/coordination"
)

// doneData is the data of the event that ends an OpenAI-compatible stream.
const doneData = "[DONE]"

// silence ends a request whose engine stays silent for too long. A frozen
// engine keeps its connections open, so that without it a caller would wait
// for ever.
type silence struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	idle   time.Duration
	wrote  atomic.Bool
}

func (c *Client) watch(ctx context.Context) *silence {
	w := &silence{idle: c.idle}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(c.idle, w.cancel)
	return w
}

// trace returns a context that notes when a byte of the request may have left.
// A connection that was made but not written to has told the engine nothing.
func (w *silence) trace() context.Context {
	return httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.wrote.Store(true) },
	})
}

func (w *silence) heard() { w.timer.Reset(w.idle) }

func (w *silence) stop() {
	w.timer.Stop()
	w.cancel()
}

// newStart builds the request of an attempt. Its body cannot be rewound: the
// transport would otherwise send it a second time over a new connection when
// an idle one breaks, and the model would run twice.
func newStart(ctx context.Context, address string, req Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(req.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(req.Body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(headerAttempt, string(req.Attempt))
	r.Header.Set(headerPriority, priorityText(req.Priority))
	r.Header.Set(headerChat, string(req.Chat))
	return r, nil
}

// Stream is the open answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	body    io.Closer
	watch   *silence
	next    func() (sse.Event, error, bool)
	release func()
	attempt coordination.Attempt
	offset  int
	done    bool
}

func newStream(body io.ReadCloser, w *silence, id coordination.Attempt, offset int) *Stream {
	next, release := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})))
	return &Stream{body: body, watch: w, next: next, release: release, attempt: id, offset: offset}
}

// Offset returns how many tokens of the answer have come so far.
func (s *Stream) Offset() int { return s.offset }

// Close ends the connection. It does not cancel the attempt.
func (s *Stream) Close() {
	s.release()
	s.watch.stop()
	s.body.Close()
}

// Next returns the next chunk, each offset once and in order. It returns
// io.EOF behind a finished answer, ErrCut when the connection ended before,
// and ErrForeign when what came does not belong here.
func (s *Stream) Next() (Chunk, error) {
	for {
		e, err, ok := s.next()
		if !ok || err != nil {
			return Chunk{}, s.end(err)
		}
		s.watch.heard()
		if e.Data == doneData {
			s.done = true
			return Chunk{}, io.EOF
		}
		c, fresh, err := s.accept(e)
		if err != nil || fresh {
			return c, err
		}
	}
}

func (s *Stream) end(err error) error {
	if s.done {
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return ErrCut
}

// accept checks that an event belongs to the attempt and follows the last one.
// A chunk that came before is dropped: an engine that sends one late would
// otherwise put a word into the answer twice. A chunk that skips one, or that
// names another attempt, would put somebody else's words into it or lose some.
func (s *Stream) accept(e sse.Event) (c Chunk, fresh bool, err error) {
	id, err := ParseEventID(e.LastEventID)
	if err != nil || id.Attempt != s.attempt {
		return Chunk{}, false, ErrForeign
	}
	c, err = decodeChunk(e.Data)
	if err != nil {
		return Chunk{}, false, err
	}
	c.Offset = id.Offset
	closing := c.Finish != "" || c.Usage != nil
	if id.Offset <= s.offset && !closing {
		return Chunk{}, false, nil
	}
	if id.Offset > s.offset+1 || (closing && id.Offset < s.offset) {
		return Chunk{}, false, ErrForeign
	}
	if closing && id.Offset == s.offset {
		c.Text = ""
	}
	s.offset = id.Offset
	return c, true, nil
}

type wireChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func decodeChunk(data string) (Chunk, error) {
	var w wireChunk
	if err := json.Unmarshal([]byte(data), &w); err != nil {
		return Chunk{}, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	c := Chunk{Data: data}
	if len(w.Choices) > 0 {
		c.Text = w.Choices[0].Delta.Content
		c.Finish = w.Choices[0].FinishReason
	}
	if w.Usage != nil {
		c.Usage = &Usage{
			Prompt:     coordination.Tokens(w.Usage.Prompt),
			Cached:     coordination.Tokens(w.Usage.Details.Cached),
			Completion: coordination.Tokens(w.Usage.Completion),
		}
	}
	return c, nil
}
