package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// row is one entry of a table in the form in which tables are compared.
type row struct {
	key    uint32
	stamp  uint64
	member coordination.Instance // for MemberTable
	rumor  rumorKey              // for the tables of rumors
}

const (
	rowBytes = 12
	// minCompareAge is the age from which on an ephemeral rumor is included in
	// comparisons. Younger ones are still being disseminated, and would make
	// the tables differ all the time.
	minCompareAge = 3 * time.Second
	// firstReplyTimeout is how long a comparison waits for the first repairs.
	// It is much shorter than the interval between comparisons; otherwise all
	// members would keep waiting for each other.
	firstReplyTimeout = 300 * time.Millisecond
	// maxRows is the maximum number of rows in a listing.
	maxRows = 2048
)

// view caches the rows of a table and their fingerprints. They are needed for every
// heartbeat sent or received, and are recomputed only when the table changes.
type view struct {
	rows  []row
	sums  [buckets]uint32 // per bucket
	sum   uint32          // of the whole table
	at    time.Time
	valid bool
}

// view returns the current view of a table.
func (m *Machine) view(t Table) *view {
	v := &m.views[t]
	// Ephemeral rumors change constantly and enter the view only at
	// minCompareAge, so that view expires after a heartbeat interval.
	if v.valid && (t != EphemeralTable || m.now.Sub(v.at) < m.cfg.HeartbeatInterval) {
		return v
	}
	v.rows = m.rows(t, v.rows[:0])
	// Listings are truncated, so map iteration order must not select their rows.
	slices.SortFunc(v.rows, func(a, b row) int { return cmp.Compare(a.key, b.key) })
	v.sums = fingerprint(v.rows)
	v.sum = 0
	for _, sum := range v.sums {
		v.sum ^= sum
	}
	v.at, v.valid = m.now, true
	return v
}

// rows appends the rows of a table to rows. Members that are dead or have left are
// excluded, since each member forgets them at a different time.
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

// fingerprint returns an order-independent hash of the rows of each bucket.
func fingerprint(rows []row) [buckets]uint32 {
	var sums [buckets]uint32
	for _, r := range rows {
		sums[r.key%buckets] ^= uint32(mix(uint64(r.key)<<32 ^ mix(r.stamp)))
	}
	return sums
}

// fingerprints returns one fingerprint per table.
func (m *Machine) fingerprints() [tables]uint32 {
	var sums [tables]uint32
	for t := range tables {
		sums[t] = m.view(t).sum
	}
	return sums
}

// repair starts a comparison with a peer whose fingerprints differed in two
// consecutive heartbeats. A single difference often means only that a change is
// still being propagated.
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

// noteRepairs records that a peer is sending missing rumors. Until that is done,
// comparisons with other peers would make each of them send the same rumors.
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

// expectRepairs records that a peer has been told what this member lacks, and delays
// other comparisons. It does not apply to members: when many routers start at once,
// each has a different part of the table, and answers of several peers are useful.
func (m *Machine) expectRepairs(t Table) {
	if t == MemberTable {
		return
	}
	until := m.now.Add(firstReplyTimeout)
	if until.After(m.repairingUntil[t]) {
		m.repairingUntil[t] = until
	}
}

// addSync adds digests of the tables to msg for a new link. A member that has just
// opened several links compares members with one peer after another, so that it
// does not receive the whole table from each. It compares rumors with the first
// peer only: heartbeats reveal remaining differences, and links that wait for their
// turn would keep postponing that repair.
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

// digest returns the digest of a table and schedules the next comparison.
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

// compareDigest answers a digest with a listing of the buckets that differ.
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

// makeListing returns a listing of the buckets in mask, up to maxRows rows.
func makeListing(t Table, rows []row, mask uint32, isReply bool) Listing {
	l := Listing{Table: t, Buckets: mask, IsReply: isReply}
	for _, r := range rows {
		if mask&(1<<(r.key%buckets)) == 0 || len(l.Rows) >= maxRows*rowBytes {
			continue
		}
		l.Rows = binary.LittleEndian.AppendUint32(l.Rows, r.key)
		l.Rows = binary.LittleEndian.AppendUint64(l.Rows, r.stamp)
	}
	return l
}

// compareListing queues the rows that the peer lacks. It answers with a listing of
// the same buckets, so that the peer can do the same.
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

// queued reports whether rows of the table are queued for the peer. A comparison in
// the meantime would only report rows that are already queued; at a member through
// which many others join, its cost would leave no budget for the records.
func (l *link) queued(t Table) bool {
	if t == MemberTable {
		return len(l.records) > 0
	}
	return len(l.repairs.set) > 0
}

// clear empties the queues for a peer that is no longer a neighbor.
func (l *link) clear() {
	clear(l.records)
	l.rumors = rumorQueue{}
	l.repairs = rumorQueue{}
	l.announcements = nil
	l.unannounced = nil
	l.pendingRequests = nil
}

// queue queues a row that the peer lacks.
func (l *link) queue(t Table, r row) {
	if t == MemberTable {
		l.records[r.member] = struct{}{}
		return
	}
	l.repairs.push(r.rumor)
}
