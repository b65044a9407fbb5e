package peer

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

type rumorFunc = func(key string, version uint64, payload []byte)

// replay is a newly registered function that has to be called with the current
// state.
type replay struct {
	watcher  func([]membership.Member)
	topic    string
	listener rumorFunc
}

// dispatcher calls the functions passed to OnChange and OnRumor on its own
// goroutine, so that a slow one cannot delay the membership protocol.
type dispatcher struct {
	node           *Node
	lastMembers    []membership.Member // as last reported, sorted by instance
	nextChange     time.Time           // earliest time of the next report of a membership change
	reportedShed   uint64
	lastShedEvent  time.Time
	reincarnations uint64
}

func (d *dispatcher) run() {
	defer d.node.wg.Done()
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
		d.notifyWatchers(members)
	}
	for _, r := range fresh {
		for _, fn := range n.listenersOf(r.Topic) {
			fn(r.Key, r.Version, r.Payload)
		}
	}
	d.reportCounters(stats)
}

func (n *Node) listenersOf(topic string) []rumorFunc {
	n.topicMu.RLock()
	defer n.topicMu.RUnlock()
	return slices.Clone(n.rumorListeners[topic])
}

// replay calls newly registered functions with the current state.
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

// notifyWatchers calls the membership watchers and emits an event for each member
// that changed. It starts a cooldown; changes during it are reported on a later
// message or tick.
func (d *dispatcher) notifyWatchers(members []membership.Member) {
	n := d.node
	n.topicMu.RLock()
	watchers := slices.Clone(n.memberWatchers)
	n.topicMu.RUnlock()
	begun := time.Now()
	for _, fn := range watchers {
		fn(members)
	}
	d.reportChanges(d.lastMembers, members)
	d.lastMembers = members
	now := time.Now()
	d.nextChange = now.Add(coordination.Cooldown(now.Sub(begun)))
}

// reportChanges emits events for the differences between two lists of members, both
// sorted by instance.
func (d *dispatcher) reportChanges(old, now []membership.Member) {
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && old[0].Instance < now[0].Instance:
			d.reportGone(old[0])
			old = old[1:]
		case len(old) == 0 || now[0].Instance < old[0].Instance:
			d.reportChange(nil, now[0])
			now = now[1:]
		default:
			d.reportChange(&old[0], now[0])
			old, now = old[1:], now[1:]
		}
	}
}

// reportChange emits an event if the state of a member has changed. Old is nil for
// a new member.
func (d *dispatcher) reportChange(old *membership.Member, m membership.Member) {
	if m.Instance == d.node.cfg.Self.Instance {
		return
	}
	switch {
	case old == nil || old.Incarnation != m.Incarnation:
		d.emit(MemberJoined, m)
	case old.State == m.State:
		return
	case m.State == membership.Suspect:
		d.emit(MemberSuspect, m)
	case m.State == membership.Leaving:
		d.emit(MemberLeaving, m)
	default:
		d.emit(MemberCleared, m)
	}
}

func (d *dispatcher) reportGone(old membership.Member) {
	m, ok := d.node.lookup(old.Instance)
	if ok && m.State == membership.Left {
		d.emit(MemberLeft, m)
		return
	}
	d.emit(MemberDead, old)
}

func (d *dispatcher) emit(k EventKind, m membership.Member) {
	d.node.event(Event{Kind: k, Peer: m.Instance, Incarnation: m.Incarnation, Address: m.Address})
}

// reportCounters emits events for protocol counters that have increased.
func (d *dispatcher) reportCounters(s membership.Stats) {
	if s.Reincarnations > d.reincarnations {
		d.reincarnations = s.Reincarnations
		d.emit(Reincarnated, d.node.Self())
	}
	if s.RumorsShed > d.reportedShed && time.Since(d.lastShedEvent) > 10*time.Second {
		d.node.event(Event{Kind: Shedding, Count: s.RumorsShed - d.reportedShed})
		d.reportedShed = s.RumorsShed
		d.lastShedEvent = time.Now()
	}
}

func sortByUse(conns []*conn) {
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.lastUsed.Offset(), b.lastUsed.Offset()) })
}

// pingDue reports whether the last ping is at least a third of DeadAfter ago, and
// if so records a new one.
func (c *conn) pingDue(now time.Time) bool {
	if c.lastPing.Ago(now) < c.node.cfg.DeadAfter/3 {
		return false
	}
	c.lastPing.Set(now)
	return true
}

func (c *conn) drainedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.drainingSince)
}
