package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/standin/loopback"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// suspectsRouter is the part of a router that knows requests that crash endpoints.
type suspectsRouter struct {
	node  *peer.Node
	table *suspicion.Table
	guard *suspicion.Guard
}

func newSuspectsRouter(t *testing.T, id coordination.Instance, seeds ...string) *suspectsRouter {
	l, err := net.Listen("tcp", loopback.Address())
	assert.NilError(t, err)
	self := membership.Member{Instance: id, Address: l.Addr().String(), Zone: "a", Incarnation: 1}
	n, stop, err := peer.New(peer.Config{Fleet: "test", Self: self, Seeds: seeds})
	assert.NilError(t, err)
	srv := &http.Server{Handler: n}
	go suspectsServer{srv, l}.run()
	t.Cleanup(func() { stop(); _ = srv.Close() })
	r := &suspectsRouter{node: n, table: suspicion.NewTable(suspicion.Config{})}
	r.guard = suspicion.NewGuard(id, 1, suspicion.NewGate(r.table), n, recordSpreader{n})
	n.Handle(suspicion.TopicRecords, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return r.guard.HandleRecords(payload)
	})
	return r
}

type suspectsServer struct {
	server   *http.Server
	listener net.Listener
}

func (s suspectsServer) run() { _ = s.server.Serve(s.listener) }

// Guards against a record that no rumor brings, as after a cut, staying unknown to a router.
func TestComparisonBringsMissedRecords(t *testing.T) {
	a := newSuspectsRouter(t, "a")
	b := newSuspectsRouter(t, "b", a.node.Self().Address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	go recordComparer{guard: b.guard, node: b.node, log: event.NewLog(logger)}.loop(ctx)
	now := suspicion.UnixMillis(time.Now().UnixMilli())
	record := suspicion.Record{Fingerprint: 1, Expires: now + 60_000, Crashes: []suspicion.Crash{
		{Endpoint: "e1", Incarnation: 1, At: now, Alone: true},
		{Endpoint: "e2", Incarnation: 1, At: now, Alone: true},
	}}
	assert.Assert(t, a.table.Merge(time.Now(), record))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, state := b.table.Find(time.Now(), 1); state != suspicion.Convicted {
			return poll.Continue("the record is %v at the other router", state)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
}
