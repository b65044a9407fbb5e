package caller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/engine"
)

const chats = 60

// session is one chat of a run.
type session struct {
	fleet  *fleet
	n      int
	router int
	result *received
}

func (s session) run() { *s.result = s.fleet.ask(s.fleet.t.Context(), s.router, s.n, received{}) }

// runChats runs all chats at once, spread over the routers, and returns what is
// wrong with their answers.
func (f *fleet) runChats() []string {
	results := make([]received, chats)
	var wg sync.WaitGroup
	for n := range chats {
		s := session{fleet: f, n: n, router: n % len(f.servers), result: &results[n]}
		wg.Go(s.run)
		time.Sleep(7 * time.Millisecond)
	}
	wg.Wait()
	var problems []string
	for n, h := range results {
		if p := h.problem(n); p != "" {
			problems = append(problems, p)
		}
	}
	return problems
}

// faultScenario is what goes wrong at the engines while the chats run.
type faultScenario struct {
	name   string
	faults standin.Faults
	during func(f *fleet)
}

func crash(f *fleet) {
	time.Sleep(100 * time.Millisecond)
	f.engines["e1"].Crash()
	time.Sleep(250 * time.Millisecond)
	f.engines["e2"].Crash()
}

func freeze(f *fleet) {
	time.Sleep(150 * time.Millisecond)
	f.engines["e3"].SetFaults(standin.Faults{FreezeMillis: 4000})
}

func leave(f *fleet) {
	time.Sleep(120 * time.Millisecond)
	f.engines["e2"].Leave()
}

var faultScenarios = []faultScenario{
	{name: "none"},
	{name: "cut connections", faults: standin.Faults{CutStreams: 30, CutAfter: 5}},
	{name: "cut before the first token", faults: standin.Faults{CutStreams: 30}},
	{name: "lost attempts", faults: standin.Faults{CutStreams: 20, CutAfter: 4, CutLoses: true}},
	{name: "late, early and foreign chunks", faults: standin.Faults{Duplicates: 0.2, Swaps: 0.2, Strays: 0.2}},
	{name: "refusals", faults: standin.Faults{RefuseNext: 2}},
	{name: "crashes", during: crash},
	{name: "a frozen engine", during: freeze},
	{name: "a leaving engine", during: leave},
	{name: "all at once", faults: standin.Faults{CutStreams: 15, CutAfter: 3, Duplicates: 0.1, Swaps: 0.1, Strays: 0.1}, during: func(f *fleet) {
		leave(f)
		crash(f)
		freeze(f)
	}},
}

// scenarioRun is a trouble that goes on beside the chats.
type scenarioRun struct {
	faultScenario
	fleet *fleet
}

func (s scenarioRun) run() {
	if s.during != nil {
		s.during(s.fleet)
	}
}

// Connections break, engines die, freeze and send chunks twice, out of order
// or of other attempts. A caller would see words missing, words twice, or
// somebody else's words.
func TestEveryAnswerIsWholeAndItsOwn(t *testing.T) {
	for _, tr := range faultScenarios {
		t.Run(tr.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 4)
				for _, e := range f.engines {
					e.SetFaults(tr.faults)
				}
				var wg sync.WaitGroup
				wg.Go(scenarioRun{tr, f}.run)
				problems := f.runChats()
				wg.Wait()
				assert.Equal(t, len(problems), 0, "%q", problems[:min(3, len(problems))])
				f.waitForCancels()
				assert.Equal(t, f.running(), 0, "attempts run on after all answers have ended")
				t.Logf("tokens generated for each token delivered: %.3f", f.generatedPerDelivered())
			})
		})
	}
}

// waitForCancels waits until cancels have had their time.
func (f *fleet) waitForCancels() { time.Sleep(16 * time.Second) }

// generatedPerDelivered returns how many tokens the engines generated for each that was
// delivered: what callers pay for over what they read.
func (f *fleet) generatedPerDelivered() float64 {
	generated, delivered := 0, 0
	for _, e := range f.engines {
		generated += e.Stats().GeneratedTokens
	}
	for n := range chats {
		delivered += len(strings.Fields(expectedAnswer(n)))
	}
	return float64(generated) / float64(delivered)
}

func (f *fleet) running() int {
	n := 0
	for _, e := range f.engines {
		n += e.Stats().Running
	}
	return n
}

// bodySwapper sends some requests with another chat's body.
type bodySwapper struct {
	caller.Engines
	mu   sync.Mutex
	last []byte
}

func (c *bodySwapper) Start(ctx context.Context, address string, req engine.Request) (*engine.Stream, error) {
	c.mu.Lock()
	if c.last != nil {
		req.Body, c.last = c.last, req.Body
	} else {
		c.last = req.Body
	}
	c.mu.Unlock()
	return c.Engines.Start(ctx, address, req)
}

// tokenSkipper resumes a stream one token too far on.
type tokenSkipper struct {
	caller.Engines
}

func (s tokenSkipper) Resume(ctx context.Context, address string, req engine.Request) (*engine.Stream, error) {
	req.Offset++
	return s.Engines.Resume(ctx, address, req)
}

// A router mixes up two answers, or resumes a stream at the wrong token. The
// check above has to see it, or its silence means nothing.
func TestCheckCatchesInjectedFaults(t *testing.T) {
	injectors := map[string]faultInjector{
		"answers crossed": func(s *caller.Server) { s.Engines = &bodySwapper{Engines: s.Engines} },
		"token skipped":   func(s *caller.Server) { s.Engines = tokenSkipper{s.Engines} },
	}
	for name, p := range injectors {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 2, p)
				for _, e := range f.engines {
					e.SetFaults(standin.Faults{CutStreams: 10, CutAfter: 5})
				}
				assert.Assert(t, len(f.runChats()) > 0)
			})
		})
	}
}

// A router dies while it streams. Its callers reconnect to another router with
// the id of the last event that they saw, and hear the rest: no word twice,
// none missing, and no second model call.
func TestAnswerGoesOnThroughAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, dropCancels)
		for n := range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+n*15)*time.Millisecond)
			before := f.ask(ctx, 0, n, received{})
			cancel()
			after := f.ask(t.Context(), 1, n, before)
			assert.Equal(t, after.problem(n), "")
		}
	})
}

// dropCancels is the plant of a router that dies while it streams: the engine's
// stream breaks and no cancel comes.
func dropCancels(s *caller.Server) { s.Engines = cancelDropper{s.Engines} }

// cancelDropper never cancels, as a process that has died cannot.
type cancelDropper struct {
	caller.Engines
}

func (cancelDropper) Cancel(context.Context, string, coordination.Attempt) (int, error) {
	return 0, nil
}

// Somebody else learns an event id and sends it with a request of its own. It
// must not get the rest of an answer that is not its own.
func TestEventIDOfAnotherRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		before := f.ask(ctx, 0, 1, received{})
		assert.Assert(t, before.lastID != "")
		after := f.ask(t.Context(), 0, 2, before)
		assert.Equal(t, after.status, 400)
		assert.Equal(t, after.header.Get("X-Outcome"), "not-run")
		f.waitForCancels()
	})
}

// A caller goes away in the middle of its answer. Nobody will read the rest,
// so the engine must stop and nobody must be billed for it.
func TestCallerGoneCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancel()
		h := f.ask(ctx, 0, 3, received{})
		assert.Assert(t, !h.complete)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.running(), 0)
		assert.Equal(t, f.engines["e1"].Stats().Cancelled, 1)
	})
}

// The endpoint that runs an attempt dies with the router that followed it. The
// caller still has the text, and gets the rest from another endpoint.
func TestAnswerGoesOnBehindPartialText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2, dropCancels)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		before := f.ask(ctx, 0, 5, received{})
		cancel()
		for _, e := range f.engines {
			e.Crash()
		}
		time.Sleep(time.Second)
		after := f.ask(t.Context(), 1, 5, before)
		assert.Equal(t, after.problem(5), "")

		without := before
		without.text = ""
		lost := f.ask(t.Context(), 1, 5, without)
		assert.Equal(t, lost.status, 502, fmt.Sprint(lost))
		assert.Equal(t, lost.header.Get("X-Outcome"), "unknown")
		assert.Assert(t, lost.header.Get("Retry-After") != "")
	})
}

// Every endpoint refuses, and says so. The caller is told at once that nothing
// ran, and when to come back.
func TestRefusalsByAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		for _, e := range f.engines {
			e.SetFaults(standin.Faults{RefuseNext: 100})
		}
		h := f.ask(t.Context(), 0, 1, received{})
		assert.Equal(t, h.status, 429)
		assert.Equal(t, h.header.Get("X-Outcome"), "not-run")
		assert.Assert(t, h.header.Get("Retry-After") != "")
		assert.Equal(t, f.engines["e1"].Stats().GeneratedTokens, 0)
	})
}

// An engine takes each resume and breaks it off before another token. The
// caller would wait for ever, and the engine be asked thousands of times a
// second; the answer has to go on elsewhere.
func TestResumesWithoutProgressEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.engines["e1"].SetFaults(standin.Faults{CutStreams: 1000, CutAfter: 0})
		for n := range 4 {
			h := f.ask(t.Context(), 0, n, received{})
			assert.Equal(t, h.problem(n), "")
		}
		resumed := f.engines["e1"].Stats().Resumed
		assert.Assert(t, resumed > 0 && resumed <= 4*8, "%d resumes", resumed)
		f.waitForCancels()
	})
}
