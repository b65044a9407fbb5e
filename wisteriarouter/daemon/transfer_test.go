package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
	"wisteriaspool/coordination/transfer"
	standin "wisteriaspool/standin/engine"
	"wisteriaspool/standin/pipe"
)

const (
	testChats   = 60
	testEngines = 4
	testPrompt  = 320 // words
)

// returnStats sums up the cache hits of an engine's chats when they return after
// the engine has left.
type returnStats struct {
	chats, warm    int
	prompt, cached coordination.Tokens
}

// transferScenario runs chats, lets one engine leave and has that engine's chats
// return.
type transferScenario struct {
	options  standin.Options
	wrap     func(http.Handler) http.Handler
	disabled bool
	cfg      transfer.Config
	during   func(w *evacuationEnv) // called after the engine has announced its stop
}

const leavingEngine = coordination.Endpoint("e1")

func (tr transferScenario) run(t *testing.T, check func(w *evacuationEnv, r returnStats)) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationEnv(t, tr.options, tr.wrap)
		defer w.close()
		for range testEngines {
			w.join()
		}
		if !tr.disabled {
			w.transfer(tr.cfg, w.client)
		}
		chats := lo.Times(testChats, newChatSession)
		for _, c := range chats {
			w.mustSend(c, testPrompt, 16)
		}
		there := lo.Filter(chats, func(c *chatSession, _ int) bool { return c.lastEndpoint == leavingEngine })
		assert.Assert(t, len(there) > 5, "the engine that leaves has too few chats: %d", len(there))
		e := w.engines[leavingEngine]
		w.leave(leavingEngine, 5*time.Second)
		if tr.during != nil {
			tr.during(w)
		}
		time.Sleep(10 * time.Second)
		var r returnStats
		for _, c := range there {
			h := w.mustSend(c, 4, 16)
			assert.Assert(t, c.lastEndpoint != leavingEngine)
			r.chats++
			r.prompt += h.usage.Prompt
			r.cached += h.usage.Cached
			if h.usage.Cached > 0 {
				r.warm++
			}
		}
		assert.Equal(t, e.Stats().ArrivalsLeaving, 0)
		check(w, r)
	})
}

// An engine leaves as planned and its chats return. Without their caches, the first
// token would come late, and the whole prompt would be computed and billed again.
func TestChatsFindTheirCacheBehindPlannedLeave(t *testing.T) {
	transferScenario{}.run(t, func(w *evacuationEnv, r returnStats) {
		assert.Equal(t, r.warm, r.chats)
		assert.Assert(t, float64(r.cached) > 0.9*float64(r.prompt), "%+v", r)
		assert.Equal(t, w.result(transfer.Moved), r.chats)
	})
}

// Verifies the check above: without transfer, no returning chat finds its cache.
func TestChatsAreColdWithoutTransfer(t *testing.T) {
	transferScenario{disabled: true}.run(t, func(_ *evacuationEnv, r returnStats) {
		assert.Equal(t, r.warm, 0)
	})
}

// A response is still being streamed when its engine announces its stop. Its cache
// is stored when it ends and must be moved then: that chat is the first to return.
func TestChatThatEndsWhileLeavingIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationEnv(t, standin.Options{Step: 20 * time.Millisecond}, nil)
		defer w.close()
		w.join()
		w.transfer(transfer.Config{}, w.client)
		time.Sleep(2 * time.Second) // until placement has settled on its owner
		late := newChatSession(0)
		l := pendingAnswer{env: w, chat: late, done: make(chan struct{})}
		go l.run()
		time.Sleep(300 * time.Millisecond)
		w.join()
		w.leave(leavingEngine, 3*time.Second)
		assert.Equal(t, late.lastEndpoint, leavingEngine)
		<-l.done
		time.Sleep(5 * time.Second)
		h := w.mustSend(late, 4, 16)
		assert.Equal(t, late.lastEndpoint, coordination.Endpoint("e2"))
		assert.Assert(t, h.usage.Cached > testPrompt, "the response itself must be cached too: %+v", h.usage)
	})
}

// pendingAnswer is a response in progress; done is closed when it has ended.
type pendingAnswer struct {
	env  *evacuationEnv
	chat *chatSession
	done chan struct{}
}

func (l pendingAnswer) run() {
	defer close(l.done)
	l.env.mustSend(l.chat, testPrompt, 64)
}

// respondWith answers calls to a path with a status in place of the engine.
func respondWith(path string, status int) func(http.Handler) http.Handler {
	return func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, path) {
				http.Error(w, "planted", status)
				return
			}
			h.ServeHTTP(w, r)
		})
	}
}

// cutExports aborts each export in the middle of its body.
func cutExports(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv/export" {
			_, _ = w.Write(make([]byte, 8<<10))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Whichever way a transfer fails, callers must get complete responses, and nothing
// but the caches of the chats may be lost.
func TestFailedTransferCostsOnlyTheCache(t *testing.T) {
	cases := []struct {
		name     string
		scenario transferScenario
		check    func(t *testing.T, w *evacuationEnv)
	}{
		{"events are missing", transferScenario{wrap: respondWith("/v1/cache-events", http.StatusNotFound)}, func(t *testing.T, w *evacuationEnv) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"all events are lost", transferScenario{options: standin.Options{EventLoss: 1}}, func(t *testing.T, w *evacuationEnv) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"the link is slow", transferScenario{cfg: transfer.Config{Bandwidth: 125e6}}, func(t *testing.T, w *evacuationEnv) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"export fails", transferScenario{wrap: respondWith("/v1/kv/export", http.StatusInternalServerError)}, func(t *testing.T, w *evacuationEnv) {
			assert.Assert(t, w.result(transfer.Lost) >= 3)
		}},
		{"export breaks off", transferScenario{wrap: cutExports}, func(t *testing.T, w *evacuationEnv) {
			assert.Assert(t, w.result(transfer.Lost) >= 3)
		}},
		{"import is refused", transferScenario{wrap: respondWith("/v1/kv/import", http.StatusInsufficientStorage)}, func(t *testing.T, w *evacuationEnv) {
			assert.Assert(t, w.result(transfer.Refused) > 5)
		}},
		{"the others are near their bound", transferScenario{wrap: respondWith("/v1/load", http.StatusServiceUnavailable)}, func(t *testing.T, w *evacuationEnv) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
			assert.Assert(t, w.result(transfer.Busy) > 5)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.scenario.run(t, func(w *evacuationEnv, r returnStats) {
				assert.Equal(t, r.warm, 0)
				assert.Equal(t, w.result(transfer.Moved), 0)
				c.check(t, w)
			})
		})
	}
}

// The engine dies while its chats are being moved over a slow link. Chats already
// moved find their caches; the others lose theirs and nothing else.
func TestEngineGoneInMidTransfer(t *testing.T) {
	tr := transferScenario{
		options: standin.Options{LinkBytesPerSec: 100e6},
		during: func(w *evacuationEnv) {
			time.Sleep(1500 * time.Millisecond)
			w.kill(leavingEngine)
		},
	}
	tr.run(t, func(w *evacuationEnv, r returnStats) {
		moved := w.result(transfer.Moved)
		assert.Assert(t, moved > 0 && moved < r.chats, "%d of %d moved", moved, r.chats)
		assert.Equal(t, r.warm, moved)
	})
}

// engineProcess is an engine's server process. On a planned stop it waits for the
// connections in use.
type engineProcess struct {
	server   *http.Server
	listener *pipe.Listener
}

func (p engineProcess) run() { _ = p.server.Serve(p.listener) }

// An engine's process waits for its open connections before it ends. Moves that
// kept starting one after the other would delay its end for as long as there are
// chats to move, until the platform killed it.
func TestMovesDoNotHoldUpShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationEnv(t, standin.Options{LinkBytesPerSec: 100e6}, nil)
		defer w.close()
		w.join()
		chats := lo.Times(30, newChatSession)
		for _, c := range chats {
			w.mustSend(c, testPrompt, 16)
		}
		w.closes[leavingEngine]() // all requests are answered; replaced by a server with Shutdown
		e := w.engines[leavingEngine]
		p := engineProcess{server: &http.Server{Handler: e}, listener: w.network.Listen("e1:80")}
		go p.run()
		w.closes[leavingEngine] = func() { _ = p.server.Close() }
		w.join()
		w.transfer(transfer.Config{}, w.client)
		e.Leave()
		w.directory.RecordLeaving(leavingEngine, coordination.Incarnation(e.Incarnation()))
		time.Sleep(3 * time.Second)
		start := time.Now()
		assert.NilError(t, p.server.Shutdown(context.Background()))
		took := time.Since(start)
		assert.Assert(t, took <= transfer.Config{}.WithDefaults().MoveTimeout, "held up for %v", took)
		time.Sleep(5 * time.Second)
		moved := w.result(transfer.Moved)
		assert.Assert(t, moved > 0 && moved < len(chats), "%d of %d moved", moved, len(chats))
	})
}
