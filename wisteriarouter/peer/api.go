package peer

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// Self returns the node's own membership record.
func (n *Node) Self() membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Self()
}

// Members returns the live members including this node, sorted by instance. Suspect
// and leaving members count as live. The same slice is returned until the
// membership changes; callers must not modify it.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Members()
}

func (n *Node) lookup(id coordination.Instance) (membership.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Lookup(id)
}

// Neighbors returns the routers with which this one gossips over an open connection.
func (n *Node) Neighbors() []coordination.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Neighbors()
}

// OnChange registers fn, which is called with the live members once and again after
// each change. Changes in quick succession may be reported by one call. All
// functions passed to OnChange and OnRumor are called by one goroutine, one at a
// time.
func (n *Node) OnChange(fn func(members []membership.Member)) {
	n.topicMu.Lock()
	n.memberWatchers = append(n.memberWatchers, fn)
	n.replays = append(n.replays, replay{watcher: fn})
	n.topicMu.Unlock()
	n.wakeDispatcher()
}

// OnRumor registers fn, which is called with each known rumor of topic and with
// each new one. If several versions arrive in quick succession, fn may see only the
// newest. Rumors that originate at this node are not reported.
func (n *Node) OnRumor(topic string, fn func(key string, version uint64, payload []byte)) {
	n.topicMu.Lock()
	n.rumorListeners[topic] = append(n.rumorListeners[topic], fn)
	n.replays = append(n.replays, replay{topic: topic, listener: fn})
	n.topicMu.Unlock()
	n.wakeDispatcher()
}

// Broadcast spreads a rumor to all members and reports whether it was accepted. It
// rejects a version that is not newer than the known one and a payload larger than
// membership.MaxPayload.
func (n *Node) Broadcast(topic, key string, version uint64, payload []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Broadcast(time.Now(), topic, key, version, payload)
}

// Handle sets the handler for requests and notices of topic.
func (n *Node) Handle(topic string, fn Handler) {
	n.topicMu.Lock()
	defer n.topicMu.Unlock()
	n.topicHandlers[topic] = fn
}

func (n *Node) handler(topic string) Handler {
	n.topicMu.RLock()
	defer n.topicMu.RUnlock()
	return n.topicHandlers[topic]
}

// Call sends a request to a member and returns its answer. The error is a
// *CallError, which tells whether the request may have been delivered.
func (n *Node) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	answer, failure, err := n.call(ctx, to, topic, payload)
	if failure == NotConnected && errors.Is(err, errClosed) && ctx.Err() == nil {
		// The connection ended before the request was written, for example because
		// the peer closed it as idle or restarted.
		answer, failure, err = n.call(ctx, to, topic, payload)
	}
	if err != nil {
		return nil, &CallError{Failure: failure, Peer: to, Topic: topic, Err: err}
	}
	return answer, nil
}

func (n *Node) call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, Failure, error) {
	c, err := n.connTo(ctx, to)
	if err != nil {
		return nil, NotConnected, err
	}
	return c.call(ctx, topic, payload)
}

// Notify sends a one-way message to a member. A nil error means only that the
// message will be written unless the connection breaks. If there is no connection,
// Notify dials one and waits for it until ctx ends. The error is a *CallError.
func (n *Node) Notify(ctx context.Context, to coordination.Instance, topic string, payload []byte) error {
	c, err := n.connTo(ctx, to)
	if err == nil {
		c.lastUsed.Set(time.Now())
		err = c.post(&message{Kind: kindNotice, Topic: topic, Payload: payload})
		c.pingIfQuiet(time.Now())
	}
	if err != nil {
		return &CallError{Failure: NotConnected, Peer: to, Topic: topic, Err: err}
	}
	return nil
}

// SetReady announces to all members whether this router accepts work.
func (n *Node) SetReady(ready bool) {
	n.step(func(now time.Time) membership.Output {
		n.machine.SetReady(now, ready)
		return membership.Output{}
	})
}

// Leave announces to all members that this router is stopping. It returns once the
// messages to the neighbors are written or ctx ends. Calls still work afterwards.
func (n *Node) Leave(ctx context.Context) {
	n.step(func(now time.Time) membership.Output {
		n.machine.Leave(now)
		return n.machine.Tick(now)
	})
	n.awaitConns(ctx, func(c *conn) bool { return c.queued.Load() == 0 })
}

// Stats returns a snapshot of the node's counters.
func (n *Node) Stats() Stats {
	s := Stats{
		Traffic:   n.counts.list(),
		Dropped:   n.dropped.Load(),
		Malformed: n.malformed.Load(),
		Busy:      n.busy.Load(),
		Members:   make(map[membership.State]int),
	}
	conns := n.connections()
	s.Conns = len(conns)
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Membership = n.machine.Stats()
	for _, m := range n.machine.Members() {
		s.Members[m.State]++
	}
	for _, c := range conns {
		if n.machine.IsNeighbor(c.peer.Instance) {
			s.Neighbors++
		}
	}
	return s
}

func (n *Node) count(k kind, topic string, sent bool, bytes int) {
	if topic != "" && n.handler(topic) == nil && !sent {
		topic = "other"
	}
	n.counts.add(k.String(), topic, sent, bytes)
}

func (n *Node) countRumor(r *membership.Rumor, sent bool) {
	topic := r.Topic
	if _, ok := n.cfg.Topics[topic]; !ok {
		topic = "other"
	}
	n.counts.add("rumor", topic, sent, r.Size())
}
