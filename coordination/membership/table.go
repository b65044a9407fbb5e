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

// apply takes in a record about a member, told by from.
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
		// The end of an incarnation is never taken back. Its teller learns
		// of it, and so the member itself in the end.
		if !r.State.Final() {
			m.queueForPeer(from, r.Instance)
		}
	case r.State == Left:
		m.replace(from, e, r)
	case r.State == Dead:
		m.applyDeathClaim(from, e)
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

// valid reports whether r may be held. The bounds keep a faulty peer from
// filling the memory.
func (r *Member) valid() bool {
	return r.Instance != "" && len(r.Instance) <= maxName && len(r.Address) <= maxName &&
		r.Incarnation < maxCounter && r.Version < maxCounter && len(r.Zone) <= maxName && len(r.Region) <= maxName && len(r.Build) <= maxName && r.State <= Dead
}

// insert adds a member that was unknown. The end of an unknown member is no
// news, and to take it in would keep the memory of it alive for ever.
func (m *Machine) insert(from coordination.Instance, r Member) {
	if r.Address == "" || r.State.Final() || len(m.table) >= m.cfg.MaxMembers {
		return
	}
	m.table[r.Instance] = &entry{Member: r, stateSince: m.now}
	m.markChanged()
	m.queueForNeighbors(from, r.Instance)
}

// replace sets e to the newer record r. A record of a suspect or dead member
// has no address; what was known stays.
func (m *Machine) replace(from coordination.Instance, e *entry, r Member) {
	claimed := r.State == Dead
	if claimed {
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
	e.deathClaimed = claimed
	e.stateSince = m.now
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
}

// applyDeathClaim handles word that the incarnation of e is dead. It is only suspected:
// after a partition, the far side holds each member for dead, and believing
// that would empty the near side's list too. The member refutes by a higher
// incarnation.
func (m *Machine) applyDeathClaim(from coordination.Instance, e *entry) {
	if e.deathClaimed {
		m.markKnown(from, e.Instance)
		return
	}
	e.deathClaimed = true
	if e.State != Suspect {
		e.State = Suspect
		e.stateSince = m.now
	}
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
}

func (m *Machine) suspect(from coordination.Instance, e *entry) {
	e.State = Suspect
	e.stateSince = m.now
	m.markChanged()
	m.queueForNeighbors(from, e.Instance)
	// The suspect itself must hear of it first, so that it can refute.
	if l := m.links[e.Instance]; l != nil {
		l.records[e.Instance] = struct{}{}
	}
}

// applySelf handles what others say about this member.
func (m *Machine) applySelf(r Member) {
	switch {
	case r.Incarnation < m.self.Incarnation:
		return
	case r.Incarnation > m.self.Incarnation:
		// An earlier life had a clock that was ahead.
		m.reincarnate(r.Incarnation)
	case r.State == Dead && m.self.State != Left, r.State == Left && m.self.State != Left:
		m.reincarnate(r.Incarnation)
	case r.State == Suspect && r.Version >= m.self.Version, r.Version > m.self.Version:
		m.self.Version = r.Version
		m.stats.Refutations++
		m.bumpVersion()
	}
}

// reincarnate starts a new incarnation after the given one.
func (m *Machine) reincarnate(after coordination.Incarnation) {
	m.self.Incarnation = max(after+1, coordination.Incarnation(m.now.UnixMilli()))
	m.self.Version = 0
	m.stats.Reincarnations++
	m.markChanged()
	m.queueForNeighbors("", m.self.Instance)
}

// bumpVersion spreads a change of the machine's own record.
func (m *Machine) bumpVersion() {
	m.self.Version++
	m.markChanged()
	m.queueForNeighbors("", m.self.Instance)
}

// SetReady tells all members whether this one takes work.
func (m *Machine) SetReady(now time.Time, ready bool) {
	m.advance(now)
	if m.self.Ready == ready || m.self.State != Alive {
		return
	}
	m.self.Ready = ready
	m.bumpVersion()
}

// Leave tells all members that this one is stopping.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	if m.self.State != Alive {
		return
	}
	m.self.State = Leaving
	m.self.Ready = false
	m.bumpVersion()
}

// CompleteLeave tells all members that this one is gone. Nothing follows it.
func (m *Machine) CompleteLeave(now time.Time) {
	m.advance(now)
	if m.self.State == Left {
		return
	}
	m.self.State = Left
	m.self.Ready = false
	m.bumpVersion()
}

// markChanged notes that the table has changed.
func (m *Machine) markChanged() {
	m.changed = true
	m.cachedMembers = nil
	m.meshStale = true
	m.views[MemberTable].valid = false
}

// queueForNeighbors queues the record of id for all neighbours but from.
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

// markKnown notes that peer has the record of id already.
func (m *Machine) markKnown(peer, id coordination.Instance) {
	if l := m.links[peer]; l != nil {
		delete(l.records, id)
	}
}

// expire ends suspicions and forgets members that are long gone.
func (m *Machine) expire() {
	for _, e := range m.table {
		age := m.now.Sub(e.stateSince)
		switch {
		case e.State == Suspect && age >= m.cfg.SuspicionTimeout:
			e.State = Dead
			e.deathClaimed = false
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
