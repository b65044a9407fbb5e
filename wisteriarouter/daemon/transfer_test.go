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

// returned is what the chats of an engine found when they came back after it
// had left.
type returned struct {
	chats, warm    int
	prompt, cached coordination.Tokens
}

// trial has chats talk, one engine leave and that engine's chats return.
type trial struct {
	options standin.Options
	wrap    func(http.Handler) http.Handler
	off     bool
	cfg     transfer.Config
	during  func(w *evacuationWorld) // behind the announcement
}

const leavingEngine = coordination.Endpoint("e1")

func (tr trial) run(t *testing.T, check func(w *evacuationWorld, r returned)) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationWorld(t, tr.options, tr.wrap)
		defer w.close()
		for range testEngines {
			w.join()
		}
		if !tr.off {
			w.transfer(tr.cfg, w.client)
		}
		chats := lo.Times(testChats, newTalker)
		for _, c := range chats {
			w.mustSay(c, testPrompt, 16)
		}
		there := lo.Filter(chats, func(c *talker, _ int) bool { return c.at == leavingEngine })
		assert.Assert(t, len(there) > 5, "the engine that leaves has too few chats: %d", len(there))
		e := w.engines[leavingEngine]
		w.leave(leavingEngine, 5*time.Second)
		if tr.during != nil {
			tr.during(w)
		}
		time.Sleep(10 * time.Second)
		var r returned
		for _, c := range there {
			h := w.mustSay(c, 4, 16)
			assert.Assert(t, c.at != leavingEngine)
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

// An engine leaves as planned and its chats return. The first token would come
// late, and all of the prompt would be computed and billed again.
func TestChatsFindTheirCacheBehindPlannedLeave(t *testing.T) {
	trial{}.run(t, func(w *evacuationWorld, r returned) {
		assert.Equal(t, r.warm, r.chats)
		assert.Assert(t, float64(r.cached) > 0.9*float64(r.prompt), "%+v", r)
		assert.Equal(t, w.result(transfer.Moved), r.chats)
	})
}

// The same without moving chats: the checks above would notice.
func TestChatsAreColdWithoutTransfer(t *testing.T) {
	trial{off: true}.run(t, func(_ *evacuationWorld, r returned) {
		assert.Equal(t, r.warm, 0)
	})
}

// An answer is still being given when its engine announces its stop. Its chat
// is stored when it ends, and that is the chat which its user comes back to
// first.
func TestChatThatEndsWhileLeavingIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationWorld(t, standin.Options{Step: 20 * time.Millisecond}, nil)
		defer w.close()
		w.join()
		w.transfer(transfer.Config{}, w.client)
		time.Sleep(2 * time.Second) // until its owner has settled
		late := newTalker(0)
		l := lateTalk{world: w, chat: late, done: make(chan struct{})}
		go l.run()
		time.Sleep(300 * time.Millisecond)
		w.join()
		w.leave(leavingEngine, 3*time.Second)
		assert.Equal(t, late.at, leavingEngine)
		<-l.done
		time.Sleep(5 * time.Second)
		h := w.mustSay(late, 4, 16)
		assert.Equal(t, late.at, coordination.Endpoint("e2"))
		assert.Assert(t, h.usage.Cached > testPrompt, "the answer itself is cached, too: %+v", h.usage)
	})
}

// lateTalk is one answer on its way.
type lateTalk struct {
	world *evacuationWorld
	chat  *talker
	done  chan struct{}
}

func (l lateTalk) run() {
	defer close(l.done)
	l.world.mustSay(l.chat, testPrompt, 64)
}

// only answers calls to a path with a status instead of the engine.
func only(path string, status int) func(http.Handler) http.Handler {
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

// cutExports breaks off each export in the middle.
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

// Moving a chat fails in one way or another. Callers must get their whole
// answers all the same, and nothing but the chats' caches may be lost.
func TestFailedTransferCostsOnlyTheCache(t *testing.T) {
	cases := []struct {
		name  string
		trial trial
		check func(t *testing.T, w *evacuationWorld)
	}{
		{"events are missing", trial{wrap: only("/v1/cache-events", http.StatusNotFound)}, func(t *testing.T, w *evacuationWorld) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"all events are lost", trial{options: standin.Options{EventLoss: 1}}, func(t *testing.T, w *evacuationWorld) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"the link is slow", trial{cfg: transfer.Config{Bandwidth: 125e6}}, func(t *testing.T, w *evacuationWorld) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
		}},
		{"export fails", trial{wrap: only("/v1/kv/export", http.StatusInternalServerError)}, func(t *testing.T, w *evacuationWorld) {
			assert.Assert(t, w.result(transfer.Lost) >= 3)
		}},
		{"export breaks off", trial{wrap: cutExports}, func(t *testing.T, w *evacuationWorld) {
			assert.Assert(t, w.result(transfer.Lost) >= 3)
		}},
		{"import is refused", trial{wrap: only("/v1/kv/import", http.StatusInsufficientStorage)}, func(t *testing.T, w *evacuationWorld) {
			assert.Assert(t, w.result(transfer.Refused) > 5)
		}},
		{"the others are near their bound", trial{wrap: only("/v1/load", http.StatusServiceUnavailable)}, func(t *testing.T, w *evacuationWorld) {
			assert.Equal(t, w.engines[leavingEngine].Stats().Exports, 0)
			assert.Assert(t, w.result(transfer.Busy) > 5)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.trial.run(t, func(w *evacuationWorld, r returned) {
				assert.Equal(t, r.warm, 0)
				assert.Equal(t, w.result(transfer.Moved), 0)
				c.check(t, w)
			})
		})
	}
}

// The engine dies while its chats are being moved over a slow link. Those that
// had been moved are warm; the others cost their caches only.
func TestEngineGoneInMidTransfer(t *testing.T) {
	tr := trial{
		options: standin.Options{LinkBytesPerSec: 100e6},
		during: func(w *evacuationWorld) {
			time.Sleep(1500 * time.Millisecond)
			w.gone(leavingEngine)
		},
	}
	tr.run(t, func(w *evacuationWorld, r returned) {
		moved := w.result(transfer.Moved)
		assert.Assert(t, moved > 0 && moved < r.chats, "%d of %d moved", moved, r.chats)
		assert.Equal(t, r.warm, moved)
	})
}

// process is an engine's process, which on its planned stop waits for the
// connections that are in use.
type process struct {
	server   *http.Server
	listener *pipe.Listener
}

func (p process) run() { _ = p.server.Serve(p.listener) }

// The process of an engine waits for its open connections before it ends. Moves
// that were begun one after the other would keep it from ending for as long as
// there are chats to move, and the platform would kill it at last.
func TestMovesDoNotHoldUpShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEvacuationWorld(t, standin.Options{LinkBytesPerSec: 100e6}, nil)
		defer w.close()
		w.join()
		chats := lo.Times(30, newTalker)
		for _, c := range chats {
			w.mustSay(c, testPrompt, 16)
		}
		w.closes[leavingEngine]() // all is answered; from here on a server that can wait
		e := w.engines[leavingEngine]
		p := process{server: &http.Server{Handler: e}, listener: w.network.Listen("e1:80")}
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
