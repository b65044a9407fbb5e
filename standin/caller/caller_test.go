package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/standin/engine"
	"wisteriaspool/standin/pipe"
	"wisteriaspool/standin/service"
)

// fakeRouter is a minimal stateless router that forwards chats to one engine and
// actions to one service.
type fakeRouter struct {
	client  *http.Client
	attempt atomic.Int64
	name    string
	// alter, if set, modifies one event of a stream. It returns false to break
	// the connection.
	alter func(event string) (string, bool)
	// actionOutcome, if set, replaces the outcome of actions.
	actionOutcome string
	refuse        atomic.Int64 // number of chats to refuse as not run
	refusalCode   string       // error code of those refusals
	down          atomic.Bool
}

func (p *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case p.down.Load():
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/readyz":
	case r.URL.Path == "/metrics":
		_, _ = fmt.Fprintf(w, "# TYPE tries counter\ntries{kind=\"chat\"} %d\ntries{kind=\"action\"} 99\ntries_other 7\n", p.attempt.Load())
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		p.forwardAction(w, r)
	case p.refuse.Add(-1) >= 0:
		w.Header().Set("Retry-After", "1")
		w.Header().Set("X-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q}}`, p.refusalCode)
	default:
		p.forwardChat(w, r)
	}
}

func (p *fakeRouter) forwardAction(w http.ResponseWriter, r *http.Request) {
	res, err := p.client.Post("http://desk/actions/confirm", "application/json", r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	w.Header().Set("X-Outcome", res.Header.Get("X-Outcome"))
	if p.actionOutcome != "" {
		w.Header().Set("X-Outcome", p.actionOutcome)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.Copy(w, res.Body)
}

func (p *fakeRouter) forwardChat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	req, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://engine/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", p.name, p.attempt.Add(1)))
	req.Header.Set("X-Chat-Id", r.Header.Get("X-Chat-Id"))
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		id, after, _ := strings.Cut(last, ".")
		req, _ = http.NewRequestWithContext(r.Context(), http.MethodGet, "http://engine/v1/attempts/"+id+"/stream?after="+after, nil)
	}
	res, err := p.client.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	w.Header().Set("X-Attempt-Id", res.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Outcome", "ran")
	w.WriteHeader(res.StatusCode)
	_ = http.NewResponseController(w).Flush()
	p.forwardEvents(w, res.Body)
}

func (p *fakeRouter) forwardEvents(w http.ResponseWriter, r io.Reader) {
	flusher := http.NewResponseController(w)
	events := newSSEReader(r)
	for {
		e, ok := events.next()
		if !ok || p.down.Load() {
			panic(http.ErrAbortHandler)
		}
		text := "data: " + e.data + "\n\n"
		if e.id != "" {
			text = "id: " + e.id + "\n" + text
		}
		if e.data == "[DONE]" {
			text = `event: outcome` + "\n" + `data: {"outcome":"ran","route_hint":"h"}` + "\n\n" + text
		}
		if p.alter != nil {
			text, ok = p.alter(text)
		}
		if !ok {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = flusher.Flush()
	}
}

// fixture is two fake routers in front of one engine and one service, with the
// options of a small load on them.
type fixture struct {
	routers [2]*fakeRouter
	engine  *engine.Engine
	service *service.Service
	opts    Options
}

// runWithFixture runs f with a fixture under the fake clock.
func runWithFixture(t *testing.T, f func(t *testing.T, s *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &pipe.Network{}
		transport := network.Transport()
		client := &http.Client{Transport: transport}
		e, endEngine := engine.New(engine.Options{})
		desk, endDesk := service.New(service.Options{})
		s := &fixture{engine: e, service: desk, opts: Options{
			Routers: []string{"http://r0", "http://r1"}, Duration: 6 * time.Second, Rate: 4, Seed: 7, MaxTokens: 12,
			ActionRate: 1, Engines: []string{"http://engine"}, Services: []string{"http://desk"}, HTTP: client,
		}}
		stops := []func(){network.Serve("engine:80", e), network.Serve("desk:80", desk)}
		for i := range s.routers {
			s.routers[i] = &fakeRouter{client: client, name: fmt.Sprintf("r%d", i)}
			stops = append(stops, network.Serve(fmt.Sprintf("r%d:80", i), s.routers[i]))
		}
		defer func() {
			endEngine()
			endDesk()
			transport.CloseIdleConnections()
			for _, stop := range stops {
				stop()
			}
		}()
		f(t, s)
	})
}

func (s *fixture) run(t *testing.T) Report {
	t.Helper()
	r, err := Run(t.Context(), s.opts)
	assert.NilError(t, err)
	assert.Check(t, r.Requests > 20, "only %d requests", r.Requests)
	assert.Equal(t, r.Ran+r.NotRun+r.Unknown, r.Requests)
	assert.Equal(t, len(r.Unchecked), 0)
	return r
}

func TestLoadOnCorrectRouters(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.ActionRate, s.opts.MaxTokens = 0, 0 // answers of their natural length
		s.opts.Counters = []string{`tries{kind="chat"}`}
		r := s.run(t)
		assert.Equal(t, r.Failures(), 0)
		assert.Equal(t, r.Ran, r.Requests)
		assert.Equal(t, r.Resumes+r.Resent, 0)
		assert.Check(t, r.Returning > 0)
		assert.Check(t, r.Reuse.Ratio > 0.5 && r.Reuse.Ratio < 1, "reuse %v", r.Reuse)
		assert.Equal(t, s.engine.Stats().GeneratedTokens, r.Tokens)
		assert.Check(t, r.FirstToken.P50 > 0 && r.FirstToken.P50 <= r.FirstToken.P99)
		assert.Equal(t, r.Skew.Worst, 1.0) // there is only one engine
		assert.Equal(t, r.Counters[0].Routers, 2)
		assert.Equal(t, math.Round(r.Counters[0].Mean*2*r.Seconds), float64(r.Requests))
	})
}

func TestLoadRepeatsWithItsSeed(t *testing.T) {
	var tables [2]string
	for i := range tables {
		runWithFixture(t, func(t *testing.T, s *fixture) {
			s.opts.ActionRate = 0
			r := s.run(t)
			tables[i] = fmt.Sprint(r.Requests, r.Returning, r.Tokens, r.Reuse.PromptTokens)
		})
	}
	assert.Equal(t, tables[0], tables[1])
}

// Guards against a load that does not detect answers that are incomplete or
// belong to another request.
func TestBadAnswersAreDetected(t *testing.T) {
	drop := func(event string) (string, bool) {
		if strings.Contains(event, ".3\n") {
			return "", true
		}
		return event, true
	}
	swapWord := func(event string) (string, bool) {
		return strings.Replace(event, `"content":"b`, `"content":"x`, 1), true
	}
	twice := func(event string) (string, bool) {
		if strings.Contains(event, ".3\n") {
			return event + event, true
		}
		return event, true
	}
	misnumber := func(event string) (string, bool) {
		return strings.Replace(event, ".3\n", ".9\n", 1), true
	}
	endEarly := func(event string) (string, bool) {
		if strings.Contains(event, ".3\n") {
			return event + "event: outcome\ndata: {\"outcome\":\"ran\"}\n\ndata: [DONE]\n\n", true
		}
		return event, true
	}
	for _, test := range []struct {
		name    string
		alter   func(string) (string, bool)
		partial bool
	}{
		{"a token is missing", drop, false},
		{"a token is another's", swapWord, false},
		{"a token comes twice", twice, false},
		{"an offset jumps", misnumber, false},
		{"the answer ends early", endEarly, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, s *fixture) {
				s.routers[0].alter = test.alter
				r := s.run(t)
				assert.Equal(t, r.Partial > 0, test.partial)
				assert.Equal(t, r.Wrong > 0, !test.partial)
				assert.Check(t, r.Failures() > 0)
			})
		})
	}
}

// A router fails while it serves streams. Callers reconnect through the other
// router with the ID of the last event received, and receive the remaining tokens
// without any being generated twice.
func TestCallersResumeThroughAnotherRouter(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.ActionRate = 0
		timer := time.AfterFunc(3*time.Second, func() { s.routers[0].down.Store(true) })
		defer timer.Stop()
		r := s.run(t)
		assert.Check(t, r.Resumes > 0)
		assert.Equal(t, r.Failures(), 0)
		assert.Equal(t, r.Ran, r.Requests)
		assert.Equal(t, s.engine.Stats().GeneratedTokens, r.Tokens)
	})
}

// A router refuses chats as not run. Callers retry after Retry-After; turns
// without retries left are counted as not run.
func TestRefusedTurns(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.routers[0].refuse.Store(4)
		s.opts.Retries, s.opts.ActionRate = 1, 0
		r := s.run(t)
		assert.Equal(t, r.Refusals, Refusals{WithRetryAfter: 4})
		assert.Equal(t, r.Resent+r.NotRun, 4)
		assert.Check(t, r.Resent > 0)
		assert.Equal(t, r.Failures(), 0)
	})
}

// Guards against faults that go undetected: both routers forward an action that
// must run at most once, or both report the wrong outcome.
func TestBadActionsAreDetected(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		r := s.run(t)
		assert.Check(t, r.Actions.Sent > 0)
		assert.Equal(t, r.Actions.Doubled, r.Actions.Sent)
		assert.Equal(t, r.Actions.Differing, r.Actions.Sent)
	})
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.routers[0].actionOutcome, s.routers[1].actionOutcome = "not-run", "not-run"
		s.service.SetFaults(service.Faults{})
		s.opts.Services = []string{"http://desk"}
		r := s.run(t)
		assert.Equal(t, r.Actions.NotRun, r.Actions.Sent)
		assert.Equal(t, r.Actions.Doubled+r.Actions.FalseNotRun, r.Actions.Sent)
	})
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.service.SetFaults(service.Faults{Refuse: 1})
		s.routers[0].actionOutcome, s.routers[1].actionOutcome = "ran", "ran"
		r := s.run(t)
		assert.Equal(t, r.Actions.FalseRan, r.Actions.Sent)
	})
}

// Some accounts surge in the middle third of the load. This must raise the number
// of requests by more than half, and must not delay the arrivals of the others.
func TestSurge(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.ActionRate = 0
		calm := s.run(t)
		s.opts.SurgingAccounts, s.opts.Seed = 3, 7
		surge := s.run(t)
		assert.Check(t, surge.Requests > calm.Requests*3/2, "%d after %d", surge.Requests, calm.Requests)
	})
}

// A permanent refusal as poison must not be retried.
func TestFinalRefusal(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.ActionRate = 0
		for _, p := range s.routers {
			p.refusalCode = codePoison
			p.refuse.Store(math.MaxInt32)
		}
		r := s.run(t)
		assert.Equal(t, r.NotRun, r.Requests)
		assert.Equal(t, r.Refusals.WithRetryAfter, r.Requests)
		assert.Equal(t, r.Codes[codePoison], r.Requests)
	})
}

// A request crashes each engine that runs it, and its caller sends it repeatedly.
// The routers forward it every time, and the report must count the crashes.
func TestPoisonIsCounted(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.ActionRate, s.opts.PoisonRequests, s.opts.Timeout = 0, 1, 3*time.Second
		r := s.run(t)
		assert.Equal(t, r.Poison.Requests, 1)
		assert.Equal(t, r.Poison.Sent, poisonAttempts)
		assert.Equal(t, r.Poison.Final, 0)
		assert.Check(t, r.Poison.Crashes >= poisonAttempts)
		assert.Equal(t, r.Poison.Crashes, s.engine.Stats().Crashes)
	})
}

func TestRequestsAreBounded(t *testing.T) {
	runWithFixture(t, func(t *testing.T, s *fixture) {
		s.opts.Requests, s.opts.ActionRate = 21, 0
		assert.Equal(t, s.run(t).Requests, 21)
	})
}

func TestRunNeedsRouters(t *testing.T) {
	_, err := Run(context.Background(), Options{Duration: time.Second, Rate: 1})
	assert.ErrorContains(t, err, "routers")
}

func TestComputeSkew(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms, running int) engine.Sample {
		return engine.Sample{At: start.Add(time.Duration(ms) * time.Millisecond), Running: running, State: engine.Live}
	}
	leaving := at(0, 0)
	leaving.State = engine.Leaving
	histories := [][]engine.Sample{
		{at(0, 2), at(40, 6)},
		{at(0, 2)},
		{leaving},
	}
	got := ComputeSkew(histories, start, start.Add(80*time.Millisecond), 1.25)
	assert.DeepEqual(t, *got, Skew{Samples: 4, P50: 1.5, P99: 1.5, Worst: 1.5, Bound: 1.25, SamplesOver: 2, Placements: 1, PlacementsOver: 1, MaxExcess: 1})
}

func TestReportAsText(t *testing.T) {
	r := Report{
		Seconds: 10, Requests: 100, Returning: 70, Ran: 97, NotRun: 2, Unknown: 1, Resumes: 4, Resent: 2,
		Codes:    CodeCounts{"overloaded": 2, "": 1},
		Refusals: Refusals{WithRetryAfter: 4}, Reuse: Reuse{PromptTokens: 1000, CachedTokens: 750, Ratio: 0.75},
		FirstToken: Quantiles{10, 20, 30, 40}, TokenGap: Quantiles{1, 2, 3, 4.5},
		Actions:   ActionReport{Sent: 10, Ran: 9, Unknown: 1, Checked: 10},
		Skew:      &Skew{Samples: 500, P50: 1.1, P99: 1.6, Worst: 2, Bound: 1.25, SamplesOver: 3, Placements: 100, PlacementsOver: 2, MaxExcess: 1},
		Poison:    PoisonReport{Requests: 1, Sent: 5, Final: 4, Crashes: 2, Codes: CodeCounts{"poison": 4, "endpoint-lost": 1}},
		Counters:  []Rate{{Name: "wisteria_peer_bytes_total", Routers: 3, Mean: 900, Highest: 1000.5}},
		Unchecked: []string{"no engine answers"},
	}
	var out bytes.Buffer
	assert.NilError(t, r.WriteText(&out))
	golden.Assert(t, out.String(), "report.txt")
}
