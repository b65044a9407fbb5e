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

// order lets a plan move all that it will, one at a time and at once, and
// returns the chats.
func order(p *Plan) []coordination.Chat {
	var chats []coordination.Chat
	for {
		s := p.Next(testStart)
		if s.Action != Move {
			return chats
		}
		chats = append(chats, s.Chat)
		p.End(testStart, s.Chat, Moved, 0)
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
			p.Learn(c.events)
			assert.DeepEqual(t, order(p), c.want)
		})
	}
}

// A chat is moved and then served once more by the leaving engine, whose last
// answer was on its way. Without the new blocks its next prompt would be
// computed from where the move had left it.
func TestChatStoredAgainMovesAgain(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.Learn([]Event{{1, "a", Stored}})
	assert.DeepEqual(t, order(p), []coordination.Chat{"a"})
	assert.Equal(t, len(order(p)), 0)
	p.Learn([]Event{{1, "a", Stored}, {2, "a", Stored}})
	assert.DeepEqual(t, order(p), []coordination.Chat{"a"})
}

// The engine to which a chat goes next is near its bound for a moment. The chat
// waits its turn rather than being given up.
func TestBusyChatIsTriedAgain(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.Learn([]Event{{1, "a", Stored}})
	assert.Equal(t, p.Next(testStart).Action, Move)
	p.End(testStart, "a", Busy, 0)
	assert.Equal(t, p.Next(testStart).Action, Wait)
	assert.Equal(t, p.Next(testStart.Add(busyDelay)), Step{Action: Move, Chat: "a"})
}

// The leaving engine has gone and answers no more. The plan ends, rather than
// asking a dead address for the rest of its window.
func TestPlanStopsWhenEngineIsGone(t *testing.T) {
	p := NewPlan(testStart, Config{})
	p.Learn([]Event{{1, "a", Stored}})
	p.Fail()
	p.Fail()
	assert.Equal(t, p.Next(testStart).Action, Move)
	p.End(testStart, "a", Lost, 0)
	assert.Equal(t, p.Next(testStart).Action, Stop)
}

// Very many chats come and go at an engine that stays up for weeks. The plan
// holds the latest of them only.
func TestPlanIsBounded(t *testing.T) {
	p := NewPlan(testStart, Config{})
	for n := range 3 * maxChats {
		p.Learn([]Event{{Sequence(n + 1), coordination.Chat(fmt.Sprint(n)), Stored}})
		assert.Assert(t, len(p.chats) <= maxChats)
	}
	assert.Equal(t, p.Next(testStart).Chat, coordination.Chat(fmt.Sprint(3*maxChats-1)))
}

// Whatever happens in whatever order, a plan keeps to its window, to its link
// budget and to its number of moves at a time.
func TestPlanKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Budget: 1000, Concurrent: 2, Window: 10 * time.Second}
		p := NewPlan(testStart, cfg)
		now := testStart
		const largest = 3000
		var moving []coordination.Chat
		bytes := 0
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				chat := coordination.Chat(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat")))
				kind := rapid.SampledFrom([]Kind{Stored, Evicted}).Draw(t, "kind")
				p.Learn([]Event{{Sequence(rapid.IntRange(1, 100).Draw(t, "seq")), chat, kind}})
			},
			"next": func(t *rapid.T) {
				s := p.Next(now)
				if s.Action != Move {
					return
				}
				moving = append(moving, s.Chat)
				if !now.Before(testStart.Add(cfg.Window)) || len(moving) > cfg.Concurrent {
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
				p.End(now, moving[0], rapid.SampledFrom([]Result{Moved, Cold, Busy, Refused}).Draw(t, "result"), int64(n))
				moving = moving[1:]
				bytes += n
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestPays(t *testing.T) {
	const token = 128 << 10
	cases := []struct {
		name string
		cfg  Config
		size int64
		want bool
	}{
		{"long chat, fast link", Config{}, 1000 * token, true},
		{"short chat: its overhead is more than its prompt", Config{}, 20 * token, false},
		{"long chat, slow link", Config{Budget: 125e6}, 1000 * token, false},
		{"slow link, small cache", Config{Budget: 125e6, BytesPerToken: 8 << 10}, 1000 * 8 << 10, true},
		{"slow computing", Config{Budget: 125e6, Prefill: 2 * time.Millisecond}, 500 * token, true},
		{"slow computing, but too long a move", Config{Budget: 125e6, Prefill: 2 * time.Millisecond}, 1000 * token, false},
		{"slow computing, and time for it", Config{Budget: 125e6, Prefill: 2 * time.Millisecond, Longest: 3 * time.Second}, 1000 * token, true},
		{"longer than a move may take", Config{}, 10_000 * token, false},
		{"unknown size, fast link", Config{}, -1, true},
		{"unknown size, slow link", Config{Budget: 125e6}, -1, false},
		{"nothing", Config{}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.cfg.WithDefaults().Pays(c.size), c.want)
		})
	}
}

func TestRoom(t *testing.T) {
	load := func(requests int) Load { return Load{Requests: requests, Capacity: 16, Read: testStart} }
	cases := []struct {
		name string
		to   Load
		want bool
	}{
		{"mean load", load(8), true},
		{"under the bound", load(5), true},
		{"near the bound", load(10), false},
		{"near its capacity", Load{Requests: 8, Capacity: 10, Read: testStart}, false},
		{"idle", load(0), true},
		{"no capacity known", Load{Requests: 8, Read: testStart}, true},
		{"leaving", Load{Requests: 0, Leaving: true, Read: testStart}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Loads
			for _, id := range []coordination.Endpoint{"e2", "e3", "e4"} {
				l.Learn(id, load(8))
			}
			l.Learn("e1", c.to)
			assert.Equal(t, l.Room("e1", Config{}.WithDefaults()), c.want)
			assert.Assert(t, !l.Room("e9", Config{}.WithDefaults()), "nothing is known of it")
			assert.Assert(t, l.Fresh(testStart.Add(loadTTL/2), "e1"))
			assert.Assert(t, !l.Fresh(testStart.Add(loadTTL), "e1"))
		})
	}
}

// A team sets a bound close to the mean. Moves that kept to their own default
// would bring chats to engines that placement passes over.
func TestRoomUnderBoundOfPlacement(t *testing.T) {
	var l Loads
	l.Learn("e1", Load{Requests: 109, Read: testStart})
	l.Learn("e2", Load{Requests: 99, Read: testStart})
	cfg := Config{}.WithDefaults()
	assert.Assert(t, l.Room("e1", cfg))
	assert.Assert(t, l.Room("e1", cfg.Under(0)))
	assert.Assert(t, l.Room("e1", cfg.Under(2)))
	assert.Assert(t, !l.Room("e1", cfg.Under(1.05)))
	assert.Assert(t, l.Room("e2", cfg.Under(1.05)))
}
