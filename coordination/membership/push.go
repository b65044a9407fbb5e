package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// A rumour is pushed along a tree and announced on the other links of the
// mesh. Each member computes the tree from its list of members, so that members
// with the same list agree on it without a word. Whoever hears of a rumour that
// did not come, because lists differ or a member of the tree has died, asks the
// announcer for it.

// announceDelay is the age at which a rumour is announced. By then it has
// arrived by the tree, unless that is broken.
const announceDelay = time.Second

// announceBatchInterval is the time for which announcements are gathered.
const announceBatchInterval = 500 * time.Millisecond

// requestRetryInterval is the time after which a rumour that was asked for and did not
// come is asked for again.
const requestRetryInterval = time.Second

// announcementBytes is the size of one announcement: the hash of the topic and
// key, and the low half of the version.
const announcementBytes = 8

// announcement is a rumour to be announced on a link.
type announcement struct {
	key rumorKey
	due time.Time
}

// rumorQueue holds rumours in order of their arrival.
type rumorQueue struct {
	set   map[rumorKey]struct{}
	order []rumorKey // may hold some that were dropped
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

// pushRumor queues the rumour or its announcement for all neighbours but
// from.
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

// announceRumor queues the announcement of the rumour for all neighbours but from.
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

// markRumorKnown notes that peer has the rumour already.
func (m *Machine) markRumorKnown(peer coordination.Instance, k rumorKey) {
	if l := m.links[peer]; l != nil {
		l.rumors.drop(k)
		l.repairs.drop(k)
		delete(l.unannounced, k)
	}
}

// treeConnected reports whether this member is linked to all its neighbours in
// the tree. If it is not, it sends rumours on all links.
func (m *Machine) treeConnected() bool {
	for id := range m.broadcastTree {
		if m.links[id] == nil {
			return false
		}
	}
	return len(m.broadcastTree) > 0
}

// addAnnouncements adds what is due to msg. Beyond the byte budget soft
// rumours are not announced, since those who ask would get nothing.
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

// request is a rumour that was announced and asked for.
type request struct {
	version      uint32 // the low half
	requestedAt  time.Time
	alternatives []coordination.Instance // that have announced it too
}

// handleAnnouncements asks for what a peer has announced and this member lacks.
func (m *Machine) handleAnnouncements(from coordination.Instance, haves []byte) {
	l := m.links[from]
	if l == nil || len(haves)%announcementBytes != 0 {
		return
	}
	for ; len(haves) > 0; haves = haves[announcementBytes:] {
		h, version := binary.LittleEndian.Uint32(haves), binary.LittleEndian.Uint32(haves[4:])
		if m.lacks(h, version) {
			m.requestRumor(l, h, version)
			continue
		}
		if k := m.byHash[h]; uint32(m.rumors[k].Version) == version {
			m.markRumorKnown(from, k)
		}
	}
}

// lacks reports whether the version is newer than what this member has.
func (m *Machine) lacks(h, version uint32) bool {
	k, ok := m.byHash[h]
	// The difference tells the newer one also where the low half wraps.
	return !ok || int32(version-uint32(m.rumors[k].Version)) > 0
}

// requestRumor asks for a rumour, unless that has been done; then it remembers whom
// else to requestRumor.
func (m *Machine) requestRumor(l *link, h, version uint32) {
	r := m.requests[h]
	if r != nil && int32(version-r.version) <= 0 {
		if len(r.alternatives) < maxHelpers {
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

// retryRequests asks again for what did not come, and ends requests that have been
// met or that nobody else can meet.
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

// handleRequests queues what a peer has asked for.
func (m *Machine) handleRequests(from coordination.Instance, wants []byte) {
	l := m.links[from]
	if l == nil || len(wants)%4 != 0 {
		return
	}
	for ; len(wants) > 0; wants = wants[4:] {
		if k, ok := m.byHash[binary.LittleEndian.Uint32(wants)]; ok {
			l.rumors.push(k)
		}
	}
}
