package engine

import (
	"container/heap"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	maxBody   = 4 << 20  // limit on a request body in bytes
	maxImport = 64 << 20 // limit on a KV import in bytes
)

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	e.mux.HandleFunc("POST /v1/attempts/{id}/cancel", e.handleCancel)
	e.mux.HandleFunc("GET /v1/attempts/{id}/stream", e.handleResume)
	e.mux.HandleFunc("GET /v1/load", e.handleLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.handleCacheEvents)
	e.mux.HandleFunc("POST /v1/kv/export", e.handleExport)
	e.mux.HandleFunc("POST /v1/kv/import", e.handleImport)
	e.mux.HandleFunc("POST /v1/orders", e.handleOrder)
	e.mux.HandleFunc("GET /v1/orders", e.handleOrders)
}

// ServeHTTP handles one call. To break the connection it panics with
// http.ErrAbortHandler, when a fault requires it, while the engine is dead or
// when it is closed. The /admin calls are answered even while the engine is
// frozen or dead.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/faults":
		e.handleFaults(w, r)
		return
	case "/admin/stats":
		e.handleStats(w, r)
		return
	case "/admin/leave":
		e.Leave()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	e.waitWhileFrozen(r.Context().Done())
	if e.dead() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.deadUntil)
}

// crashSignal returns the channel that is closed when this incarnation
// crashes.
func (e *Engine) crashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	crashed := e.crashSignal()
	var req Request
	// The body is read to its end, because net/http detects a closed connection
	// only after that.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, &req)
	}
	if err != nil || len(req.Messages) == 0 {
		writeNotRun(w, http.StatusBadRequest, "malformed", "a chat completion is JSON with messages")
		return
	}
	a := newAttempt(r, req)
	if !e.accept(w, a) {
		return
	}
	e.serve(w, r, a, reader{crashed: crashed, after: a.partialLen, stream: req.Stream})
}

// newAttempt returns an attempt with one reader for the request.
func newAttempt(r *http.Request, req Request) *attempt {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	messages, partial := req.splitPartialAnswer()
	hash := conversationHash(messages)
	return &attempt{
		id:         id,
		chat:       r.Header.Get("X-Chat-Id"),
		priority:   priority,
		request:    req,
		hash:       hash,
		prompt:     promptWords(req.Messages),
		partialLen: len(partial),
		total:      answerLength(hash, len(partial), req.maxNewTokens()),
		readers:    1,
		changed:    make(chan struct{}),
	}
}

// accept queues a, or writes a refusal and reports false.
func (e *Engine) accept(w http.ResponseWriter, a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	a.seq = e.arrivals
	e.stats.Arrivals++
	e.stats.LastArrival = time.Now()
	if e.leaving {
		e.stats.ArrivalsLeaving++
		e.stats.Refused++
		w.Header().Set("X-State", "leaving")
		writeNotRun(w, http.StatusServiceUnavailable, "stopping", "the engine is leaving")
		return false
	}
	if e.attempts[a.id] != nil {
		e.stats.Duplicates++
		writeError(w, http.StatusConflict, "conflict", "an attempt with this id is live")
		return false
	}
	full := e.opts.MaxWaiting > 0 && len(e.waiting) >= e.opts.MaxWaiting
	if full || e.shouldRefuseLocked() {
		e.stats.Refused++
		writeNotRun(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no more requests")
		return false
	}
	e.stats.Accepted++
	e.checkPartialAnswerLocked(a)
	e.attempts[a.id] = a
	heap.Push(&e.waiting, a)
	e.sampleLocked()
	e.signal()
	return true
}

// checkPartialAnswerLocked counts an attempt that continues a partial answer, and
// checks that answer against the tokens that the engine itself would generate.
func (e *Engine) checkPartialAnswerLocked(a *attempt) {
	if a.partialLen == 0 {
		return
	}
	e.stats.Continued++
	_, partial := a.request.splitPartialAnswer()
	for i, word := range partial {
		if word+" " != tokenAt(a.hash, i) {
			e.stats.WrongContinued++
			return
		}
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a := e.attempts[r.PathValue("id")]
	generated := 0
	if a != nil {
		generated = a.generated
		e.endLocked(a, cancelled)
	}
	e.mu.Unlock()
	if a == nil {
		writeError(w, http.StatusNotFound, "unknown-attempt", "no attempt with this id")
		return
	}
	writeJSON(w, http.StatusOK, Cancelled{Generated: generated})
}

// Cancelled is the response to a cancel call. Generated is the number of tokens
// that the attempt had generated.
type Cancelled struct {
	Generated int `json:"generated"`
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "malformed", "after is the offset of the last token read")
		return
	}
	e.mu.Lock()
	crashed := e.crashed
	a := e.attempts[r.PathValue("id")]
	if a != nil {
		a.readers++
		e.stats.Resumed++
	}
	e.mu.Unlock()
	if a == nil {
		writeError(w, http.StatusNotFound, "unknown-attempt", "no attempt with this id")
		return
	}
	e.serve(w, r, a, reader{crashed: crashed, after: max(after, a.partialLen), stream: true})
}

// markRead records that a reader received the complete answer.
func (e *Engine) markRead(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.fullyRead = true
}

// releaseReader unregisters one reader. An attempt without readers is cancelled
// and deleted after Options.UnreadTimeout.
func (e *Engine) releaseReader(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
	if a.readers == 0 && e.attempts[a.id] == a {
		e.scheduleExpiryLocked(a)
	}
	e.checkIdleLocked()
}

// scheduleExpiryLocked schedules the expiry of a, which has no reader.
func (e *Engine) scheduleExpiryLocked(a *attempt) {
	a.disconnects++
	disconnects := a.disconnects
	time.AfterFunc(e.opts.UnreadTimeout, func() { e.expire(a, disconnects) })
}

// expire cancels and deletes a, unless a reader has connected since the expiry
// was scheduled. The disconnects value identifies the schedule.
func (e *Engine) expire(a *attempt, disconnects int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.id] != a || a.readers > 0 || a.disconnects != disconnects {
		return
	}
	if !a.ended() {
		e.endLocked(a, cancelled)
	}
	delete(e.attempts, a.id)
	e.checkIdleLocked()
}

// writeNotRun refuses a request and states that nothing was run. A refusal with
// status 503 carries a Retry-After of one second.
func writeNotRun(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("X-Outcome", "not-run")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeError(w, status, code, message)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller disconnected
}

// answerText returns the text of the answer tokens with indices from (inclusive)
// to to (exclusive).
func (a *attempt) answerText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenAt(a.hash, i))
	}
	return b.String()
}
