package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// dialAttempt is an attempt to connect to an address. Several callers may wait for
// it.
type dialAttempt struct {
	node     *Node
	address  string
	gossip   bool
	replaces bool                 // the connection replaces a silent one
	pending  []membership.Message // messages to send once connected
	done     chan struct{}
	conn     *conn // valid once done is closed
	err      error // valid once done is closed
}

// dial starts an attempt to connect to address, or joins the one in progress.
func (n *Node) dial(address string, gossip bool, pending ...membership.Message) *dialAttempt {
	return n.startDial(&dialAttempt{node: n, address: address, gossip: gossip, pending: pending, done: make(chan struct{})})
}

// Redial replaces the connection to a member by a new one, in the background, if nothing has
// been received on it since a reply became due. A connection may be silent for good while new
// ones work.
func (n *Node) Redial(id coordination.Instance) {
	c := n.current(id)
	if c == nil || !c.awaitsReply(time.Now()) {
		return
	}
	n.startDial(&dialAttempt{node: n, address: c.peer.Address, gossip: c.gossip, replaces: true, done: make(chan struct{})})
}

// startDial starts an attempt, or joins the one to the same address that is in progress.
func (n *Node) startDial(d *dialAttempt) *dialAttempt {
	n.connMu.Lock()
	defer n.connMu.Unlock()
	if other := n.dialAttempts[d.address]; other != nil {
		other.pending = append(other.pending, d.pending...)
		return other
	}
	if n.stopped || len(n.conns)+len(n.dialAttempts) >= n.cfg.MaxConns {
		d.err = errTooManyConns
		close(d.done)
		return d
	}
	n.dialAttempts[d.address] = d
	n.wg.Add(1)
	go d.run()
	return d
}

// run connects, then reads from the connection until it ends.
func (d *dialAttempt) run() {
	n := d.node
	defer n.wg.Done()
	made, err := d.connect()
	c := made
	if err == nil {
		c, err = n.register(made)
	}
	n.connMu.Lock()
	delete(n.dialAttempts, d.address)
	d.conn, d.err = c, err
	pending := d.pending
	n.connMu.Unlock()
	close(d.done)
	if err != nil {
		n.dialFailed(d.address)
		return
	}
	for _, m := range pending {
		_ = c.post(&message{Kind: kindGossip, Gossip: &m})
	}
	n.serveConn(made)
}

func (d *dialAttempt) connect() (*conn, error) {
	n := d.node
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+d.address+Path, &websocket.DialOptions{
		HTTPClient:      n.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	c, err := d.handshake(ctx, ws)
	if err != nil {
		ws.Close(websocket.StatusPolicyViolation, err.Error())
		return nil, err
	}
	return c, nil
}

// handshake exchanges hellos on a connection that this side dialled.
func (d *dialAttempt) handshake(ctx context.Context, ws *websocket.Conn) (*conn, error) {
	n := d.node
	if err := n.sendHello(ctx, ws, helloOptions{gossip: d.gossip, replaces: d.replaces}, true); err != nil {
		return nil, err
	}
	h, err := n.readHello(ctx, ws, false)
	if err != nil {
		n.reportRefused(h, d.address, err)
		return nil, err
	}
	h.Gossip, h.Replaces = d.gossip, d.replaces
	return newConn(n, ws, h, true), nil
}

// helloOptions is what the hello of a dialled connection tells of it.
type helloOptions struct{ gossip, replaces bool }

func (n *Node) sendHello(ctx context.Context, ws *websocket.Conn, o helloOptions, masked bool) error {
	b := encode(&message{Kind: kindHello, Hello: &hello{
		Major:    MajorVersion,
		Minor:    MinorVersion,
		Fleet:    n.cfg.Fleet,
		Member:   n.Self(),
		Gossip:   o.gossip,
		Replaces: o.replaces,
	}})
	n.count(kindHello, "", true, framed(len(b), masked))
	return ws.Write(ctx, websocket.MessageBinary, b)
}

// readHello reads and validates the first message of a connection.
func (n *Node) readHello(ctx context.Context, ws *websocket.Conn, masked bool) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	ws.SetReadLimit(helloLimit)
	_, data, err := ws.Read(ctx)
	if err != nil {
		return hello{}, err
	}
	m, err := decode(data)
	if err != nil {
		n.malformed.Add(1)
		n.event(Event{Kind: Malformed, Err: err})
		return hello{}, err
	}
	n.count(m.Kind, "", false, framed(len(data), masked))
	if m.Kind != kindHello || m.Hello == nil || m.Hello.Member.Instance == "" || m.Hello.Member.Address == "" {
		return hello{}, errNotHello
	}
	return *m.Hello, n.checkHello(*m.Hello)
}

func (n *Node) checkHello(h hello) error {
	switch {
	case h.Fleet != n.cfg.Fleet:
		return errOtherFleet
	case h.Major != MajorVersion:
		return errOtherVersion
	case h.Member.Instance == n.cfg.Self.Instance:
		return errSelf
	default:
		return nil
	}
}

func (n *Node) reportRefused(h hello, address string, err error) {
	if errors.Is(err, errSelf) {
		return
	}
	n.event(Event{Kind: Refused, Peer: h.Member.Instance, Address: address, Err: err})
}

// ServeHTTP accepts a connection from another router and serves it until it ends.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !n.admitConn() {
		http.Error(w, errTooManyConns.Error(), http.StatusServiceUnavailable)
		return
	}
	defer n.wg.Done()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	h, err := n.readHello(n.ctx, ws, true)
	if err == nil {
		err = n.sendHello(n.ctx, ws, helloOptions{}, false)
	}
	if err != nil {
		n.reportRefused(h, r.RemoteAddr, err)
		ws.Close(websocket.StatusPolicyViolation, err.Error())
		return
	}
	c := newConn(n, ws, h, false)
	if _, err := n.register(c); err == nil {
		n.serveConn(c)
	}
}

// admitConn reports whether another connection may be accepted, and if so adds it
// to the wait group.
func (n *Node) admitConn() bool {
	n.connMu.Lock()
	defer n.connMu.Unlock()
	if n.stopped || len(n.conns) >= n.cfg.MaxConns {
		return false
	}
	n.wg.Add(1)
	return true
}

// register makes c the connection to its peer and returns the connection that is
// kept. If both sides dialled at once there are two; both sides then keep the one
// that was dialled by the member with the lower instance name. An existing
// connection on which nothing was received for longer than DialTimeout is replaced
// in any case, since it may be broken with only the other side aware of it, and so is
// one on which either side gets no replies. A connection that is not kept drains, as
// the peer may have sent a call on it before it had the other one.
func (n *Node) register(c *conn) (*conn, error) {
	n.connMu.Lock()
	if n.stopped {
		n.connMu.Unlock()
		c.ws.CloseNow()
		return nil, errStopped
	}
	id := c.peer.Instance
	old := n.conns[id]
	n.wg.Add(1)
	go writer{c}.run()
	if old != nil && old.peer.Incarnation == c.peer.Incarnation && !c.replaces && old.preferred() && !c.preferred() && !old.quiet(time.Now()) {
		c.duplicate = true
		n.startDrain(c)
		n.connMu.Unlock()
		_ = c.post(&message{Kind: kindGoodbye})
		return old, nil
	}
	n.conns[id] = c
	if old != nil {
		n.startDrain(old)
	}
	n.connMu.Unlock()
	n.linkUp(c)
	return c, nil
}

// preferred reports whether c was dialled by the member with the lower instance
// name.
func (c *conn) preferred() bool {
	return c.dialled == (c.node.cfg.Self.Instance < c.peer.Instance)
}

// quiet reports whether nothing has been received for longer than DialTimeout,
// which bounds simultaneous dials by both sides.
func (c *conn) quiet(now time.Time) bool {
	return c.lastReceived.Ago(now) > c.node.cfg.DialTimeout
}

// startDrain makes c drain until its calls have completed. The caller holds n.connMu.
func (n *Node) startDrain(c *conn) {
	n.draining[c] = struct{}{}
	c.drain()
}

// drain marks c as draining; it is not used for new calls.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainingSince.IsZero() {
		c.drainingSince = time.Now()
	}
}

// retire takes c out of use. Calls in progress may complete. If sendGoodbye is set,
// the peer is sent a goodbye, so that it does not send a request while the
// connection closes.
func (n *Node) retire(c *conn, sendGoodbye bool) {
	n.connMu.Lock()
	current := n.conns[c.peer.Instance] == c
	if current {
		delete(n.conns, c.peer.Instance)
	}
	n.startDrain(c)
	n.connMu.Unlock()
	if sendGoodbye {
		_ = c.post(&message{Kind: kindGoodbye})
	}
	if current {
		n.linkDown(c)
	}
}

// serveConn reads from c until it ends, then removes it.
func (n *Node) serveConn(c *conn) {
	err := c.run()
	n.connMu.Lock()
	current := n.conns[c.peer.Instance] == c
	if current {
		delete(n.conns, c.peer.Instance)
	}
	delete(n.draining, c)
	n.connMu.Unlock()
	if current {
		n.linkDown(c)
	}
	if c.duplicate {
		return // never reported as connected
	}
	n.event(Event{Kind: Disconnected, Peer: c.peer.Instance, Incarnation: c.peer.Incarnation, Address: c.peer.Address, Err: err})
}

// connTo returns the connection to a member and dials one if there is none.
func (n *Node) connTo(ctx context.Context, to coordination.Instance) (*conn, error) {
	if c := n.current(to); c != nil {
		return c, nil
	}
	m, ok := n.lookup(to)
	if !ok || !m.Live() || m.Address == "" {
		return nil, errUnknownMember
	}
	d := n.dial(m.Address, false)
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	if d.conn.peer.Instance != to {
		return nil, errUnknownMember
	}
	return d.conn, nil
}
