package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/membership"
)

// Node connects one router with the other routers of the fleet.
type Node struct {
	cfg    Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex // guards machine
	machine *membership.Machine

	// linkMu keeps the calls of machine.LinkUp and LinkDown in the order in which
	// connections changed. It is acquired before mu and connMu.
	linkMu       sync.Mutex
	connMu       sync.Mutex
	conns        map[coordination.Instance]*conn
	draining     map[*conn]struct{}
	dialAttempts map[string]*dialAttempt
	stopped      bool

	topicMu        sync.RWMutex
	topicHandlers  map[string]Handler
	rumorListeners map[string][]rumorFunc
	memberWatchers []func([]membership.Member)
	replays        []replay

	handlerSlots chan struct{} // semaphore of calls being handled
	wake         chan struct{} // wakes the dispatcher
	counts       traffic
	dropped      atomic.Uint64
	malformed    atomic.Uint64
	busy         atomic.Uint64
}

// New starts a node. The returned function announces to the other routers that this
// one has left, closes all connections and waits for their goroutines. New fails if
// Self lacks its instance, address or incarnation.
func New(cfg Config) (*Node, func(), error) {
	if cfg.Self.Instance == "" || cfg.Self.Address == "" || cfg.Self.Incarnation == 0 {
		return nil, nil, fmt.Errorf("peer: config: Self.Instance, Self.Address and Self.Incarnation are required")
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:            cfg,
		client:         newClient(cfg.DialTimeout),
		ctx:            ctx,
		cancel:         cancel,
		machine:        membership.New(cfg.Membership, cfg.Self, time.Now()),
		conns:          make(map[coordination.Instance]*conn),
		draining:       make(map[*conn]struct{}),
		dialAttempts:   make(map[string]*dialAttempt),
		topicHandlers:  make(map[string]Handler),
		rumorListeners: make(map[string][]rumorFunc),
		handlerSlots:   make(chan struct{}, cfg.MaxHandlers),
		wake:           make(chan struct{}, 1),
	}
	n.wg.Add(2)
	go n.run()
	d := &dispatcher{node: n}
	go d.run()
	return n, n.stop, nil
}

// newClient returns a client that connects to peers directly, without a proxy.
func newClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: 30 * time.Second}
	return &http.Client{Transport: http1.Transport(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})}
}

// run advances the membership protocol and maintains the connections.
func (n *Node) run() {
	defer n.wg.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.step(func(now time.Time) membership.Output { return n.machine.Tick(now) })
			n.maintainConns(time.Now())
		}
	}
}

// step runs f on the state machine and performs the sends and dials that it
// returns.
func (n *Node) step(f func(now time.Time) membership.Output) {
	n.mu.Lock()
	out := f(time.Now())
	n.mu.Unlock()
	for _, s := range out.Sends {
		n.send(s)
	}
	for _, d := range out.Dials {
		n.dial(d.Address, true)
	}
	n.wakeDispatcher()
}

// wakeDispatcher makes the dispatcher check for changes to report. It does not
// block.
func (n *Node) wakeDispatcher() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) send(s membership.Send) {
	c := n.current(s.To)
	if c == nil {
		if s.Message.Probe != nil && s.Address != "" {
			n.dial(s.Address, false, s.Message)
		}
		return
	}
	if err := c.post(&message{Kind: kindGossip, Gossip: &s.Message}); err != nil {
		if dropped := n.dropped.Add(1); dropped%lossesPerEvent == 1 {
			n.event(Event{Kind: Overflow, Peer: s.To, Address: s.Address, Count: dropped, Err: err})
		}
		return
	}
	for i := range s.Message.Rumors {
		n.countRumor(&s.Message.Rumors[i], true)
	}
}

// receiveGossip passes a gossip message received on c to the state machine.
func (n *Node) receiveGossip(c *conn, m membership.Message) {
	for i := range m.Rumors {
		n.countRumor(&m.Rumors[i], false)
	}
	n.step(func(now time.Time) membership.Output {
		return n.machine.Receive(now, c.peer.Instance, m)
	})
}

// linkUp reports c to the state machine unless c has been replaced already.
func (n *Node) linkUp(c *conn) {
	n.event(Event{Kind: Connected, Peer: c.peer.Instance, Incarnation: c.peer.Incarnation, Address: c.peer.Address})
	n.linkMu.Lock()
	defer n.linkMu.Unlock()
	if n.current(c.peer.Instance) != c {
		return
	}
	n.step(func(now time.Time) membership.Output {
		n.machine.LinkUp(now, c.peer, c.gossip, c.dialled)
		return membership.Output{}
	})
}

// linkDown reports to the state machine that c has ended, unless there is another
// connection to the peer by now.
func (n *Node) linkDown(c *conn) {
	n.linkMu.Lock()
	defer n.linkMu.Unlock()
	if n.current(c.peer.Instance) != nil {
		return
	}
	n.step(func(now time.Time) membership.Output {
		n.machine.LinkDown(now, c.peer.Instance)
		return membership.Output{}
	})
}

// current returns the connection to a member, or nil.
func (n *Node) current(id coordination.Instance) *conn {
	n.connMu.Lock()
	defer n.connMu.Unlock()
	return n.conns[id]
}

func (n *Node) dialFailed(address string) {
	n.step(func(now time.Time) membership.Output {
		n.machine.DialFailed(now, address)
		return membership.Output{}
	})
}

// maintainConns pings quiet connections, closes broken ones and retires connections
// made for calls that are no longer used. Connections to members other than
// neighbors are checked only while a reply or a call is pending: a router of a
// large fleet has one to nearly every other router, rarely uses each, and would
// otherwise send little but pings.
func (n *Node) maintainConns(now time.Time) {
	var spare []*conn
	for _, c := range n.connections() {
		neighbor := n.isNeighbor(c)
		switch {
		case !neighbor && !c.active(now):
		case c.silentFor(now) > n.cfg.DeadAfter:
			c.cancel(errPeerTimeout)
		case c.queued.Load() == 0:
			c.pingIfQuiet(now)
		}
		if !neighbor && now.Sub(c.connectedAt) > min(n.cfg.IdleTimeout, maxDrain) && c.idle() {
			spare = append(spare, c)
		}
	}
	n.retireIdle(now, spare)
	n.closeDrained(now)
}

// retireIdle retires the connections that were unused for longer than IdleTimeout
// and, if more than MaxOnDemand remain, the least recently used ones.
func (n *Node) retireIdle(now time.Time, spare []*conn) {
	sortByUse(spare)
	for i, c := range spare {
		unused := c.lastUsed.Ago(now)
		if unused > n.cfg.IdleTimeout || len(spare)-i > n.cfg.MaxOnDemand {
			n.retire(c, true)
		}
	}
}

func (n *Node) closeDrained(now time.Time) {
	n.connMu.Lock()
	defer n.connMu.Unlock()
	for c := range n.draining {
		age := c.drainedFor(now)
		if age > maxDrain || age > minDrain && c.idle() {
			c.cancel(errDuplicate)
		}
	}
}

func (n *Node) connections() []*conn {
	n.connMu.Lock()
	defer n.connMu.Unlock()
	all := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		all = append(all, c)
	}
	return all
}

func (n *Node) isNeighbor(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.IsNeighbor(c.peer.Instance)
}

func (n *Node) event(e Event) {
	if n.cfg.OnEvent != nil {
		n.cfg.OnEvent(e)
	}
}

// stop implements the function that New returns.
func (n *Node) stop() {
	n.step(func(now time.Time) membership.Output {
		n.machine.CompleteLeave(now)
		return n.machine.Tick(now)
	})
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.awaitConns(ctx, func(c *conn) bool { return c.idle() })
	n.connMu.Lock()
	n.stopped = true
	for _, c := range n.conns {
		c.cancel(errStopped)
	}
	for c := range n.draining {
		c.cancel(errStopped)
	}
	n.connMu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// awaitConns waits until settled returns true for all connections or ctx ends.
func (n *Node) awaitConns(ctx context.Context, settled func(*conn) bool) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		waiting := false
		for _, c := range n.connections() {
			waiting = waiting || !settled(c)
		}
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
