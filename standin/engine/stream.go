package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// reader is one connection that reads the answer of an attempt.
type reader struct {
	crashed <-chan struct{}
	after   int // offset of the last token that the reader has received
	stream  bool
}

// chunk is one event of a streamed answer, or the body of an unstreamed one.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of one attempt.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of prompt tokens that were found in the prefix
// cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// serve writes the answer to one reader. It breaks the connection if the engine
// crashes or is closed, if the attempt is cancelled, or if a fault requires it.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, a *attempt, rd reader) {
	defer e.releaseReader(a)
	w.Header().Set("X-Attempt-Id", a.id)
	if !rd.stream {
		e.serveUnstreamed(w, r, a, rd)
		return
	}
	out := &sse{engine: e, w: w, flusher: http.NewResponseController(w), attempt: a, cut: -1}
	out.cut, out.dropsAttempt = e.nextStreamCut()
	out.start()
	for {
		s, ok := e.awaitProgress(r, a, rd)
		if !ok {
			return
		}
		for rd.after < s.delivered {
			rd.after++
			out.token(rd.after)
		}
		if s.phase == finished {
			out.finish(s.usage)
			e.markRead(a)
			return
		}
	}
}

// readStatus is a snapshot of an attempt for a reader.
type readStatus struct {
	delivered int
	phase     phase
	usage     Usage
}

// awaitProgress waits until there are tokens after rd.after or the attempt has
// finished. It reports false if the reader has disconnected, and breaks the
// connection if the answer will not be completed.
func (e *Engine) awaitProgress(r *http.Request, a *attempt, rd reader) (readStatus, bool) {
	for {
		e.mu.Lock()
		s := readStatus{delivered: a.delivered(), phase: a.phase, usage: a.usage()}
		changed := a.changed
		e.mu.Unlock()
		if s.delivered > rd.after || s.phase == finished {
			e.waitWhileFrozen(r.Context().Done())
			return s, true
		}
		if s.phase == cancelled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-rd.crashed:
			panic(http.ErrAbortHandler)
		case <-e.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return readStatus{}, false
		}
	}
}

func (a *attempt) usage() Usage {
	return Usage{
		PromptTokens:     len(a.prompt),
		CompletionTokens: a.generated,
		TotalTokens:      len(a.prompt) + a.generated,
		PromptDetails:    PromptDetails{CachedTokens: a.cachedTokens},
	}
}

func (a *attempt) finishReason() *string {
	reason := "stop"
	if a.request.maxNewTokens() > 0 {
		reason = "length"
	}
	return &reason
}

// serveUnstreamed writes the complete answer as one response once all tokens are
// generated.
func (e *Engine) serveUnstreamed(w http.ResponseWriter, r *http.Request, a *attempt, rd reader) {
	for {
		s, ok := e.awaitProgress(r, a, rd)
		if !ok {
			return
		}
		rd.after = s.delivered
		if s.phase != finished {
			continue
		}
		w.Header().Set("X-Outcome", "ran")
		body := a.chunk("chat.completion", choice{
			Message:      &delta{Role: "assistant", Content: a.answerText(a.partialLen, s.delivered)},
			FinishReason: a.finishReason(),
		})
		body.Usage = &s.usage
		writeJSON(w, http.StatusOK, body)
		e.markRead(a)
		return
	}
}

func (a *attempt) chunk(object string, c choice) chunk {
	return chunk{
		ID: "chatcmpl-" + a.id, Object: object, Created: time.Now().Unix(),
		Model: a.request.Model, Choices: []choice{c},
	}
}

// sse writes an answer as server-sent events and injects the faults that affect
// chunks.
type sse struct {
	engine       *Engine
	w            http.ResponseWriter
	flusher      *http.ResponseController
	attempt      *attempt
	sent         int
	held         int // offset of a chunk to send after its successor, or zero
	cut          int // number of tokens after which the connection breaks, or negative for never
	dropsAttempt bool
}

func (s *sse) start() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	s.checkCut()
}

// token sends the token at the one-based offset.
func (s *sse) token(offset int) {
	faults := s.engine.Faults()
	if s.engine.faultApplies(faults.Strays) {
		s.event("stray-"+s.attempt.id, ^s.attempt.hash, offset)
	}
	if s.held == 0 && offset < s.attempt.total && s.engine.faultApplies(faults.Swaps) {
		s.held = offset
		return
	}
	s.event(s.attempt.id, s.attempt.hash, offset)
	if s.held != 0 {
		s.event(s.attempt.id, s.attempt.hash, s.held)
		s.sent++
		s.held = 0
	}
	if s.engine.faultApplies(faults.Duplicates) {
		s.event(s.attempt.id, s.attempt.hash, offset)
	}
	s.sent++
	s.checkCut()
}

// checkCut breaks the connection once the number of tokens set by a fault is sent.
func (s *sse) checkCut() {
	if s.cut < 0 || s.sent < s.cut {
		return
	}
	if s.dropsAttempt {
		s.engine.dropAttempt(s.attempt)
	}
	panic(http.ErrAbortHandler)
}

// event sends the token at the one-based offset of the answer to the conversation
// with the given hash.
func (s *sse) event(id string, hash uint64, offset int) {
	data := s.attempt.chunk("chat.completion.chunk", choice{
		Delta: &delta{Content: tokenAt(hash, offset-1)},
	})
	s.write(fmt.Sprintf("id: %s.%d\n", id, offset), data)
}

// finish sends the closing chunk with the token usage, and the end marker.
func (s *sse) finish(u Usage) {
	last := s.attempt.chunk("chat.completion.chunk", choice{
		Delta: &delta{}, FinishReason: s.attempt.finishReason(),
	})
	last.Usage = &u
	s.write(fmt.Sprintf("id: %s.%d\n", s.attempt.id, s.attempt.total), last)
	_, _ = s.w.Write([]byte("data: [DONE]\n\n")) // an error means that the caller disconnected
	s.flush()
}

func (s *sse) write(id string, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("engine: " + err.Error())
	}
	_, _ = fmt.Fprintf(s.w, "%sdata: %s\n\n", id, data) // an error means that the caller disconnected
	s.flush()
}

func (s *sse) flush() { _ = s.flusher.Flush() }

// dropAttempt cancels and deletes a, which simulates the loss of a single attempt.
func (e *Engine) dropAttempt(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(a, cancelled)
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}
