package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// Machine is the membership protocol of one router. It is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	self  Member
	rand  *rand.Rand
	now   time.Time
	stats Stats

	table  map[coordination.Instance]*entry // without self
	links  map[coordination.Instance]*link
	wanted map[coordination.Instance]time.Time // mesh neighbours, since when
	tree   map[coordination.Instance]bool      // those along which rumours go
	stale  bool                                // wanted has to be computed again

	watched map[coordination.Instance]*watch
	relays  map[uint64]relay
	nonce   uint64

	dials      map[string]*backoff // by address
	nextSearch time.Time

	rumors     map[rumorKey]*rumor
	byHash     map[uint32]rumorKey
	requests   map[uint32]*request // by hash of topic and key
	views      [tables]view
	nextRepair [tables]time.Time
	repairing  [tables]time.Time // until when a peer is taken to be repairing it
	nextSweep  time.Time
	tokens     float64 // bytes left for soft rumours
	// recordTokens are the bytes left for records of members.
	recordTokens float64
	refilled     time.Time

	out     Output
	changed bool
	live    []Member // nil if it has to be made again
	fresh   []rumorKey
}

// link is a connection to another member.
type link struct {
	peer     coordination.Instance
	up       time.Time
	beat     time.Time    // of the next heartbeat
	neighbor time.Time    // until when the peer counts us as its neighbour
	sync     [tables]bool // compare the table with the peer soon
	differs  [tables]int
	records  map[coordination.Instance]struct{} // to send
	rumors   rumorQueue                         // to send
	repairs  rumorQueue                         // to send because the peer lacks them
	// announcements are those to come; those that the peer has been found to
	// know are missing from unannounced.
	announcements []announcement
	unannounced   map[rumorKey]struct{}
	wants         []byte // hashes of rumours to ask for
}

// New returns the machine of the member self at time now.
func New(cfg Config, self Member, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:      cfg,
		self:     self,
		rand:     rand.New(rand.NewPCG(cfg.Seed, hash(string(self.Instance)))),
		now:      now,
		table:    make(map[coordination.Instance]*entry),
		links:    make(map[coordination.Instance]*link),
		wanted:   make(map[coordination.Instance]time.Time),
		watched:  make(map[coordination.Instance]*watch),
		relays:   make(map[uint64]relay),
		dials:    make(map[string]*backoff),
		rumors:   make(map[rumorKey]*rumor),
		byHash:   make(map[uint32]rumorKey),
		requests: make(map[uint32]*request),
		tokens:   float64(cfg.Budget),
		refilled: now,
		changed:  true,
	}
}

// Self returns the machine's own record.
func (m *Machine) Self() Member {
	return m.self
}

// Stats returns the counts so far.
func (m *Machine) Stats() Stats {
	return m.stats
}

// Members returns the live members, self among them, in order of instance. The
// slice is the same until the members change, and must not be written to: a
// router of a large fleet asks for it many times a second.
func (m *Machine) Members() []Member {
	if m.live == nil {
		m.live = m.liveMembers()
	}
	return m.live
}

// SameList reports whether a and b are one list of [Machine.Members], without a look
// at what they hold.
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

// Lookup returns what is known of a member, also of a dead one.
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

// Changed reports whether the members have changed since the last call.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// LinkUp tells that a connection to peer stands. Gossip means that it was
// made for this package, by a Dial of either side, and not for other calls;
// initiated that this side dialled.
func (m *Machine) LinkUp(now time.Time, peer Member, gossip, initiated bool) {
	m.advance(now)
	id := peer.Instance
	m.links[id] = &link{
		peer:    id,
		up:      now,
		beat:    now,
		records: make(map[coordination.Instance]struct{}),
	}
	delete(m.dials, peer.Address)
	m.heard(id)
	m.apply(id, peer)
	if gossip && initiated {
		m.links[id].sync = [tables]bool{true, true, true}
		m.links[id].records[m.self.Instance] = struct{}{}
	}
}

// LinkDown tells that the connection to peer has ended.
func (m *Machine) LinkDown(now time.Time, peer coordination.Instance) {
	m.advance(now)
	delete(m.links, peer)
	w := m.watched[peer]
	if w == nil {
		return
	}
	// A process that died has its connections reset, so probe it soon.
	soon := now.Add(m.cfg.Heartbeat - m.cfg.ProbeAfter)
	if w.heard.After(soon) {
		w.heard = soon
	}
}

// DialFailed tells that a Dial did not succeed.
func (m *Machine) DialFailed(now time.Time, address string) {
	m.advance(now)
	m.backOff(address)
}

// Neighbor reports whether the connection to peer belongs to the mesh.
func (m *Machine) Neighbor(peer coordination.Instance) bool {
	if _, ok := m.wanted[peer]; ok {
		return true
	}
	l := m.links[peer]
	return l != nil && m.now.Before(l.neighbor)
}

// Linked reports whether there is a connection to peer.
func (m *Machine) Linked(peer coordination.Instance) bool {
	return m.links[peer] != nil
}

// Tick advances the protocol to now. It is to be called about ten times a
// second.
func (m *Machine) Tick(now time.Time) Output {
	m.advance(now)
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(m.cfg.Heartbeat / 4)
		m.expire()
		m.sweepRumors()
		m.askOthers()
		m.forget()
		m.probe()
	}
	m.mesh()
	m.dial()
	m.flush()
	return m.take()
}

// Receive handles a message from a peer.
func (m *Machine) Receive(now time.Time, from coordination.Instance, msg Message) Output {
	m.advance(now)
	m.heard(from)
	for _, r := range msg.Members {
		m.apply(from, r)
	}
	for _, r := range msg.Rumors {
		m.hear(from, r, m.spreadRumor)
	}
	for _, r := range msg.Repairs {
		m.hear(from, r, m.announce)
	}
	m.noteRepairs(msg)
	m.hearHaves(from, msg.Haves)
	m.hearWants(from, msg.Wants)
	for _, d := range msg.Digests {
		m.compareDigest(from, d)
	}
	for _, l := range msg.Listings {
		m.compareListing(from, l)
	}
	if msg.Heartbeat != nil {
		m.heartbeat(from, *msg.Heartbeat)
	}
	if msg.Probe != nil {
		m.answer(from, *msg.Probe)
	}
	return m.take()
}

func (m *Machine) take() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) send(to coordination.Instance, msg Message) {
	address := ""
	if e := m.table[to]; e != nil {
		address = e.Address
	}
	m.charge(msg.Size())
	m.out.Sends = append(m.out.Sends, Send{To: to, Address: address, Message: msg})
}

// advance moves the machine's time on. If the process was paused in between,
// the silence of the others proves nothing: without this, a process that
// wakes would declare all others dead.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap < pauseGap {
		return
	}
	for _, w := range m.watched {
		*w = watch{heard: now}
	}
	for _, e := range m.table {
		if e.State == Suspect {
			e.since = now
		}
	}
	if gap > m.cfg.ForgetAfter/2 {
		m.forgetAll()
	}
}

// forgetAll empties the table after a pause so long that others may have
// forgotten members that this one still holds for alive.
func (m *Machine) forgetAll() {
	for id := range m.table {
		if m.links[id] == nil {
			m.remove(id)
		}
	}
	m.nextSearch = m.now
}

// sortedLinks returns the links in a fixed order, so that runs repeat.
func (m *Machine) sortedLinks() []*link {
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int { return compare(a.peer, b.peer) })
	return links
}

func (m *Machine) sortedTable() []*entry {
	rows := make([]*entry, 0, len(m.table))
	for _, e := range m.table {
		rows = append(rows, e)
	}
	slices.SortFunc(rows, func(a, b *entry) int { return compare(a.Instance, b.Instance) })
	return rows
}
