package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// reader is one connection that reads an attempt's answer.
type reader struct {
	crashed <-chan struct{}
	after   int // offset of the last token that the reader has
	stream  bool
}

// chunk is one object of a streamed or whole answer.
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

// PromptDetails tells how much of a prompt was in the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// serve answers one reader. It breaks the connection if the engine dies, if
// the attempt is cancelled, or if a fault says so.
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

// readStatus is what a reader sees of an attempt at one time.
type readStatus struct {
	delivered int
	phase     phase
	usage     Usage
}

// awaitProgress waits until there is more to read than rd has. It is false if the
// reader has gone, and breaks the connection if the answer never ends.
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

// serveUnstreamed answers without a stream, when all tokens are there.
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

// sse writes server-sent events, with the faults that concern chunks.
type sse struct {
	engine       *Engine
	w            http.ResponseWriter
	flusher      *http.ResponseController
	attempt      *attempt
	sent         int
	held         int // offset of a chunk that comes after its successor, or zero
	cut          int // tokens after which the connection breaks, or negative
	dropsAttempt bool
}

func (s *sse) start() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	s.checkCut()
}

// token sends the token at offset, counted from 1.
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

// checkCut breaks the connection once a fault says so.
func (s *sse) checkCut() {
	if s.cut < 0 || s.sent < s.cut {
		return
	}
	if s.dropsAttempt {
		s.engine.dropAttempt(s.attempt)
	}
	panic(http.ErrAbortHandler)
}

// event sends the token at offset of the answer with that hash.
func (s *sse) event(id string, hash uint64, offset int) {
	data := s.attempt.chunk("chat.completion.chunk", choice{
		Delta: &delta{Content: tokenAt(hash, offset-1)},
	})
	s.write(fmt.Sprintf("id: %s.%d\n", id, offset), data)
}

func (s *sse) finish(u Usage) {
	last := s.attempt.chunk("chat.completion.chunk", choice{
		Delta: &delta{}, FinishReason: s.attempt.finishReason(),
	})
	last.Usage = &u
	s.write(fmt.Sprintf("id: %s.%d\n", s.attempt.id, s.attempt.total), last)
	_, _ = s.w.Write([]byte("data: [DONE]\n\n")) // the caller has gone if it fails
	s.flush()
}

func (s *sse) write(id string, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("engine: " + err.Error())
	}
	_, _ = fmt.Fprintf(s.w, "%sdata: %s\n\n", id, data) // the caller has gone if it fails
	s.flush()
}

func (s *sse) flush() { _ = s.flusher.Flush() }

// dropAttempt forgets a, as if only this attempt had died.
func (e *Engine) dropAttempt(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(a, cancelled)
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}
