package transfer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriaspool/coordination"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// moveAll performs all moves of a plan, one at a time and in no time, and
// returns the chats.
func moveAll(p *Plan) []coordination.Chat {
	var chats []coordination.Chat
	for {
		s := p.Next(testStart)
		if s.Action != Move {
			return chats
		}
		chats = append(chats, s.Chat)
		p.MoveEnded(testStart, s.Chat, Moved, 0)
	}
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name   string
		events []Event
		want   []coordination.Chat
	}{
		{"latest first", []Event{{1, "a", Stored}, {2, "b", Stored}, {3, "c", Stored}}, []coordination.Chat{"c", "b", "a"}},
		{"stored again", []Event{{1, "a", Stored}, {2, "b", Stored}, {3, "a", Stored}}, []coordination.Chat{"a", "b"}},
		{"evicted", []Event{{1, "a", Stored}, {2, "b", Stored}, {3, "a", Evicted}}, []coordination.Chat{"b"}},
		{"evicted and stored", []Event{{1, "a", Stored}, {2, "a", Evicted}, {5, "a", Stored}}, []coordination.Chat{"a"}},
		{"out of order", []Event{{9, "a", Evicted}, {4, "b", Stored}, {2, "a", Stored}}, []coordination.Chat{"b"}},
		{"unknown kinds", []Event{{1, "a", "pinned"}, {2, "", Stored}}, nil},
		{"gap", []Event{{1, "a", Stored}, {700, "b", Stored}}, []coordination.Chat{"b", "a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPlan(testStart, Config{})
			p.AddEvents(c.events)
			assert.DeepEqual(t, moveAll(p), c.want)
		})
	}
}

// A chat is moved and then served once more by the leaving engine, because a
// response was in progress. Without the new blocks, the next prompt would be
// recomputed from the state that was moved.
func TestChatStoredAgainMovesAgain(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.AddEvents([]Event{{1, "a", Stored}})
	assert.DeepEqual(t, moveAll(p), []coordination.Chat{"a"})
	assert.Equal(t, len(moveAll(p)), 0)
	p.AddEvents([]Event{{1, "a", Stored}, {2, "a", Stored}})
	assert.DeepEqual(t, moveAll(p), []coordination.Chat{"a"})
}

// The destination engine is briefly near its bound. The chat must be retried
// rather than given up.
func TestBusyChatIsTriedAgain(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.AddEvents([]Event{{1, "a", Stored}})
	assert.Equal(t, p.Next(testStart).Action, Move)
	p.MoveEnded(testStart, "a", Busy, 0)
	assert.Equal(t, p.Next(testStart).Action, Wait)
	assert.Equal(t, p.Next(testStart.Add(busyDelay)), Step{Action: Move, Chat: "a"})
}

// The leaving engine has gone and no longer answers. The plan must stop, rather
// than call a dead address for the rest of its window.
func TestPlanStopsWhenEngineIsGone(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.AddEvents([]Event{{1, "a", Stored}})
	p.ReadFailed()
	p.ReadFailed()
	assert.Equal(t, p.Next(testStart).Action, Move)
	p.MoveEnded(testStart, "a", Lost, 0)
	assert.Equal(t, p.Next(testStart).Action, Stop)
}

// Very many chats come and go at an engine that runs for weeks. The plan must
// hold only the latest of them.
func TestPlanIsBounded(t *testing.T) {
	p := NewPlan(testStart, Config{})
	for n := range 3 * maxChats {
		p.AddEvents([]Event{{Sequence(n + 1), coordination.Chat(fmt.Sprint(n)), Stored}})
		assert.Assert(t, len(p.chats) <= maxChats)
	}
	assert.Equal(t, p.Next(testStart).Chat, coordination.Chat(fmt.Sprint(3*maxChats-1)))
}

// Under any sequence of operations, a plan keeps to its window, its bandwidth
// and its limit of concurrent moves.
func TestPlanKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Bandwidth: 1000, MaxConcurrent: 2, Window: 10 * time.Second}
		p := NewPlan(testStart, cfg)
		now := testStart
		const largest = 3000
		var moving []coordination.Chat
		bytes := 0
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				chat := coordination.Chat(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat")))
				kind := rapid.SampledFrom([]Kind{Stored, Evicted}).Draw(t, "kind")
				p.AddEvents([]Event{{Sequence(rapid.IntRange(1, 100).Draw(t, "seq")), chat, kind}})
			},
			"next": func(t *rapid.T) {
				s := p.Next(now)
				if s.Action != Move {
					return
				}
				moving = append(moving, s.Chat)
				if !now.Before(testStart.Add(cfg.Window)) || len(moving) > cfg.MaxConcurrent {
					t.Fatalf("%d chats are moving at %v", len(moving), now.Sub(testStart))
				}
				if paid := 1000*now.Sub(testStart).Seconds() + 1; float64(bytes) > paid {
					t.Fatalf("%d bytes were moved when %.0f were free", bytes, paid)
				}
			},
			"end": func(t *rapid.T) {
				if len(moving) == 0 {
					return
				}
				n := rapid.IntRange(0, largest).Draw(t, "bytes")
				p.MoveEnded(now, moving[0], rapid.SampledFrom([]Result{Moved, Cold, Busy, Refused}).Draw(t, "result"), int64(n))
				moving = moving[1:]
				bytes += n
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestWorthwhile(t *testing.T) {
	const token = 128 << 10
	cases := []struct {
		name string
		cfg  Config
		size int64
		want bool
	}{
		{"long chat, fast link", Config{}, 1000 * token, true},
		{"short chat: its overhead is more than its prompt", Config{}, 20 * token, false},
		{"long chat, slow link", Config{Bandwidth: 125e6}, 1000 * token, false},
		{"slow link, small cache", Config{Bandwidth: 125e6, BytesPerToken: 8 << 10}, 1000 * 8 << 10, true},
		{"slow computing", Config{Bandwidth: 125e6, PrefillPerToken: 2 * time.Millisecond}, 500 * token, true},
		{"slow computing, but too long a move", Config{Bandwidth: 125e6, PrefillPerToken: 2 * time.Millisecond}, 1000 * token, false},
		{"slow computing, and time for it", Config{Bandwidth: 125e6, PrefillPerToken: 2 * time.Millisecond, MoveTimeout: 3 * time.Second}, 1000 * token, true},
		{"longer than a move may take", Config{}, 10_000 * token, false},
		{"unknown size, fast link", Config{}, -1, true},
		{"unknown size, slow link", Config{Bandwidth: 125e6}, -1, false},
		{"nothing", Config{}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.cfg.WithDefaults().Worthwhile(c.size), c.want)
		})
	}
}

func TestCanAccept(t *testing.T) {
	load := func(requests int) Load { return Load{Requests: requests, Capacity: 16, ReadAt: testStart} }
	cases := []struct {
		name string
		to   Load
		want bool
	}{
		{"mean load", load(8), true},
		{"under the bound", load(5), true},
		{"near the bound", load(10), false},
		{"near its capacity", Load{Requests: 8, Capacity: 10, ReadAt: testStart}, false},
		{"idle", load(0), true},
		{"no capacity known", Load{Requests: 8, ReadAt: testStart}, true},
		{"leaving", Load{Requests: 0, Leaving: true, ReadAt: testStart}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Loads
			for _, id := range []coordination.Endpoint{"e2", "e3", "e4"} {
				l.Update(id, load(8))
			}
			l.Update("e1", c.to)
			assert.Equal(t, l.CanAccept("e1", Config{}.WithDefaults()), c.want)
			assert.Assert(t, !l.CanAccept("e9", Config{}.WithDefaults()), "nothing is known of it")
			assert.Assert(t, l.Fresh(testStart.Add(loadTTL/2), "e1"))
			assert.Assert(t, !l.Fresh(testStart.Add(loadTTL), "e1"))
		})
	}
}

// A team sets a placement bound close to the mean. With only the default bound,
// moves would bring chats to engines that placement passes over.
func TestCanAcceptUnderPlacementBound(t *testing.T) {
	var l Loads
	l.Update("e1", Load{Requests: 109, ReadAt: testStart})
	l.Update("e2", Load{Requests: 99, ReadAt: testStart})
	cfg := Config{}.WithDefaults()
	assert.Assert(t, l.CanAccept("e1", cfg))
	assert.Assert(t, l.CanAccept("e1", cfg.WithPlacementBound(0)))
	assert.Assert(t, l.CanAccept("e1", cfg.WithPlacementBound(2)))
	assert.Assert(t, !l.CanAccept("e1", cfg.WithPlacementBound(1.05)))
	assert.Assert(t, l.CanAccept("e2", cfg.WithPlacementBound(1.05)))
}
