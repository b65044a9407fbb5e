package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// Machine is the membership state machine of one router. It is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	self  Member
	rand  *rand.Rand
	now   time.Time
	stats Stats

	table         map[coordination.Instance]*entry // by instance, without self
	links         map[coordination.Instance]*link
	meshNeighbors map[coordination.Instance]time.Time // since when each is a neighbor in the mesh
	broadcastTree map[coordination.Instance]bool      // neighbors in the tree along which rumors are pushed
	meshStale     bool                                // mesh and tree must be recomputed

	monitors     map[coordination.Instance]*peerMonitor
	relayedPings map[uint64]relayedPing
	nonce        uint64

	dials         map[string]*backoff // by address
	nextReconnect time.Time

	rumors         map[rumorKey]*rumor
	byHash         map[uint32]rumorKey
	requests       map[uint32]*request // by hash of topic and key
	views          [tables]view
	nextRepair     [tables]time.Time
	repairingUntil [tables]time.Time // until when a peer is assumed to be repairing the table
	nextSweep      time.Time
	gossipTokens   float64 // byte budget left for ephemeral rumors
	// recordTokens is the byte budget left for member records and repairs.
	recordTokens float64
	lastRefill   time.Time

	out           Output
	changed       bool
	cachedMembers []Member // result of Members; nil after a change
	newRumors     []rumorKey
}

// link is a connection to another member.
type link struct {
	peer          coordination.Instance
	upSince       time.Time
	nextHeartbeat time.Time    // when the next heartbeat is due
	neighborUntil time.Time    // until when the peer counts this member as a neighbor
	needsSync     [tables]bool // tables whose digest is to be sent because the link is new
	// mismatches counts consecutive heartbeats with a different fingerprint.
	mismatches [tables]int
	records    map[coordination.Instance]struct{} // to send
	rumors     rumorQueue                         // to send
	repairs    rumorQueue                         // to send because the peer lacks them
	// announcements are those still to send. Entries that are missing from
	// unannounced are skipped, because the peer is known to have the rumor.
	announcements   []announcement
	unannounced     map[rumorKey]struct{}
	pendingRequests []byte // hashes of rumors to request
}

// New returns a Machine for the member self, starting at time now.
func New(cfg Config, self Member, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:           cfg,
		self:          self,
		rand:          rand.New(rand.NewPCG(cfg.Seed, hash(string(self.Instance)))),
		now:           now,
		table:         make(map[coordination.Instance]*entry),
		links:         make(map[coordination.Instance]*link),
		meshNeighbors: make(map[coordination.Instance]time.Time),
		monitors:      make(map[coordination.Instance]*peerMonitor),
		relayedPings:  make(map[uint64]relayedPing),
		dials:         make(map[string]*backoff),
		rumors:        make(map[rumorKey]*rumor),
		byHash:        make(map[uint32]rumorKey),
		requests:      make(map[uint32]*request),
		gossipTokens:  float64(cfg.BytesPerSecond),
		lastRefill:    now,
		changed:       true,
	}
}

// Self returns the machine's own record.
func (m *Machine) Self() Member {
	return m.self
}

// Stats returns the current counters.
func (m *Machine) Stats() Stats {
	return m.stats
}

// Members returns the live members including self, sorted by instance. The slice
// is shared until the members change and must not be modified: routers of a large
// fleet call Members many times a second.
func (m *Machine) Members() []Member {
	if m.cachedMembers == nil {
		m.cachedMembers = m.liveMembers()
	}
	return m.cachedMembers
}

// SameList reports whether a and b are the same slice as returned by
// [Machine.Members]. It does not compare their elements.
func SameList(a, b []Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (m *Machine) liveMembers() []Member {
	live := make([]Member, 0, len(m.table)+1)
	live = append(live, m.self)
	for _, e := range m.table {
		if e.Live() {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		return compare(a.Instance, b.Instance)
	})
	return live
}

// Lookup returns the record of a member, including one that has died or left.
func (m *Machine) Lookup(id coordination.Instance) (Member, bool) {
	if id == m.self.Instance {
		return m.self, true
	}
	e, ok := m.table[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Changed reports whether the members have changed since the previous call.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// LinkUp reports that a connection to peer has been established. The parameter gossip
// tells that it was made for this package, by a Dial of either side, and not for other
// calls; initiated tells that this side dialed.
func (m *Machine) LinkUp(now time.Time, peer Member, gossip, initiated bool) {
	m.advance(now)
	id := peer.Instance
	m.links[id] = &link{
		peer:          id,
		upSince:       now,
		nextHeartbeat: now,
		records:       make(map[coordination.Instance]struct{}),
	}
	delete(m.dials, peer.Address)
	m.recordContact(id)
	m.apply(id, peer)
	if gossip && initiated {
		m.links[id].needsSync = [tables]bool{true, true, true}
		m.links[id].records[m.self.Instance] = struct{}{}
	}
}

// LinkDown reports that the connection to peer was closed.
func (m *Machine) LinkDown(now time.Time, peer coordination.Instance) {
	m.advance(now)
	delete(m.links, peer)
	mon := m.monitors[peer]
	if mon == nil {
		return
	}
	// The connections of a process that dies are reset, so probe the peer soon.
	soon := now.Add(m.cfg.HeartbeatInterval - m.cfg.ProbeAfter)
	if mon.lastHeard.After(soon) {
		mon.lastHeard = soon
	}
}

// DialFailed reports that a Dial failed.
func (m *Machine) DialFailed(now time.Time, address string) {
	m.advance(now)
	m.backOff(address)
}

// IsNeighbor reports whether peer is a neighbor in the mesh, by this member's
// computation or by the peer's.
func (m *Machine) IsNeighbor(peer coordination.Instance) bool {
	if _, ok := m.meshNeighbors[peer]; ok {
		return true
	}
	l := m.links[peer]
	return l != nil && m.now.Before(l.neighborUntil)
}

// Neighbors returns the neighbors in the mesh to which there is a connection, sorted.
func (m *Machine) Neighbors() []coordination.Instance {
	var all []coordination.Instance
	for id := range m.links {
		if m.IsNeighbor(id) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// Linked reports whether there is a connection to peer.
func (m *Machine) Linked(peer coordination.Instance) bool {
	return m.links[peer] != nil
}

// Tick advances the protocol to now and returns the actions that are due. Callers
// call it about ten times a second.
func (m *Machine) Tick(now time.Time) Output {
	m.advance(now)
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(m.cfg.HeartbeatInterval / 4)
		m.expire()
		m.sweepRumors()
		m.retryRequests()
		m.pruneBackoffs()
		m.probe()
	}
	m.updateMesh()
	m.dialMissing()
	m.flush()
	return m.takeOutput()
}

// Receive handles a message from a peer and returns the actions that follow.
func (m *Machine) Receive(now time.Time, from coordination.Instance, msg Message) Output {
	m.advance(now)
	m.recordContact(from)
	for _, r := range msg.Members {
		m.apply(from, r)
	}
	for _, r := range msg.Rumors {
		m.receiveRumor(from, r, m.pushRumor)
	}
	for _, r := range msg.Repairs {
		m.receiveRumor(from, r, m.announceRumor)
	}
	m.noteRepairs(msg)
	m.handleAnnouncements(from, msg.Announcements)
	m.handleRequests(from, msg.Requests)
	for _, d := range msg.Digests {
		m.compareDigest(from, d)
	}
	for _, l := range msg.Listings {
		m.compareListing(from, l)
	}
	if msg.Heartbeat != nil {
		m.handleHeartbeat(from, *msg.Heartbeat)
	}
	if msg.Probe != nil {
		m.handleProbe(from, *msg.Probe)
	}
	return m.takeOutput()
}

// takeOutput returns the accumulated actions and clears them.
func (m *Machine) takeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// send adds a message to the output and charges it to the byte budget.
func (m *Machine) send(to coordination.Instance, msg Message) {
	address := ""
	if e := m.table[to]; e != nil {
		address = e.Address
	}
	m.charge(msg.Size())
	m.out.Sends = append(m.out.Sends, Send{To: to, Address: address, Message: msg})
}

// advance sets the current time. After a pause of the process, silence of the
// peers proves nothing, so their monitors and suspicions start anew. Without this
// the process would declare all other members dead when it resumes.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap < pauseThreshold {
		return
	}
	for _, mon := range m.monitors {
		*mon = peerMonitor{lastHeard: now}
	}
	for _, e := range m.table {
		if e.State == Suspect {
			e.stateSince = now
		}
	}
	if gap > m.cfg.ForgetAfter/2 {
		m.forgetUnlinked()
	}
}

// forgetUnlinked removes all members without a connection. It is called after a
// pause so long that peers may have forgotten dead members that this table still
// lists as alive.
func (m *Machine) forgetUnlinked() {
	for id := range m.table {
		if m.links[id] == nil {
			m.remove(id)
		}
	}
	m.nextReconnect = m.now
}

// sortedLinks returns the links in a fixed order, so that runs are reproducible.
func (m *Machine) sortedLinks() []*link {
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int { return compare(a.peer, b.peer) })
	return links
}

// sortedTable returns the table in a fixed order, so that runs are reproducible.
func (m *Machine) sortedTable() []*entry {
	rows := make([]*entry, 0, len(m.table))
	for _, e := range m.table {
		rows = append(rows, e)
	}
	slices.SortFunc(rows, func(a, b *entry) int { return compare(a.Instance, b.Instance) })
	return rows
}
