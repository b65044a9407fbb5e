package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// dialRaw dials a router and says hello as a router of the given name.
func dialRaw(t testing.TB, r *router, h hello) *websocket.Conn {
	t.Helper()
	ctx := within(t, 10*time.Second)
	ws, _, err := websocket.Dial(ctx, "ws://"+r.address+Path, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { ws.CloseNow() })
	assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, encode(&message{Kind: kindHello, Hello: &h})))
	return ws
}

func helloOf(id string) hello {
	return hello{Major: MajorVersion, Fleet: "test", Member: membership.Member{
		Instance:    coordination.Instance(id),
		Address:     "127.0.0.1:1",
		Incarnation: 1,
	}}
}

// closed reports whether the router closes ws within ten seconds.
func closed(t *testing.T, ws *websocket.Conn) error {
	t.Helper()
	ctx := within(t, 10*time.Second)
	for {
		if _, _, err := ws.Read(ctx); err != nil {
			assert.NilError(t, ctx.Err())
			return err
		}
	}
}

func echo(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
	return payload, nil
}

// A router with a fault sends a message that is no CBOR, or one that is too
// large. Only its own connection may end over it, and an operator must see why.
func TestBadMessageClosesOnlyItsConnection(t *testing.T) {
	tests := []struct {
		name string
		data []byte
		kind EventKind
	}{
		{"malformed", []byte{0xff, 0x00}, Malformed},
		{"no kind", []byte{0xa0}, Malformed},
		{"wrong type", []byte{0xa1, 0x01, 0x61, 0x61}, Malformed},
		{"oversized", bytes.Repeat([]byte{0}, 70_000), Oversized},
	}
	routers := fleet(t, 2, func(cfg *Config) { cfg.MaxMessage = 65536 })
	eventually(t, "full membership", joined(routers))
	routers[0].Handle("echo", echo)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := routers[0].events.count(test.kind)
			ws := dialRaw(t, routers[0], helloOf("x"+strings.ReplaceAll(test.name, " ", "-")))
			ctx := within(t, 10*time.Second)
			assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, test.data))
			closed(t, ws)
			eventually(t, "event", func() bool { return routers[0].events.count(test.kind) > before })
			answer, err := routers[1].Call(ctx, "r00", "echo", []byte("still here"))
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "still here")
		})
	}
}

// A router of another fleet, or of a version that speaks another protocol, has
// a wrong seed. Were it let in, the two fleets would place work on each other.
func TestIncompatibleRoutersAreRefused(t *testing.T) {
	r := start(t, listen(t), "r00", nil, nil)
	otherFleet, otherMajor, nameless := helloOf("x"), helloOf("x"), helloOf("")
	otherFleet.Fleet = "other"
	otherMajor.Major = MajorVersion + 1
	for name, h := range map[string]hello{"fleet": otherFleet, "version": otherMajor, "no name": nameless} {
		err := closed(t, dialRaw(t, r, h))
		assert.Equal(t, websocket.CloseStatus(err), websocket.StatusPolicyViolation, name)
	}
	newer := helloOf("y")
	newer.Minor = MinorVersion + 1
	dialRaw(t, r, newer)
	eventually(t, "member with a newer minor version", func() bool { return len(r.Members()) == 2 })
}

// A newer router sends kinds, fields and topics that this one does not know.
// They must be passed over, or a rolling update would cut connections.
func TestUnknownIsIgnored(t *testing.T) {
	r := start(t, listen(t), "r00", nil, nil)
	r.Handle("echo", echo)
	ws := dialRaw(t, r, helloOf("x"))
	ctx := within(t, 10*time.Second)
	later := map[int]any{1: 99, 50: "a field of later times"}
	unknown, err := encoding.Marshal(later)
	assert.NilError(t, err)
	assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, unknown))
	request := map[int]any{1: kindRequest, 2: 7, 3: "echo", 4: []byte("hi"), 77: 1}
	known, err := encoding.Marshal(request)
	assert.NilError(t, err)
	assert.NilError(t, ws.Write(ctx, websocket.MessageBinary, known))
	for {
		_, data, err := ws.Read(ctx)
		assert.NilError(t, err)
		m, err := decode(data)
		assert.NilError(t, err)
		if m.Kind == kindAnswer {
			assert.Equal(t, string(m.Payload), "hi")
			return
		}
	}
}

// Two routers dial each other at the same moment. If each kept another
// connection, calls would be cut when the two close one each.
func TestSimultaneousDial(t *testing.T) {
	for round := range 10 {
		la, lb := listen(t), listen(t)
		a := start(t, la, "a", nil, nil)
		b := start(t, lb, "b", nil, nil)
		a.Handle("echo", echo)
		b.Handle("echo", echo)
		da, db := a.dial(b.address, true), b.dial(a.address, true)
		<-da.done
		<-db.done
		eventually(t, "same connection on both sides", func() bool {
			ca, cb := a.current("b"), b.current("a")
			return ca != nil && cb != nil && ca.dialled != cb.dialled
		})
		for range 20 {
			_, err := a.Call(within(t, 5*time.Second), "b", "echo", []byte("x"))
			assert.NilError(t, err, "round %d", round)
			_, err = b.Call(within(t, 5*time.Second), "a", "echo", []byte("x"))
			assert.NilError(t, err, "round %d", round)
		}
		a.stop()
		b.stop()
	}
}

// A router is killed without a word and started again at its address. The
// others must drop the old life at once and call the new one.
func TestKillAndRestart(t *testing.T) {
	routers := fleet(t, 3, nil)
	eventually(t, "full membership", joined(routers))
	victim := routers[2]
	old := victim.Self()
	kill(victim)
	eventually(t, "broken connections", func() bool {
		return routers[0].current("r02") == nil && routers[1].current("r02") == nil
	})
	_, err := routers[0].Call(within(t, time.Second), "r02", "echo", nil)
	var failed *CallError
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, !failed.MaybeDelivered())

	l := listenAt(t, victim.address)
	again := start(t, l, "r02", []string{routers[0].address}, nil)
	again.Handle("echo", echo)
	eventually(t, "the new life", func() bool {
		for _, r := range routers[:2] {
			m, ok := r.lookup("r02")
			if !ok || m.Incarnation <= old.Incarnation || m.State != membership.Alive {
				return false
			}
		}
		return true
	})
	answer, err := routers[1].Call(within(t, 5*time.Second), "r02", "echo", []byte("hi"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "hi")
}

// A router stops as planned. The others must know before its connections end,
// so that they hand over what it holds and do not suspect it.
func TestLeavingMemberIsNotReportedDead(t *testing.T) {
	routers := fleet(t, 3, nil)
	eventually(t, "full membership", joined(routers))
	routers[2].Leave(within(t, 5*time.Second))
	eventually(t, "word of the leaving", func() bool {
		m, _ := routers[0].lookup("r02")
		return m.State == membership.Leaving
	})
	routers[2].stop()
	eventually(t, "word of the end", func() bool {
		return len(routers[0].Members()) == 2 && len(routers[1].Members()) == 2
	})
	eventually(t, "event", func() bool { return routers[0].events.count(MemberLeft) == 1 })
	assert.Equal(t, routers[0].events.count(MemberDead), 0)
	assert.Equal(t, routers[0].events.count(MemberSuspect), 0)
}

// The peer dies after a request was written and before its answer. The caller
// must not take that for a request that was not delivered, or it might run an
// action twice.
func TestLostAnswerIsReportedAsLost(t *testing.T) {
	routers := fleet(t, 2, nil)
	eventually(t, "full membership", joined(routers))
	started := make(chan struct{})
	routers[1].Handle("hang", func(ctx context.Context, _ coordination.Instance, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() {
		<-started
		kill(routers[1])
	}()
	_, err := routers[0].Call(within(t, 20*time.Second), "r01", "hang", nil)
	var failed *CallError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Failure, Lost)
}

// A peer stops reading. What waits for it must stay bounded and the calls to it
// fail, while other peers are served.
func TestQueueOfSlowPeerIsBounded(t *testing.T) {
	r := start(t, listen(t), "r00", nil, func(cfg *Config) { cfg.MaxQueue = 1 << 20 })
	dialRaw(t, r, helloOf("x"))
	eventually(t, "member", func() bool { return r.current("x") != nil })
	payload := make([]byte, 64<<10)
	var full int
	for range 400 {
		if err := r.Notify(context.Background(), "x", "bulk", payload); err != nil {
			full++
		}
	}
	assert.Assert(t, full > 0)
	// Gossip that finds the queue full is counted for a moment before it is dropped.
	assert.Assert(t, r.current("x").queued.Load() <= 1<<20+64<<10)
}

// More calls come in than a router may handle at once. It must turn the rest
// away at once and say that they were not handled.
func TestTooManyCalls(t *testing.T) {
	routers := fleet(t, 2, func(cfg *Config) { cfg.MaxHandlers = 2 })
	eventually(t, "full membership", joined(routers))
	release := make(chan struct{})
	var entered atomic.Int32
	routers[1].Handle("hold", func(context.Context, coordination.Instance, []byte) ([]byte, error) {
		entered.Add(1)
		<-release
		return nil, nil
	})
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := routers[0].Call(within(t, 20*time.Second), "r01", "hold", nil)
			ended <- err
		}()
	}
	eventually(t, "two calls in the handler", func() bool { return entered.Load() == 2 })
	_, err := routers[0].Call(within(t, 20*time.Second), "r01", "hold", nil)
	var failed *CallError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Failure, Rejected)
	assert.Equal(t, routers[1].Stats().Busy, uint64(1))
	close(release)
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}

// A connection made for calls is no longer used. If it stayed, a router would
// in time hold one to each other router.
func TestIdleConnectionIsClosed(t *testing.T) {
	routers := fleet(t, 20, func(cfg *Config) { cfg.IdleTimeout = time.Second })
	eventually(t, "full membership", joined(routers))
	from := routers[1]
	var to *router
	eventually(t, "router that is no neighbour", func() bool {
		for _, r := range routers {
			id := r.Self().Instance
			if r != from && from.current(id) == nil {
				to = r
				return true
			}
		}
		return false
	})
	to.Handle("echo", echo)
	id := to.Self().Instance
	_, err := from.Call(within(t, 5*time.Second), id, "echo", nil)
	assert.NilError(t, err)
	c := from.current(id)
	assert.Assert(t, c != nil)
	eventually(t, "end of the idle connection", func() bool {
		return from.current(id) == nil && to.current(from.Self().Instance) == nil && c.ctx.Err() != nil
	})
	_, err = from.Call(within(t, 5*time.Second), id, "echo", nil)
	assert.NilError(t, err)
}

// The rumours that a router knows must reach a function that asks for them
// later, or what was said during its start would be lost to it.
func TestRumorsAreReplayed(t *testing.T) {
	routers := fleet(t, 2, nil)
	eventually(t, "full membership", joined(routers))
	assert.Assert(t, routers[0].Broadcast("settings", "team", 3, []byte("text")))
	eventually(t, "rumour", func() bool {
		routers[1].mu.Lock()
		defer routers[1].mu.Unlock()
		return len(routers[1].machine.Rumors("settings")) == 1
	})
	got := make(chan string, 1)
	routers[1].OnRumor("settings", func(key string, version uint64, payload []byte) {
		got <- fmt.Sprint(key, version, string(payload))
	})
	assert.Equal(t, <-got, "team3text")
}

// An ordinary HTTP request at the peers' path must be answered and not hang.
func TestOrdinaryRequestIsAnswered(t *testing.T) {
	r := start(t, listen(t), "r00", nil, nil)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	assert.Equal(t, w.Code, http.StatusUpgradeRequired)
}
