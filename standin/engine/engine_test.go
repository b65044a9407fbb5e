package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/standin/pipe"
)

// fixture holds two engines and a client, connected by in-memory pipes.
type fixture struct {
	t      *testing.T
	client *http.Client
	one    *Engine // at http://one
	two    *Engine // at http://two
}

// inBubble runs f with two engines under synctest's fake clock.
func inBubble(t *testing.T, opts Options, f func(s *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &pipe.Network{}
		one, endOne := New(opts)
		two, endTwo := New(opts)
		stopOne := network.Serve("one:80", one)
		stopTwo := network.Serve("two:80", two)
		transport := network.Transport()
		defer func() {
			endOne()
			endTwo()
			transport.CloseIdleConnections()
			stopOne()
			stopTwo()
		}()
		f(&fixture{t: t, client: &http.Client{Transport: transport}, one: one, two: two})
	})
}

// answer is the part of a streamed response that was received.
type answer struct {
	status int
	header http.Header
	ids    []string
	text   string
	usage  Usage
	done   bool
}

// ask sends a request with the attempt id and reads the response to its end. The
// header list alternates names and values.
func (s *fixture) ask(engine, id string, req Request, header ...string) answer {
	s.t.Helper()
	body, err := json.Marshal(req)
	assert.NilError(s.t, err)
	r, err := http.NewRequest(http.MethodPost, engine+"/v1/chat/completions", bytes.NewReader(body))
	assert.NilError(s.t, err)
	r.Header.Set("X-Attempt-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return s.read(r)
}

// pendingRequest is a request that runs in its own goroutine.
type pendingRequest struct {
	fixture *fixture
	engine  string
	id      string
	req     Request
	header  []string
	got     chan answer
}

func (a *pendingRequest) run() { a.got <- a.fixture.ask(a.engine, a.id, a.req, a.header...) }

// askAsync sends a request without waiting for the response.
func (s *fixture) askAsync(engine, id string, req Request, header ...string) <-chan answer {
	a := &pendingRequest{fixture: s, engine: engine, id: id, req: req, header: header, got: make(chan answer, 1)}
	go a.run()
	return a.got
}

func (s *fixture) resume(engine, id string, after int) answer {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/v1/attempts/%s/stream?after=%d", engine, id, after), nil)
	assert.NilError(s.t, err)
	return s.read(r)
}

// read sends r and reads the response. The status is zero if the connection broke
// before a response.
func (s *fixture) read(r *http.Request) answer {
	s.t.Helper()
	res, err := s.client.Do(r)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	out := answer{status: res.StatusCode, header: res.Header}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			out.ids = append(out.ids, id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			out.done = true
		default:
			out.add(s.t, data)
		}
	}
	return out
}

func (a *answer) add(t *testing.T, data string) {
	t.Helper()
	var c chunk
	assert.NilError(t, json.Unmarshal([]byte(data), &c))
	a.text += c.Choices[0].Delta.Content
	if c.Usage != nil {
		a.usage = *c.Usage
	}
}

// chatRequest returns a streamed request whose prompt is name repeated n times.
func chatRequest(name string, n, maxTokens int) Request {
	text := strings.Repeat(name+" ", n)
	return Request{Stream: true, MaxTokens: maxTokens, Messages: []Message{{Role: "user", Content: Content(text)}}}
}

func TestAnswerIsCompleteAndDeterministic(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		req := chatRequest("a", 40, 20)
		got := s.ask("http://one", "x", req)
		assert.Equal(s.t, got.text, Answer(req.Messages, 20))
		assert.Check(s.t, got.done)
		assert.Equal(s.t, len(got.ids), 21)
		assert.Equal(s.t, got.ids[20], "x.20") // the closing chunk carries the total
		for i, id := range got.ids[:20] {
			assert.Equal(s.t, id, "x."+strconv.Itoa(i+1))
		}
		assert.DeepEqual(s.t, got.usage, Usage{PromptTokens: 40, CompletionTokens: 20, TotalTokens: 60})
		other := s.ask("http://two", "y", chatRequest("b", 40, 20))
		assert.Check(s.t, other.text != got.text)
	})
}

// An engine fails in the middle of an answer and another one continues it. Guards
// against missing and repeated tokens where the two parts join.
func TestContinuationCompletesPartialAnswer(t *testing.T) {
	for _, maxTokens := range []int{0, 30} {
		req := chatRequest("a", 40, maxTokens)
		tokens := AnswerTokens(req.Messages, maxTokens)
		for _, had := range []int{1, len(tokens) / 2, len(tokens) - 1} {
			inBubble(t, Options{}, func(s *fixture) {
				rest := req
				rest.ContinueFinalMessage = true
				rest.Messages = append(req.Messages[:1:1], Message{
					Role: "assistant", Content: Content(strings.Join(tokens[:had], "")),
				})
				if maxTokens > 0 {
					rest.MaxTokens -= had
				}
				got := s.ask("http://two", "y", rest)
				assert.Equal(s.t, got.text, strings.Join(tokens[had:], ""))
				assert.Equal(s.t, got.ids[0], "y."+strconv.Itoa(had+1))
				assert.Equal(s.t, s.two.Stats().WrongContinued, 0)
			})
		}
	}
}

// The connection breaks, the attempt continues, and its reader resumes. Guards
// against tokens that are generated, and therefore billed, twice.
func TestResumeAfterBrokenConnection(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		s.one.SetFaults(Faults{CutStreams: 1, CutAfter: 5})
		req := chatRequest("a", 40, 20)
		first := s.ask("http://one", "x", req)
		assert.Equal(s.t, len(first.ids), 5)
		assert.Check(s.t, !first.done)

		time.Sleep(9 * time.Second)
		rest := s.resume("http://one", "x", 5)
		assert.Check(s.t, rest.done)
		assert.Equal(s.t, rest.ids[0], "x.6")
		assert.Equal(s.t, first.text+rest.text, Answer(req.Messages, 20))
		assert.Equal(s.t, s.one.Stats().GeneratedTokens, 20)

		closing := s.resume("http://one", "x", 20)
		assert.Check(s.t, closing.done)
		assert.Equal(s.t, strings.Join(closing.ids, " "), "x.20")
	})
}

// No reader resumes an attempt after its connection broke. Guards against an
// engine that keeps generating tokens, which are billed although nobody reads
// them.
func TestUnreadAttemptIsCancelled(t *testing.T) {
	inBubble(t, Options{Step: time.Second}, func(s *fixture) {
		s.one.SetFaults(Faults{CutStreams: 1, CutAfter: 2})
		s.ask("http://one", "x", chatRequest("a", 16, 100))
		time.Sleep(20 * time.Second)
		stats := s.one.Stats()
		assert.Equal(s.t, stats.Cancelled, 1)
		assert.Check(s.t, stats.GeneratedTokens <= 13, "generated %d", stats.GeneratedTokens)
		assert.Equal(s.t, s.resume("http://one", "x", 2).status, http.StatusNotFound)
	})
}

func TestCancelStopsGenerating(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		done := s.askAsync("http://one", "x", chatRequest("a", 16, 100))
		time.Sleep(105 * time.Millisecond)
		var response Cancelled
		assert.Equal(s.t, s.post("http://one/v1/attempts/x/cancel", "", &response), http.StatusOK)
		assert.Check(s.t, !(<-done).done)
		time.Sleep(time.Second)
		assert.Check(s.t, response.Generated > 0)
		assert.Equal(s.t, s.one.Stats().GeneratedTokens, response.Generated)
		assert.Equal(s.t, s.post("http://one/v1/attempts/none/cancel", "", &response), http.StatusNotFound)
	})
}

// post sends a body, decodes the response into v unless it is nil, and returns the
// status.
func (s *fixture) post(url, body string, v any) int {
	s.t.Helper()
	res, err := s.client.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(s.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(s.t, err)
	if v != nil {
		assert.NilError(s.t, json.Unmarshal(data, v))
	}
	return res.StatusCode
}

// A router sends an attempt again after it lost the response. Guards against
// running the attempt twice, which would bill the user twice.
func TestDuplicateAttemptIsRefused(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		done := s.askAsync("http://one", "x", chatRequest("a", 16, 10))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(s.t, s.ask("http://one", "x", chatRequest("a", 16, 10)).status, http.StatusConflict)
		assert.Check(s.t, (<-done).done)
		assert.Equal(s.t, s.one.Stats().GeneratedTokens, 10)
	})
}

// A leaving engine finishes the attempts that it accepted. It refuses new requests
// explicitly as not run, so that a router may send them elsewhere.
func TestLeavingFinishesAcceptedAttempts(t *testing.T) {
	inBubble(t, Options{Capacity: 1}, func(s *fixture) {
		first := s.askAsync("http://one", "x", chatRequest("a", 16, 50))
		second := s.askAsync("http://one", "y", chatRequest("b", 16, 50))
		time.Sleep(100 * time.Millisecond)
		s.one.Leave()
		refused := s.ask("http://one", "z", chatRequest("c", 16, 50))
		assert.Equal(s.t, refused.status, http.StatusServiceUnavailable)
		assert.Equal(s.t, refused.header.Get("X-Outcome"), "not-run")
		assert.Equal(s.t, refused.header.Get("X-State"), "leaving")
		assert.NilError(s.t, s.one.Drain(s.t.Context()))
		assert.Check(s.t, (<-first).done)
		assert.Check(s.t, (<-second).done)
	})
}

// An engine is stopped while a reader is disconnected. Guards against a Drain that
// does not wait for the reader to resume, which loses an answer that was paid for.
func TestDrainWaitsForReaderToReconnect(t *testing.T) {
	inBubble(t, Options{}, func(s *fixture) {
		s.one.SetFaults(Faults{CutStreams: 1, CutAfter: 5})
		s.ask("http://one", "x", chatRequest("a", 16, 50))
		s.one.Leave()
		start := time.Now()
		rest := make(chan answer, 1)
		timer := time.AfterFunc(4*time.Second, func() { rest <- s.resume("http://one", "x", 5) })
		defer timer.Stop()
		assert.NilError(s.t, s.one.Drain(s.t.Context()))
		assert.Check(s.t, time.Since(start) >= 4*time.Second)
		assert.Check(s.t, (<-rest).done)
	})
}

// Waiting requests start in order of priority, not of arrival.
func TestWaitingRequestsRunByPriority(t *testing.T) {
	inBubble(t, Options{Capacity: 1}, func(s *fixture) {
		running := s.askAsync("http://one", "running", chatRequest("a", 16, 20))
		time.Sleep(50 * time.Millisecond)
		low := s.askAsync("http://one", "low", chatRequest("b", 16, 20))
		time.Sleep(50 * time.Millisecond)
		high := s.askAsync("http://one", "high", chatRequest("c", 16, 20), "X-Priority", "5")
		<-running
		assert.Check(s.t, (<-high).done)
		select {
		case <-low:
			s.t.Error("the lower priority was not last")
		default:
		}
		assert.Check(s.t, (<-low).done)
		stats := s.one.Stats()
		assert.Equal(s.t, stats.PeakRunning, 1)
		assert.Equal(s.t, stats.PeakLoad, 3)
	})
}

func TestLoadReportIsDelayed(t *testing.T) {
	inBubble(t, Options{LoadReportLag: time.Second, Step: time.Second}, func(s *fixture) {
		time.Sleep(2 * time.Second)
		done := s.askAsync("http://one", "x", chatRequest("a", 16, 10))
		time.Sleep(500 * time.Millisecond)
		assert.Equal(s.t, s.load().Running, 0)
		time.Sleep(time.Second)
		assert.Equal(s.t, s.load().Running, 1)
		<-done
	})
}

func (s *fixture) load() Load {
	s.t.Helper()
	res, err := s.client.Get("http://one/v1/load")
	assert.NilError(s.t, err)
	defer res.Body.Close()
	var out Load
	assert.NilError(s.t, json.NewDecoder(res.Body).Decode(&out))
	return out
}

// A former holder of the order lease resumes and sends an order. An engine that
// checks fencing numbers refuses it; one that ignores them accepts it.
func TestOrdersCheckFencingNumber(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		inBubble(t, Options{IgnoreFencing: ignore}, func(s *fixture) {
			order := func(n int) int {
				return s.post("http://one/v1/orders", fmt.Sprintf(`{"fencing":%d,"kind":"set-version","name":"m","version":"v%d"}`, n, n), nil)
			}
			assert.Equal(s.t, order(2), http.StatusOK)
			want := http.StatusConflict
			if ignore {
				want = http.StatusOK
			}
			assert.Equal(s.t, order(1), want)
			assert.Equal(s.t, order(2), http.StatusOK)
			assert.Equal(s.t, s.post("http://one/v1/orders", `{"fencing":9,"kind":"dance"}`, nil), http.StatusBadRequest)
		})
	}
}
