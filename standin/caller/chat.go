package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wisteriaspool/standin/engine"
)

// chat is a multi-turn conversation with pauses between its turns.
type chat struct {
	load     *load
	account  *account
	id       string
	random   *rand.Rand
	messages []engine.Message
	turns    int
	hint     string
	next     time.Time // time at which the next turn is due
}

func newChat(a *account, n int, at time.Time) *chat {
	random := newRandom(a.load.opts.Seed, chatStream+uint64(n))
	return &chat{
		load:     a.load,
		account:  a,
		id:       fmt.Sprintf("chat-%d-%d", a.load.opts.Seed, n),
		random:   random,
		messages: []engine.Message{a.system},
		turns:    1 + random.IntN(2*a.load.opts.Turns-1),
		next:     at,
	}
}

// run sends the chat's turns in order and stops after the first that fails.
func (c *chat) run(ctx context.Context) {
	defer c.load.inFlight.Done()
	for n := range c.turns {
		if !c.load.wait(ctx, c.next) || !c.load.reserveTurn(ctx) {
			return
		}
		words := c.load.opts.TurnWords
		if n == 0 {
			words = c.load.opts.FirstWords
		}
		c.messages = append(c.messages, engine.Message{Role: "user", Content: randomText(c.random, words)})
		t := newTurn(c, n > 0)
		t.run(ctx)
		c.load.recorder.addTurn(t)
		if t.outcome != ran {
			return
		}
		c.hint = t.hint
		c.messages = append(c.messages, engine.Message{Role: "assistant", Content: engine.Content(t.text)})
		c.next = time.Now().Add(exponential(c.random, c.load.opts.Pause))
	}
}

// codePoison is the error code of a permanent refusal: every router refuses the
// request, so that a retry cannot succeed.
const codePoison = "poison"

// outcome is the execution outcome that a router reported to the caller.
type outcome string

const (
	ran     outcome = "ran"
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

// fault is the defect found in an answer.
type fault int

const (
	noFault       fault = iota
	wrongAnswer         // not the answer to this request, or offsets out of order
	partialAnswer       // reported as complete, but ended early
)

// turn is one request of a chat, including all its reconnects.
type turn struct {
	chat      *chat
	returning bool
	stream    bool
	body      body
	expected  string
	due       time.Time

	attempt    string // ID that the router assigned
	offset     int    // offset of the last token received
	text       string
	hint       string
	outcome    outcome
	fault      fault
	code       string // code of the last error
	usage      engine.Usage
	firstToken time.Duration   // from due to the first token
	gaps       []time.Duration // between tokens
	lastAt     time.Time
	resumes    int // reconnects that resumed the stream
	resent     int // requests sent again, after a refusal or a broken connection without a stream to resume
	refusals   []refusal
}

// refusal is a response that refused a request.
type refusal struct {
	status     int
	retryAfter time.Duration
	hasRetry   bool
}

// body is the chat completion request as sent. Partial is the text received so
// far from a broken stream; it allows the answer to be continued if its engine is
// lost as well.
type body struct {
	engine.Request
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	Partial       string         `json:"partial,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func newTurn(c *chat, returning bool) *turn {
	opts := c.load.opts
	t := &turn{
		chat: c, returning: returning, due: c.next,
		stream:   c.random.Float64() >= opts.NonStreamShare,
		expected: engine.Answer(c.messages, opts.MaxTokens),
	}
	t.body.Request = engine.Request{
		Model: opts.Model, Messages: c.messages, Stream: t.stream, MaxTokens: opts.MaxTokens,
	}
	if t.stream {
		t.body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return t
}

// encode returns the request body for the next connection.
func (t *turn) encode() []byte {
	t.body.Partial = t.text
	data, err := json.Marshal(t.body)
	if err != nil {
		panic("caller: " + err.Error())
	}
	return data
}

// connectResult describes how one connection ended.
type connectResult int

const (
	settled          connectResult = iota // the turn has an outcome
	connectionBroken                      // the connection broke
	requestRefused                        // the request was refused as not run
	resumeRefused                         // a reconnect was refused; the answer may still arrive later
)

// The backoff before a reconnect doubles from minBackoff up to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// run sends the request, and reconnects through other routers until there is an
// outcome or the timeout expires.
func (t *turn) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.chat.load.opts.Timeout)
	defer cancel()
	retries := t.chat.load.opts.Retries
	pause := minBackoff
	for ctx.Err() == nil {
		t.outcome = "" // an outcome received on a broken connection does not count
		switch t.connect(ctx) {
		case settled:
			t.check()
			return
		case requestRefused:
			if retries == 0 {
				t.outcome = notRun
				return
			}
			retries--
			t.resent++
			t.wait(ctx, t.lastRetryAfter())
		case resumeRefused:
			t.wait(ctx, max(pause, t.lastRetryAfter()))
			pause = min(2*pause, maxBackoff)
		case connectionBroken:
			t.countReconnect()
			t.wait(ctx, pause)
			pause = min(2*pause, maxBackoff)
		}
	}
	t.outcome = unknown
}

// countReconnect counts a reconnect as a resume if a stream had been assigned an
// attempt ID, and as a resend otherwise.
func (t *turn) countReconnect() {
	if t.stream && t.attempt != "" {
		t.resumes++
		return
	}
	t.resent++
}

func (t *turn) lastRetryAfter() time.Duration { return t.refusals[len(t.refusals)-1].retryAfter }

// wait sleeps for at least minBackoff or d, plus a random jitter of up to half of
// it, so that callers do not reconnect simultaneously.
func (t *turn) wait(ctx context.Context, d time.Duration) {
	d = max(d, minBackoff)
	timer := time.NewTimer(d + time.Duration(t.chat.random.Int64N(int64(d)/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect sends the request on one connection and reads the response.
func (t *turn) connect(ctx context.Context) connectResult {
	router := t.chat.load.balancer.next()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", bytes.NewReader(t.encode()))
	if err != nil {
		panic("caller: " + err.Error())
	}
	t.setHeaders(req.Header)
	res, err := t.chat.load.opts.HTTP.Do(req)
	if err != nil {
		t.chat.load.balancer.markFailed(router)
		return connectionBroken
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return t.readRefusal(res)
	}
	if id := res.Header.Get("X-Attempt-Id"); id != "" {
		t.attempt = id
	}
	if !t.stream {
		return t.readNonStream(res)
	}
	return t.readStream(res.Body)
}

func (t *turn) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/json")
	h.Set("X-Team", t.chat.load.opts.Team)
	h.Set("X-Client-Account", t.chat.account.name)
	h.Set("X-Chat-Id", t.chat.id)
	if t.chat.hint != "" {
		h.Set("X-Route-Hint", t.chat.hint)
	}
	if t.stream && t.attempt != "" {
		h.Set("Last-Event-ID", t.attempt+"."+strconv.Itoa(t.offset))
	}
}

// readRefusal reads a response whose status is not 200.
func (t *turn) readRefusal(res *http.Response) connectResult {
	var e errorBody
	_ = json.NewDecoder(io.LimitReader(res.Body, maxEvent)).Decode(&e) // the code stays empty if the body has another format
	t.code = e.Error.Code
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	t.refusals = append(t.refusals, refusal{
		status: res.StatusCode, hasRetry: err == nil,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	})
	reported := outcome(res.Header.Get("X-Outcome"))
	if reported == "" {
		reported = e.Error.Outcome
	}
	final := t.code == codePoison
	if reported == notRun && t.attempt != "" && !final {
		return resumeRefused // "not run" refers to the reconnect, not to the original request
	}
	if reported == notRun && !final {
		return requestRefused
	}
	t.outcome = unknown
	if reported == notRun && t.attempt == "" {
		t.outcome = notRun
	}
	return settled
}

// readNonStream reads a response that is not a stream.
func (t *turn) readNonStream(res *http.Response) connectResult {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage engine.Usage `json:"usage"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil || len(answer.Choices) == 0 {
		return connectionBroken
	}
	t.text = answer.Choices[0].Message.Content
	t.usage = answer.Usage
	t.outcome = outcome(res.Header.Get("X-Outcome"))
	t.hint = res.Header.Get("X-Route-Hint")
	t.firstToken = time.Since(t.due)
	return settled
}

// check compares the answer with the expected one, which is the same for every
// engine.
func (t *turn) check() {
	switch {
	case t.fault != noFault || t.outcome != ran:
		return
	case t.text == t.expected:
		return
	case len(t.text) < len(t.expected) && t.expected[:len(t.text)] == t.text:
		t.fault = partialAnswer
	default:
		t.fault = wrongAnswer
	}
}
