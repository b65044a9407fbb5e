package peer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// pingResponder answers the pings on a connection until it is muted.
type pingResponder struct {
	ws     *websocket.Conn
	pinged atomic.Bool
	muted  atomic.Bool
}

func (p *pingResponder) run(ctx context.Context) {
	for {
		_, b, err := p.ws.Read(ctx)
		if err != nil {
			return
		}
		if m, err := decode(b); err == nil && m.Kind == kindPing {
			p.pinged.Store(true)
			if p.muted.Load() {
				continue
			}
			_ = p.ws.Write(ctx, websocket.MessageBinary, encode(&message{Kind: kindPong}))
		}
	}
}

const (
	manyPeers  = 40
	shortDeath = 600 * time.Millisecond
)

// connectMany connects manyPeers routers that answer pings.
func connectMany(t *testing.T, r *router) []*pingResponder {
	var all []*pingResponder
	for i := range manyPeers {
		p := &pingResponder{ws: dialRaw(t, r, helloOf(fmt.Sprint("x", i)))}
		go p.run(t.Context())
		all = append(all, p)
	}
	eventually(t, "connections", func() bool { return r.Stats().Conns == manyPeers })
	return all
}

// A router of a large fleet has a connection to nearly every other router and
// rarely uses each. If it kept all of them alive, it would send little but pings.
func TestIdleConnectionsAreNotPinged(t *testing.T) {
	r := start(t, listen(t), "r00", nil, func(cfg *Config) { cfg.DeadAfter = shortDeath })
	all := connectMany(t, r)
	time.Sleep(3 * shortDeath)
	pinged := 0
	for _, p := range all {
		if p.pinged.Load() {
			pinged++
		}
	}
	const mostNeighbors = 8
	assert.Assert(t, pinged <= mostNeighbors, "%d of %d", pinged, manyPeers)
	assert.Equal(t, r.Stats().Conns, manyPeers, "idle connections were closed")
}

// mute makes a router that is not a neighbor of r stop answering pings, and
// returns its instance.
func mute(t *testing.T, r *router, all []*pingResponder) coordination.Instance {
	for _, c := range r.connections() {
		if r.isNeighbor(c) {
			continue
		}
		var i int
		_, err := fmt.Sscanf(string(c.peer.Instance), "x%d", &i)
		assert.NilError(t, err)
		all[i].muted.Store(true)
		return c.peer.Instance
	}
	t.Fatal("all routers are neighbours")
	return ""
}

// A connection may stop delivering messages without being closed. Unless sending on
// it requires a reply from the peer, the failure is never detected and each call on
// it fails.
func TestSilentConnectionIsDetectedOnUse(t *testing.T) {
	uses := map[string]func(ctx context.Context, r *router, to coordination.Instance){
		"call":   func(ctx context.Context, r *router, to coordination.Instance) { _, _ = r.Call(ctx, to, "echo", nil) },
		"notice": func(ctx context.Context, r *router, to coordination.Instance) { _ = r.Notify(ctx, to, "echo", nil) },
	}
	for name, use := range uses {
		t.Run(name, func(t *testing.T) {
			r := start(t, listen(t), "r00", nil, func(cfg *Config) { cfg.DeadAfter = shortDeath })
			to := mute(t, r, connectMany(t, r))
			time.Sleep(shortDeath)
			assert.Assert(t, r.current(to) != nil, "connection closed though no reply was pending")
			used := time.Now()
			use(within(t, shortDeath/2), r, to)
			eventually(t, "end of the connection", func() bool { return r.current(to) == nil })
			assert.Assert(t, time.Since(used) < 3*shortDeath)
		})
	}
}

// While hundreds of routers start, each message adds a few members. A router that
// recomputed the ownership for each of them would have no time left for requests.
func TestRapidMemberChangesAreCoalesced(t *testing.T) {
	const work = 2 * time.Millisecond
	r := start(t, listen(t), "r00", nil, nil)
	var told, last atomic.Int64
	r.OnChange(func(members []membership.Member) {
		time.Sleep(work)
		told.Add(1)
		last.Store(int64(len(members)))
	})
	begun := time.Now()
	connectMany(t, r)
	eventually(t, "all members", func() bool { return last.Load() == manyPeers+1 })
	most := int64(3 + time.Since(begun)/coordination.Cooldown(work))
	assert.Assert(t, told.Load() <= most, "%d in %v", told.Load(), time.Since(begun))
}
