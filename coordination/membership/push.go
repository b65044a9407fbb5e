package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// A rumor is pushed along a spanning tree and announced on the other links of the
// mesh. Each member computes the tree from its member list, so that members with
// the same list agree on it without communication. A member that sees an
// announcement of a rumor that it did not receive, because the lists differ or a
// member of the tree has died, requests it from the announcer.

// announceDelay is the age at which a rumor is announced. By then it has arrived
// along the tree, unless the tree is broken.
const announceDelay = time.Second

// announceBatchInterval is how long announcements that are due are collected.
const announceBatchInterval = 500 * time.Millisecond

// requestRetryInterval is how long to wait for a requested rumor before requesting
// it from another member.
const requestRetryInterval = time.Second

// announcementBytes is the encoded size of an announcement: the hash of the topic
// and key, and the low 32 bits of the version.
const announcementBytes = 8

// announcement is a rumor to be announced on a link.
type announcement struct {
	key rumorKey
	due time.Time
}

// rumorQueue is a FIFO queue of distinct rumors.
type rumorQueue struct {
	set   map[rumorKey]struct{}
	order []rumorKey // may contain keys that were dropped from set
}

func (q *rumorQueue) push(k rumorKey) {
	if q.has(k) {
		return
	}
	if q.set == nil {
		q.set = make(map[rumorKey]struct{})
	}
	q.set[k] = struct{}{}
	q.order = append(q.order, k)
}

func (q *rumorQueue) has(k rumorKey) bool {
	_, ok := q.set[k]
	return ok
}

func (q *rumorQueue) drop(k rumorKey) {
	delete(q.set, k)
}

// pushRumor queues the rumor for tree neighbors and its announcement for the other
// neighbors, except from. While the tree is not connected, it queues the rumor for
// all neighbors.
func (m *Machine) pushRumor(from coordination.Instance, k rumorKey) {
	all := !m.treeConnected()
	for _, l := range m.links {
		if l.peer == from || !m.IsNeighbor(l.peer) {
			continue
		}
		if all || m.broadcastTree[l.peer] {
			l.rumors.push(k)
			continue
		}
		l.announce(k, m.now.Add(announceDelay))
	}
	m.markRumorKnown(from, k)
}

// announceRumor queues an announcement of the rumor for all neighbors except from.
func (m *Machine) announceRumor(from coordination.Instance, k rumorKey) {
	for _, l := range m.links {
		if l.peer != from && m.IsNeighbor(l.peer) {
			l.announce(k, m.now.Add(announceDelay))
		}
	}
	m.markRumorKnown(from, k)
}

func (l *link) announce(k rumorKey, due time.Time) {
	if l.unannounced == nil {
		l.unannounced = make(map[rumorKey]struct{})
	}
	l.unannounced[k] = struct{}{}
	l.announcements = append(l.announcements, announcement{k, due})
}

// markRumorKnown removes the rumor from the queues for peer, which has it.
func (m *Machine) markRumorKnown(peer coordination.Instance, k rumorKey) {
	if l := m.links[peer]; l != nil {
		l.rumors.drop(k)
		l.repairs.drop(k)
		delete(l.unannounced, k)
	}
}

// treeConnected reports whether this member has links to all its neighbors in the
// tree.
func (m *Machine) treeConnected() bool {
	for id := range m.broadcastTree {
		if m.links[id] == nil {
			return false
		}
	}
	return len(m.broadcastTree) > 0
}

// addAnnouncements adds the announcements that are due to msg. Once the byte budget
// is used up, ephemeral rumors are not announced, since requests for them would not
// be served.
func (m *Machine) addAnnouncements(l *link, msg *Message) {
	if len(l.announcements) == 0 || m.now.Before(l.announcements[0].due.Add(announceBatchInterval)) {
		return
	}
	sent := 0
	for _, a := range l.announcements {
		if m.now.Before(a.due) {
			break
		}
		sent++
		r := m.rumors[a.key]
		_, ok := l.unannounced[a.key]
		delete(l.unannounced, a.key)
		if !ok || r == nil || !r.live(m.now) || !r.persistent && m.gossipTokens <= 0 {
			continue
		}
		msg.Announcements = binary.LittleEndian.AppendUint32(msg.Announcements, r.hash)
		msg.Announcements = binary.LittleEndian.AppendUint32(msg.Announcements, uint32(r.Version))
	}
	l.announcements = slices.Delete(l.announcements, 0, sent)
}

// request is an outstanding request for an announced rumor.
type request struct {
	version      uint32 // low 32 bits
	requestedAt  time.Time
	alternatives []coordination.Instance // other members that announced it
}

// handleAnnouncements requests the rumors that a peer announced and this member
// lacks.
func (m *Machine) handleAnnouncements(from coordination.Instance, announced []byte) {
	l := m.links[from]
	if l == nil || len(announced)%announcementBytes != 0 {
		return
	}
	for ; len(announced) > 0; announced = announced[announcementBytes:] {
		h, version := binary.LittleEndian.Uint32(announced), binary.LittleEndian.Uint32(announced[4:])
		if m.lacks(h, version) {
			m.requestRumor(l, h, version)
			continue
		}
		if k := m.byHash[h]; uint32(m.rumors[k].Version) == version {
			m.markRumorKnown(from, k)
		}
	}
}

// lacks reports whether version is newer than the stored one, or nothing is stored.
func (m *Machine) lacks(h, version uint32) bool {
	k, ok := m.byHash[h]
	// The signed difference is correct even if the low 32 bits wrap around.
	return !ok || int32(version-uint32(m.rumors[k].Version)) > 0
}

// requestRumor requests a rumor from a peer. If the same or a newer version is
// requested already, it records the peer as an alternative.
func (m *Machine) requestRumor(l *link, h, version uint32) {
	r := m.requests[h]
	if r != nil && int32(version-r.version) <= 0 {
		if len(r.alternatives) < maxAlternativePeers {
			r.alternatives = append(r.alternatives, l.peer)
		}
		return
	}
	if len(m.requests) >= m.cfg.MaxRumors {
		return
	}
	m.requests[h] = &request{version: version, requestedAt: m.now}
	l.pendingRequests = binary.LittleEndian.AppendUint32(l.pendingRequests, h)
}

// retryRequests repeats overdue requests at alternative members, and removes those
// that were answered or have no alternatives left.
func (m *Machine) retryRequests() {
	hashes := lo.Keys(m.requests)
	slices.Sort(hashes)
	for _, h := range hashes {
		r := m.requests[h]
		if m.now.Sub(r.requestedAt) < requestRetryInterval {
			continue
		}
		if len(r.alternatives) == 0 || !m.lacks(h, r.version) {
			delete(m.requests, h)
			continue
		}
		next := r.alternatives[0]
		r.alternatives = r.alternatives[1:]
		if l := m.links[next]; l != nil {
			r.requestedAt = m.now
			l.pendingRequests = binary.LittleEndian.AppendUint32(l.pendingRequests, h)
		}
	}
}

// handleRequests queues the rumors that a peer requested.
func (m *Machine) handleRequests(from coordination.Instance, hashes []byte) {
	l := m.links[from]
	if l == nil || len(hashes)%4 != 0 {
		return
	}
	for ; len(hashes) > 0; hashes = hashes[4:] {
		if k, ok := m.byHash[binary.LittleEndian.Uint32(hashes)]; ok {
			l.rumors.push(k)
		}
	}
}
