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

// dialRaw connects to a router and sends the given hello.
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

// closed waits until the router closes ws, at most ten seconds, and returns the
// error of the read.
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

// A faulty router sends a message that is malformed or too large. Only its own
// connection may be closed, and an event must tell the reason.
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

// A router with a wrong seed may reach another fleet or a router with another major
// version. If it were accepted, the two fleets would place work on each other.
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

// A newer router sends kinds, fields and topics that this one does not know. They
// must be ignored, or a rolling update would break connections.
func TestUnknownIsIgnored(t *testing.T) {
	r := start(t, listen(t), "r00", nil, nil)
	r.Handle("echo", echo)
	ws := dialRaw(t, r, helloOf("x"))
	ctx := within(t, 10*time.Second)
	later := map[int]any{1: 99, 50: "a field of a later version"}
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

// Two routers dial each other at the same time. If they kept different connections,
// calls would fail when each closes the other one.
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

// A router is killed without leaving and restarted at the same address. The others
// must drop the old incarnation at once and call the new one.
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
	eventually(t, "member with the new incarnation", func() bool {
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

// A router shuts down as planned. The others must know before its connections end,
// so that they take over its work and do not suspect it.
func TestLeavingMemberIsNotReportedDead(t *testing.T) {
	routers := fleet(t, 3, nil)
	eventually(t, "full membership", joined(routers))
	routers[2].Leave(within(t, 5*time.Second))
	eventually(t, "leaving state at the other routers", func() bool {
		m, _ := routers[0].lookup("r02")
		return m.State == membership.Leaving
	})
	routers[2].stop()
	eventually(t, "removal at the other routers", func() bool {
		return len(routers[0].Members()) == 2 && len(routers[1].Members()) == 2
	})
	eventually(t, "event", func() bool { return routers[0].events.count(MemberLeft) == 1 })
	assert.Equal(t, routers[0].events.count(MemberDead), 0)
	assert.Equal(t, routers[0].events.count(MemberSuspect), 0)
}

// The peer dies after a request was written and before it is answered. The caller
// must not take the request for undelivered, or it might run an action twice.
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

// A peer stops reading. The data queued for it must stay bounded and sends to it must
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
	// The size of a message is added to the counter before the limit is checked,
	// and subtracted again when the message is dropped.
	assert.Assert(t, r.current("x").queued.Load() <= 1<<20+64<<10)
}

// More calls arrive than a router may handle at once. It must reject the excess at
// once and report that it was not handled.
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

// A connection made for calls is no longer used. If it stayed open, each router
// would in time hold a connection to every other one.
func TestIdleConnectionIsClosed(t *testing.T) {
	routers := fleet(t, 20, func(cfg *Config) { cfg.IdleTimeout = time.Second })
	eventually(t, "full membership", joined(routers))
	from := routers[1]
	var to *router
	eventually(t, "router without a connection", func() bool {
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

// A function registered with OnRumor must be called with the rumors that are
// already known, or those received while the router starts would be lost to it.
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

// An ordinary HTTP request to the peer path must get a response instead of hanging.
func TestOrdinaryRequestIsAnswered(t *testing.T) {
	r := start(t, listen(t), "r00", nil, nil)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	assert.Equal(t, w.Code, http.StatusUpgradeRequired)
}
