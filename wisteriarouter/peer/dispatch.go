package peer

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

type rumorFunc = func(key string, version uint64, payload []byte)

// replay is a function that has to be told what is known already.
type replay struct {
	watcher  func([]membership.Member)
	topic    string
	listener rumorFunc
}

// dispatcher calls the functions given to OnChange and OnRumor, so that none
// of them can hold up the protocol.
type dispatcher struct {
	node           *Node
	seen           []membership.Member // in order of their instances
	nextChange     time.Time           // before which no change of members is told
	shed           uint64
	shedAt         time.Time
	reincarnations uint64
}

func (d *dispatcher) run() {
	defer d.node.wait.Done()
	for {
		select {
		case <-d.node.ctx.Done():
			return
		case <-d.node.wake:
			d.dispatch()
		}
	}
}

func (d *dispatcher) dispatch() {
	n := d.node
	n.mu.Lock()
	changed := !time.Now().Before(d.nextChange) && n.machine.Changed()
	fresh := n.machine.DrainNewRumors()
	members := []membership.Member(nil)
	if changed {
		members = n.machine.Members()
	}
	stats := n.machine.Stats()
	n.mu.Unlock()
	d.replay()
	if changed {
		d.change(members)
	}
	for _, r := range fresh {
		for _, fn := range n.listenersOf(r.Topic) {
			fn(r.Key, r.Version, r.Payload)
		}
	}
	d.report(stats)
}

func (n *Node) listenersOf(topic string) []rumorFunc {
	n.topicMu.RLock()
	defer n.topicMu.RUnlock()
	return slices.Clone(n.listeners[topic])
}

// replay tells new functions what is known already.
func (d *dispatcher) replay() {
	n := d.node
	n.topicMu.Lock()
	replays := n.replays
	n.replays = nil
	n.topicMu.Unlock()
	for _, r := range replays {
		if r.watcher != nil {
			r.watcher(n.Members())
			continue
		}
		n.mu.Lock()
		known := n.machine.Rumors(r.topic)
		self := n.machine.Self().Instance
		n.mu.Unlock()
		for _, k := range known {
			if k.Origin != self {
				r.listener(k.Key, k.Version, k.Payload)
			}
		}
	}
}

// change calls the watchers and reports an event for each member that changed. A
// change that comes soon behind it is told with a later message or tick.
func (d *dispatcher) change(members []membership.Member) {
	n := d.node
	n.topicMu.RLock()
	watchers := slices.Clone(n.watchers)
	n.topicMu.RUnlock()
	begun := time.Now()
	for _, fn := range watchers {
		fn(members)
	}
	d.compare(d.seen, members)
	d.seen = members
	now := time.Now()
	d.nextChange = now.Add(coordination.Cooldown(now.Sub(begun)))
}

// compare tells of what differs between two lists, both in order of their
// instances.
func (d *dispatcher) compare(old, now []membership.Member) {
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && old[0].Instance < now[0].Instance:
			d.gone(old[0])
			old = old[1:]
		case len(old) == 0 || now[0].Instance < old[0].Instance:
			d.compareOne(nil, now[0])
			now = now[1:]
		default:
			d.compareOne(&old[0], now[0])
			old, now = old[1:], now[1:]
		}
	}
}

// compareOne tells of what has changed of a member. Old is nil if it is new.
func (d *dispatcher) compareOne(old *membership.Member, m membership.Member) {
	if m.Instance == d.node.cfg.Self.Instance {
		return
	}
	switch {
	case old == nil || old.Incarnation != m.Incarnation:
		d.tell(MemberJoined, m)
	case old.State == m.State:
		return
	case m.State == membership.Suspect:
		d.tell(MemberSuspect, m)
	case m.State == membership.Leaving:
		d.tell(MemberLeaving, m)
	default:
		d.tell(MemberCleared, m)
	}
}

func (d *dispatcher) gone(old membership.Member) {
	m, ok := d.node.lookup(old.Instance)
	if ok && m.State == membership.Left {
		d.tell(MemberLeft, m)
		return
	}
	d.tell(MemberDead, old)
}

func (d *dispatcher) tell(k EventKind, m membership.Member) {
	d.node.event(Event{Kind: k, Peer: m.Instance, Incarnation: m.Incarnation, Address: m.Address})
}

// report tells of what the protocol counted.
func (d *dispatcher) report(s membership.Stats) {
	if s.Reincarnations > d.reincarnations {
		d.reincarnations = s.Reincarnations
		d.tell(Reincarnated, d.node.Self())
	}
	if s.RumorsShed > d.shed && time.Since(d.shedAt) > 10*time.Second {
		d.node.event(Event{Kind: Shedding, Count: s.RumorsShed - d.shed})
		d.shed = s.RumorsShed
		d.shedAt = time.Now()
	}
}

func sortByUse(conns []*conn) {
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.used.Offset(), b.used.Offset()) })
}

// pingDue reports whether c may be pinged, and if so notes it.
func (c *conn) pingDue(now time.Time) bool {
	if c.pinged.Ago(now) < c.node.cfg.DeadAfter/3 {
		return false
	}
	c.pinged.Set(now)
	return true
}

func (c *conn) drainedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.drained)
}
