package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// The mesh is the union of several rings. A ring contains the members of a zone, of
// a region or of the whole fleet in hash order, and each member connects to its
// predecessor and its successor. Each ring alone connects its members, a change of
// the member list changes two links per ring, and the number of links per member is
// constant for any size of the fleet and any distribution over zones.

// rings defines the rings of the mesh. Each function returns the key that the
// members of one ring share.
var rings = []func(*Member) string{
	zoneRingKey,
	zoneRingKey,
	func(m *Member) string { return string(m.Region) },
	func(*Member) string { return "" },
}

func zoneRingKey(m *Member) string {
	return string(m.Region) + "\x00" + string(m.Zone)
}

// updateMesh recomputes the mesh neighbors and the broadcast tree if members have
// changed.
func (m *Machine) updateMesh() {
	if !m.meshStale {
		return
	}
	m.meshStale = false
	members := m.Members()
	links := buildMesh(members)
	self := slices.IndexFunc(members, func(o Member) bool { return o.Instance == m.self.Instance })
	neighbors := make(map[coordination.Instance]time.Time)
	for _, i := range links[self] {
		id := members[i].Instance
		since, ok := m.meshNeighbors[id]
		if !ok {
			since = m.now
		}
		neighbors[id] = since
	}
	m.meshNeighbors = neighbors
	m.broadcastTree = make(map[coordination.Instance]bool)
	for i, parent := range buildTree(links) {
		switch {
		case i == 0:
		case i == self:
			m.broadcastTree[members[parent].Instance] = true
		case parent == self:
			m.broadcastTree[members[i].Instance] = true
		}
	}
}

// buildMesh returns the neighbors of each member as indexes into members, which
// must be sorted by instance.
func buildMesh(members []Member) [][]int {
	links := make([][]int, len(members))
	for seed, ringKey := range rings {
		byKey := make(map[string][]int)
		for i := range members {
			key := ringKey(&members[i])
			byKey[key] = append(byKey[key], i)
		}
		for _, ring := range byKey {
			connectRing(links, members, uint64(seed), ring)
		}
	}
	for _, l := range links {
		slices.Sort(l)
	}
	return links
}

// connectRing connects each member of a ring to the next one.
func connectRing(links [][]int, members []Member, seed uint64, ring []int) {
	positions := make(map[int]uint64, len(ring))
	for _, i := range ring {
		positions[i] = ringPosition(seed, members[i].Instance)
	}
	slices.SortFunc(ring, func(a, b int) int { return cmp.Compare(positions[a], positions[b]) })
	for i, a := range ring {
		b := ring[(i+1)%len(ring)]
		if a == b || slices.Contains(links[a], b) {
			continue
		}
		links[a] = append(links[a], b)
		links[b] = append(links[b], a)
	}
}

// maxChildren limits the copies of each rumor that a member pushes along the tree.
// Without a limit, members near the root send three times the mean.
const maxChildren = 3

// buildTree returns the parent of each member in a breadth-first spanning tree of
// the mesh, rooted at the first member.
func buildTree(links [][]int) []int {
	t := tree{parents: make([]int, len(links)), children: make([]int, len(links))}
	for i := range t.parents {
		t.parents[i] = -1
	}
	t.parents[0] = 0
	for todo := []int{0}; len(todo) > 0; todo = todo[1:] {
		for _, i := range links[todo[0]] {
			if t.parents[i] < 0 && t.children[todo[0]] < maxChildren {
				t.addChild(todo[0], i)
				todo = append(todo, i)
			}
		}
	}
	for t.addRemaining(links) {
	}
	return t.parents
}

// tree is a spanning tree under construction.
type tree struct {
	parents  []int // -1 for members not yet in the tree
	children []int // number of children
}

func (t *tree) addChild(parent, child int) {
	t.parents[child] = parent
	t.children[parent]++
}

// addRemaining attaches each member that has no parent yet to the neighbor with the
// fewest children. It reports whether it attached any.
func (t *tree) addRemaining(links [][]int) bool {
	attached := false
	for i, parent := range t.parents {
		if parent >= 0 {
			continue
		}
		best := -1
		for _, j := range links[i] {
			if t.parents[j] >= 0 && (best < 0 || t.children[j] < t.children[best]) {
				best = j
			}
		}
		if best >= 0 {
			t.addChild(best, i)
			attached = true
		}
	}
	return attached
}

// ringPosition returns the position of id in the ring with the given seed.
func ringPosition(seed uint64, id coordination.Instance) uint64 {
	return mix(hash(string(id)) ^ (seed+1)*0x9e3779b97f4a7c15)
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// backoff delays the next attempt to dial an address.
type backoff struct {
	failures int
	next     time.Time
}

// dialMissing requests connections to mesh neighbors without one, and to the seeds
// if there is no connection at all.
func (m *Machine) dialMissing() {
	if m.self.State == Left {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.meshNeighbors)) {
		if m.links[id] != nil {
			continue
		}
		if id < m.self.Instance && m.now.Sub(m.meshNeighbors[id]) < dialDeferral {
			continue
		}
		m.requestDial(Dial{Instance: id, Address: m.table[id].Address})
	}
	if len(m.links) == 0 {
		for _, seed := range m.cfg.Seeds {
			m.requestDial(Dial{Address: seed})
		}
	}
	m.reconnect()
}

// requestDial requests a connection unless the address is in backoff.
func (m *Machine) requestDial(d Dial) {
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

// backOff delays the next attempt to dial address, with exponential backoff and
// jitter. The jitter keeps members that lost the same peer from dialing it at the
// same time.
func (m *Machine) backOff(address string) {
	b := m.dials[address]
	if b == nil {
		b = &backoff{}
		m.dials[address] = b
	}
	if m.now.Before(b.next) {
		return
	}
	wait := maxBackoff
	if b.failures < 5 {
		wait = minBackoff << b.failures
	}
	b.failures++
	b.next = m.now.Add(m.jitter(wait))
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rand.Int64N(int64(d)+1))
}

// reconnect periodically dials one random member that is considered dead or one
// seed that no live member has. This merges the sides of a partition again, at a
// rate that does not depend on the number of members lost.
func (m *Machine) reconnect() {
	if m.now.Before(m.nextReconnect) {
		return
	}
	m.nextReconnect = m.now.Add(m.jitter(m.cfg.ReconnectInterval))
	live := make(map[string]bool)
	var unreachable []Dial
	for _, e := range m.sortedTable() {
		if e.Live() {
			live[e.Address] = true
		}
		if e.State == Dead {
			unreachable = append(unreachable, Dial{Instance: e.Instance, Address: e.Address})
		}
	}
	for _, seed := range m.cfg.Seeds {
		if !live[seed] && seed != m.self.Address {
			unreachable = append(unreachable, Dial{Address: seed})
		}
	}
	if len(unreachable) > 0 {
		m.requestDial(unreachable[m.rand.IntN(len(unreachable))])
	}
}

// pruneBackoffs removes the backoff of addresses that are no longer dialed.
func (m *Machine) pruneBackoffs() {
	for address, b := range m.dials {
		if m.now.Sub(b.next) > time.Minute {
			delete(m.dials, address)
		}
	}
}
