package membership

import (
	"time"

	"wisteriaspool/coordination"
)

// The mesh is the union of rings. A ring holds the members of a zone, of a
// region or of the whole fleet in the order of a hash, and each member keeps
// connections to the one before and the one after it. Each ring connects its
// members by itself, a change of the list touches two links per ring, and the
// number of links stays the same however large the fleet or uneven the zones.
const (
	zoneRings   = 2
	regionRings = 1
	fleetRings  = 1
)

// mesh computes the wanted neighbours if members have changed.
func (m *Machine) mesh() {
	if !m.stale {
		return
	}
	m.stale = false
	wanted := make(map[coordination.Instance]time.Time)
	for i := range zoneRings {
		m.ring(wanted, uint64(i), func(e *entry) bool {
			return e.Zone == m.self.Zone && e.Region == m.self.Region
		})
	}
	for i := range regionRings {
		m.ring(wanted, uint64(zoneRings+i), func(e *entry) bool { return e.Region == m.self.Region })
	}
	for i := range fleetRings {
		m.ring(wanted, uint64(zoneRings+regionRings+i), func(*entry) bool { return true })
	}
	m.wanted = wanted
}

// ring adds the members before and after self on the ring that is seeded by
// seed and holds the live members that are in it.
func (m *Machine) ring(wanted map[coordination.Instance]time.Time, seed uint64, in func(*entry) bool) {
	own := place(seed, m.self.Instance)
	var next, previous coordination.Instance
	var ahead, behind uint64 // distances, less one
	for id, e := range m.table {
		if !e.Live() || !in(e) {
			continue
		}
		distance := place(seed, id) - own
		if next == "" || distance-1 < ahead {
			next, ahead = id, distance-1
		}
		if previous == "" || -distance-1 < behind {
			previous, behind = id, -distance-1
		}
	}
	m.want(wanted, next)
	m.want(wanted, previous)
}

func (m *Machine) want(wanted map[coordination.Instance]time.Time, id coordination.Instance) {
	if id == "" {
		return
	}
	since, ok := m.wanted[id]
	if !ok {
		since = m.now
	}
	wanted[id] = since
}

// place returns the place of id on a ring.
func place(seed uint64, id coordination.Instance) uint64 {
	return mix(hash(string(id)) ^ (seed+1)*0x9e3779b97f4a7c15)
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// backoff delays attempts to reach an address.
type backoff struct {
	failures int
	next     time.Time
}

// dial asks for the connections that are missing.
func (m *Machine) dial() {
	if m.self.State == Left {
		return
	}
	for _, id := range sortedKeys(m.wanted) {
		if m.links[id] != nil {
			continue
		}
		if id < m.self.Instance && m.now.Sub(m.wanted[id]) < secondDial {
			continue
		}
		m.try(Dial{Instance: id, Address: m.table[id].Address})
	}
	if len(m.links) == 0 {
		for _, seed := range m.cfg.Seeds {
			m.try(Dial{Address: seed})
		}
	}
	m.search()
}

// try asks for a connection unless an attempt is due only later.
func (m *Machine) try(d Dial) {
	if d.Address == "" || d.Address == m.self.Address {
		return
	}
	b := m.dials[d.Address]
	if b != nil && m.now.Before(b.next) {
		return
	}
	m.backOff(d.Address)
	m.out.Dials = append(m.out.Dials, d)
}

// backOff delays the next attempt to reach address, longer with each failure
// and by a random share, so that those who lost a peer together do not return
// together.
func (m *Machine) backOff(address string) {
	b := m.dials[address]
	if b == nil {
		b = &backoff{}
		m.dials[address] = b
	}
	if m.now.Before(b.next) {
		return
	}
	wait := backoffMost
	if b.failures < 5 {
		wait = backoffFirst << b.failures
	}
	b.failures++
	b.next = m.now.Add(m.jitter(wait))
}

// jitter returns a time between half of d and one and a half of it.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rand.Int64N(int64(d)+1))
}

// search tries from time to time to reach one member that is held for dead or
// one seed that no live member has. This is how the sides of a partition find
// each other again, at a rate that does not depend on their number.
func (m *Machine) search() {
	if m.now.Before(m.nextSearch) {
		return
	}
	m.nextSearch = m.now.Add(m.jitter(m.cfg.SearchInterval))
	live := make(map[string]bool)
	var lost []Dial
	for _, e := range m.sortedTable() {
		if e.Live() {
			live[e.Address] = true
		}
		if e.State == Dead {
			lost = append(lost, Dial{Instance: e.Instance, Address: e.Address})
		}
	}
	for _, seed := range m.cfg.Seeds {
		if !live[seed] && seed != m.self.Address {
			lost = append(lost, Dial{Address: seed})
		}
	}
	if len(lost) > 0 {
		m.try(lost[m.rand.IntN(len(lost))])
	}
}

// forget drops the backoff of addresses that are no longer tried.
func (m *Machine) forget() {
	for address, b := range m.dials {
		if m.now.Sub(b.next) > time.Minute {
			delete(m.dials, address)
		}
	}
}
