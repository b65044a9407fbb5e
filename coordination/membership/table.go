package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

func compare(a, b coordination.Instance) int {
	return cmp.Compare(a, b)
}

func hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// apply merges a record received from a peer into the table. The peer is empty
// for a record that was not received.
func (m *Machine) apply(from coordination.Instance, r Member) {
	if !r.valid() {
		return
	}
	if r.Instance == m.self.Instance {
		m.applySelf(r)
		return
	}
	e := m.table[r.Instance]
	if e == nil {
		m.insert(from, r)
		return
	}
	switch {
	case r.Incarnation < e.Incarnation:
		m.queueForPeer(from, r.Instance)
	case r.Incarnation > e.Incarnation:
		m.replace(from, e, r)
	case e.State.Final():
		// An incarnation that has ended never becomes live again. The sender is
		// told of the end, and through it the member itself.
		if !r.State.Final() {
			m.queueForPeer(from, r.Instance)
		}
	case r.State == Left:
		m.replace(from, e, r)
	case r.State == Dead:
		m.applyDeathReport(from, e)
	case r.Version > e.Version:
		m.replace(from, e, r)
	case r.Version < e.Version:
		m.queueForPeer(from, r.Instance)
	case r.State == Suspect && e.State != Suspect:
		m.suspect(from, e)
	default:
		m.markKnown(from, r.Instance)
	}
}

// valid reports whether r may be stored. The limits keep a faulty peer from
// exhausting memory.
func (r *Member) valid() bool {
	return r.Instance != "" && len(r.Instance) <= maxName && len(r.Address) <= maxName &&
		r.Incarnation < maxCounter && r.Version < maxCounter && len(r.Zone) <= maxName && len(r.Region) <= maxName && len(r.Build) <= maxName && r.State <= Dead
}

// insert adds an unknown member. Records of unknown members that are dead or
// have left are ignored: storing them would let peers pass them on to each other
// again and again, so that they would never be forgotten.
func (m *Machine) insert(from coordination.Instance, r Member) {
	if r.Address == "" || r.State.Final() || len(m.table) >= m.cfg.MaxMembers {
		return
	}
	m.table[r.Instance] = &entry{Member: r, stateSince: m.now}
	m.markChanged()
	m.queueForNeighbors(from, r.Instance)
}

// replace updates e to the newer record r. Records of suspect and dead members
// carry no address; the known fields are kept then.
func (m *Machine) replace(from coordination.Instance, e *entry, r Member) {
	reportedDead := r.State == Dead
	if reportedDead {
		r.State = Suspect
	}
	if r.Address == "" {
		old := e.Member
		e.Member = old
		e.Incarnation = r.Incarnation
		e.Version = r.Version
		e.State = r.State
	} else {
		e.Member = r
	}
	if e.State == Leaving || e.State == Left {
		e.Ready = false
	}
	e.deathReported = reportedDead
	e.stateSince = m.now
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
}

// applyDeathReport handles a report that the current incarnation of e is dead. The
// member only becomes suspect: after a partition, the other side considers every
// member of this side dead, and believing that would empty the list on this side
// too. The member refutes with a higher incarnation.
func (m *Machine) applyDeathReport(from coordination.Instance, e *entry) {
	if e.deathReported {
		m.markKnown(from, e.Instance)
		return
	}
	e.deathReported = true
	if e.State != Suspect {
		e.State = Suspect
		e.stateSince = m.now
	}
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
}

// suspect marks e as suspect and propagates that.
func (m *Machine) suspect(from coordination.Instance, e *entry) {
	e.State = Suspect
	e.stateSince = m.now
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
	// Also send it to the suspect itself, so that it can refute at once.
	if l := m.links[e.Instance]; l != nil {
		l.records[e.Instance] = struct{}{}
	}
}

// applySelf handles a record about this member that a peer sent.
func (m *Machine) applySelf(r Member) {
	switch {
	case r.Incarnation < m.self.Incarnation:
		return
	case r.Incarnation > m.self.Incarnation:
		// An earlier incarnation ran with a clock that was ahead of this one.
		m.reincarnate(r.Incarnation)
	case r.State == Dead && m.self.State != Left, r.State == Left && m.self.State != Left:
		m.reincarnate(r.Incarnation)
	case r.State == Suspect && r.Version >= m.self.Version, r.Version > m.self.Version:
		m.self.Version = r.Version
		m.stats.Refutations++
		m.bumpVersion()
	}
}

// reincarnate starts an incarnation higher than after.
func (m *Machine) reincarnate(after coordination.Incarnation) {
	m.self.Incarnation = max(after+1, coordination.Incarnation(m.now.UnixMilli()))
	m.self.Version = 0
	m.stats.Reincarnations++
	m.markChanged()
	m.queueForNeighbors("", m.self.Instance)
}

// bumpVersion increments the version of the machine's own record and propagates
// the record.
func (m *Machine) bumpVersion() {
	m.self.Version++
	m.markChanged()
	m.queueForNeighbors("", m.self.Instance)
}

// SetReady sets whether this member accepts work, and propagates it.
func (m *Machine) SetReady(now time.Time, ready bool) {
	m.advance(now)
	if m.self.Ready == ready || m.self.State != Alive {
		return
	}
	m.self.Ready = ready
	m.bumpVersion()
}

// Leave announces that this member is shutting down.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	if m.self.State != Alive {
		return
	}
	m.self.State = Leaving
	m.self.Ready = false
	m.bumpVersion()
}

// CompleteLeave announces that this member has shut down. The state is final.
func (m *Machine) CompleteLeave(now time.Time) {
	m.advance(now)
	if m.self.State == Left {
		return
	}
	m.self.State = Left
	m.self.Ready = false
	m.bumpVersion()
}

// markChanged invalidates everything that is derived from the member table.
func (m *Machine) markChanged() {
	m.changed = true
	m.cachedMembers = nil
	m.meshStale = true
	m.views[MemberTable].valid = false
}

// queueForNeighbors queues the record of id for all neighbors except from.
func (m *Machine) queueForNeighbors(from, id coordination.Instance) {
	for peer, l := range m.links {
		if peer != from && m.IsNeighbor(peer) {
			l.records[id] = struct{}{}
		}
	}
	m.markKnown(from, id)
}

// queueForPeer queues the record of id for one peer.
func (m *Machine) queueForPeer(peer, id coordination.Instance) {
	if l := m.links[peer]; l != nil {
		l.records[id] = struct{}{}
	}
}

// markKnown removes the record of id from the queue for peer, which has it.
func (m *Machine) markKnown(peer, id coordination.Instance) {
	if l := m.links[peer]; l != nil {
		delete(l.records, id)
	}
}

// expire declares suspects dead whose timeout has passed, and removes members
// whose end is older than ForgetAfter.
func (m *Machine) expire() {
	for _, e := range m.table {
		age := m.now.Sub(e.stateSince)
		switch {
		case e.State == Suspect && age >= m.cfg.SuspicionTimeout:
			e.State = Dead
			e.deathReported = false
			e.stateSince = m.now
			m.stats.Deaths++
			m.markChanged()
		case e.State.Final() && age >= m.cfg.ForgetAfter:
			m.remove(e.Instance)
		}
	}
}

func (m *Machine) remove(id coordination.Instance) {
	delete(m.table, id)
	delete(m.monitors, id)
	m.markChanged()
}

func (m *Machine) recordOf(id coordination.Instance) (Member, bool) {
	if id == m.self.Instance {
		return m.self, true
	}
	e := m.table[id]
	if e == nil {
		return Member{}, false
	}
	return e.record(), true
}
