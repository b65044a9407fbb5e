package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// row is one line of a table as members compare it.
type row struct {
	key    uint32
	stamp  uint64
	member coordination.Instance // in MemberTable
	rumor  rumorKey              // in the others
}

const (
	rowBytes = 12
	// minCompareAge is the age from which on a soft rumour is compared. Younger
	// ones are still on their way, and would make all tables differ always.
	minCompareAge = 3 * time.Second
	// firstReplyTimeout is the time in which a comparison should bring the first
	// repairs. It is much shorter than the interval between comparisons, or
	// all members would always wait for each other.
	firstReplyTimeout = 300 * time.Millisecond
	// maxRows bounds a listing.
	maxRows = 2048
)

// view is the content of a table with its fingerprints. Both are kept until
// the table changes, since each heartbeat in either direction needs them.
type view struct {
	rows  []row
	sums  [buckets]uint32 // of each bucket
	sum   uint32          // of all
	at    time.Time
	valid bool
}

// view returns the content of a table.
func (m *Machine) view(t Table) *view {
	v := &m.views[t]
	// Soft rumours change all the time, and enter the view by their age.
	if v.valid && (t != EphemeralTable || m.now.Sub(v.at) < m.cfg.HeartbeatInterval) {
		return v
	}
	v.rows = m.rows(t, v.rows[:0])
	// The order of a map must not decide what a bounded message holds.
	slices.SortFunc(v.rows, func(a, b row) int { return cmp.Compare(a.key, b.key) })
	v.sums = fingerprint(v.rows)
	v.sum = 0
	for _, sum := range v.sums {
		v.sum ^= sum
	}
	v.at, v.valid = m.now, true
	return v
}

// rows appends the content of a table to rows. Members that are gone are not
// in it, since each member forgets them at its own time.
func (m *Machine) rows(t Table, rows []row) []row {
	if t == MemberTable {
		return m.memberRows(rows)
	}
	for k, r := range m.rumors {
		if r.persistent != (t == PersistentTable) || !r.persistent && (m.now.Sub(r.arrived) < minCompareAge || !r.live(m.now)) {
			continue
		}
		rows = append(rows, row{key: r.hash, stamp: r.Version, rumor: k})
	}
	return rows
}

func (m *Machine) memberRows(rows []row) []row {
	self := entry{Member: m.self}
	if self.Live() {
		rows = append(rows, memberRow(&self))
	}
	for _, e := range m.table {
		if e.Live() {
			rows = append(rows, memberRow(e))
		}
	}
	return rows
}

func memberRow(e *entry) row {
	return row{key: uint32(hash(string(e.Instance))), stamp: e.versionStamp(), member: e.Instance}
}

// fingerprint sums up rows, in whatever order they are.
func fingerprint(rows []row) [buckets]uint32 {
	var sums [buckets]uint32
	for _, r := range rows {
		sums[r.key%buckets] ^= uint32(mix(uint64(r.key)<<32 ^ mix(r.stamp)))
	}
	return sums
}

// fingerprints sums up each table in one number.
func (m *Machine) fingerprints() [tables]uint32 {
	var sums [tables]uint32
	for t := range tables {
		sums[t] = m.view(t).sum
	}
	return sums
}

// repair starts to compare tables with a peer whose heartbeats have shown a
// difference twice. The first time the change may well be on its way.
func (m *Machine) repair(l *link) {
	for t := range tables {
		if l.mismatches[t] < 2 || m.now.Before(m.nextRepair[t]) || m.now.Before(m.repairingUntil[t]) {
			continue
		}
		l.mismatches[t] = 0
		m.stats.Repairs++
		m.send(l.peer, Message{Digests: []Digest{m.digest(t)}})
	}
}

// noteRepairs notes that a peer is sending what this member lacks. Until it has
// done so, to compare with others would bring the same once more from each.
func (m *Machine) noteRepairs(msg Message) {
	until := m.now.Add(m.cfg.RepairInterval)
	for _, r := range msg.Repairs {
		t := EphemeralTable
		if m.cfg.Topics[r.Topic].Persistent {
			t = PersistentTable
		}
		m.repairingUntil[t] = until
	}
}

// expectRepairs notes that a peer has been told what this member lacks. It does
// not hold for members: after a start of many at once, each has another part
// of the table, and it is worth hearing several.
func (m *Machine) expectRepairs(t Table) {
	if t == MemberTable {
		return
	}
	until := m.now.Add(firstReplyTimeout)
	if until.After(m.repairingUntil[t]) {
		m.repairingUntil[t] = until
	}
}

// addSync adds digests of the tables to msg for a new link. A member that has
// just made several links compares members with one peer after the other, lest
// it get the whole table from each. Rumours it compares with the first only:
// if they still differ from those of others, heartbeats will show it, and a
// list of links that wait for their turn would keep it from repairing that.
func (m *Machine) addSync(l *link, msg *Message) {
	for t := range tables {
		if !l.needsSync[t] {
			continue
		}
		due := !m.now.Before(m.nextRepair[t]) && !m.now.Before(m.repairingUntil[t])
		if due {
			msg.Digests = append(msg.Digests, m.digest(t))
		}
		l.needsSync[t] = !due && t == MemberTable
	}
}

func (m *Machine) digest(t Table) Digest {
	interval := m.cfg.RepairInterval
	if t == EphemeralTable {
		interval *= 5
	}
	m.nextRepair[t] = m.now.Add(m.jitter(interval))
	m.expectRepairs(t)
	d := Digest{Table: t, Buckets: make([]byte, 0, 4*buckets)}
	for _, sum := range m.view(t).sums {
		d.Buckets = binary.LittleEndian.AppendUint32(d.Buckets, sum)
	}
	return d
}

// compareDigest answers a digest by listing the buckets that differ.
func (m *Machine) compareDigest(from coordination.Instance, d Digest) {
	link := m.links[from]
	if d.Table >= tables || len(d.Buckets) != 4*buckets || link == nil || link.queued(d.Table) || m.now.Before(m.repairingUntil[d.Table]) {
		return
	}
	v := m.view(d.Table)
	var differ uint32
	for i, sum := range v.sums {
		if sum != binary.LittleEndian.Uint32(d.Buckets[4*i:]) {
			differ |= 1 << i
		}
	}
	if differ != 0 {
		m.expectRepairs(d.Table)
		m.send(from, Message{Listings: []Listing{makeListing(d.Table, v.rows, differ, false)}})
	}
}

// makeListing makes the listing of the buckets in mask.
func makeListing(t Table, rows []row, mask uint32, answer bool) Listing {
	l := Listing{Table: t, Buckets: mask, IsReply: answer}
	for _, r := range rows {
		if mask&(1<<(r.key%buckets)) == 0 || len(l.Rows) >= maxRows*rowBytes {
			continue
		}
		l.Rows = binary.LittleEndian.AppendUint32(l.Rows, r.key)
		l.Rows = binary.LittleEndian.AppendUint64(l.Rows, r.stamp)
	}
	return l
}

// compareListing queues what the peer lacks, and lists the same buckets in
// turn so that the peer does so too.
func (m *Machine) compareListing(from coordination.Instance, l Listing) {
	link := m.links[from]
	if l.Table >= tables || len(l.Rows)%rowBytes != 0 || link == nil {
		return
	}
	theirs := make(map[uint32]uint64, len(l.Rows)/rowBytes)
	for b := l.Rows; len(b) > 0; b = b[rowBytes:] {
		theirs[binary.LittleEndian.Uint32(b)] = binary.LittleEndian.Uint64(b[4:])
	}
	rows := m.view(l.Table).rows
	for _, r := range rows {
		if l.Buckets&(1<<(r.key%buckets)) == 0 {
			continue
		}
		stamp, ok := theirs[r.key]
		if !ok || l.Table == MemberTable && stamp != r.stamp || stamp < r.stamp {
			link.queue(l.Table, r)
		}
	}
	if !l.IsReply {
		m.send(from, Message{Listings: []Listing{makeListing(l.Table, rows, l.Buckets, true)}})
	}
}

// queued reports whether something of the table waits to be sent to the peer.
// A comparison before it is sent would find what is known to be missing, and
// at a member that many join by, its cost would leave no room for the records.
func (l *link) queued(t Table) bool {
	if t == MemberTable {
		return len(l.records) > 0
	}
	return len(l.repairs.set) > 0
}

// clear empties the queues to a peer that is no longer a neighbour.
func (l *link) clear() {
	clear(l.records)
	l.rumors = rumorQueue{}
	l.repairs = rumorQueue{}
	l.announcements = nil
	l.unannounced = nil
	l.pendingRequests = nil
}

func (l *link) queue(t Table, r row) {
	if t == MemberTable {
		l.records[r.member] = struct{}{}
		return
	}
	l.repairs.push(r.rumor)
}
