package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// flush sends heartbeats that are due and what is queued for each link.
func (m *Machine) flush() {
	m.refill()
	links := m.sortedLinks()
	share := m.recordShare(links)
	// Start anywhere, so that no link always gets what the pace allows.
	start := 0
	if len(links) > 0 {
		start = m.rand.IntN(len(links))
	}
	for i := range links {
		l := links[(start+i)%len(links)]
		if !m.IsNeighbor(l.peer) && m.now.Sub(l.upSince) > neighborGracePeriod {
			l.clear()
		}
		var msg Message
		m.addHeartbeat(l, &msg)
		m.addSync(l, &msg)
		m.addRecords(l, &msg, share)
		m.addRumors(l, &msg)
		m.addAnnouncements(l, &msg)
		msg.Requests, l.pendingRequests = l.pendingRequests, nil
		if msg.empty() {
			continue
		}
		m.send(l.peer, msg)
	}
}

func (m *Message) empty() bool {
	return m.Heartbeat == nil && len(m.Members) == 0 && len(m.Rumors) == 0 && len(m.Repairs) == 0 && len(m.Digests) == 0 &&
		len(m.Announcements) == 0 && len(m.Requests) == 0
}

// addHeartbeat adds a heartbeat to msg if one is due.
func (m *Machine) addHeartbeat(l *link, msg *Message) {
	if !m.IsNeighbor(l.peer) || m.now.Before(l.nextHeartbeat) {
		return
	}
	// A multiple of the interval, with a little scatter against lockstep.
	l.nextHeartbeat = m.now.Add(m.cfg.HeartbeatInterval - time.Duration(m.rand.Int64N(int64(m.cfg.HeartbeatInterval/8))))
	_, wanted := m.meshNeighbors[l.peer]
	msg.Heartbeat = &Heartbeat{Neighbor: wanted, Fingerprints: m.fingerprints()}
}

// addRecords adds queued records of members to msg. Membership is not shed,
// but a large change, such as the return of a region, is spread over some
// seconds. Records go in random order, so that members who start together get
// different parts and can complete each other; most is for one message.
func (m *Machine) addRecords(l *link, msg *Message, most int) {
	if len(l.records) == 0 || m.recordTokens <= 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(l.records))
	if len(ids) > most {
		m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:most]
	}
	for _, id := range ids {
		delete(l.records, id)
		if r, ok := m.recordOf(id); ok {
			m.recordTokens -= float64(r.Size())
			msg.Members = append(msg.Members, r)
			m.stats.RecordsSent++
		}
	}
}

// recordShare returns how many records go to each link at most. When a fleet
// starts, a seed has a hundred links that all lack everything: a few records for
// each let these members meet each other, where the whole pace spent on one or two
// of them leaves the rest with nobody to turn to.
func (m *Machine) recordShare(links []*link) int {
	waiting := 0
	for _, l := range links {
		if len(l.records) > 0 {
			waiting++
		}
	}
	share := int(m.recordTokens) / (typicalRecordBytes * max(waiting, 1))
	return min(max(share, minRecords), maxRecords)
}

// addRumors adds queued rumours to msg.
func (m *Machine) addRumors(l *link, msg *Message) {
	msg.Rumors = m.takeRumors(&l.rumors, m.admitWithinBudget)
	msg.Repairs = m.takeRumors(&l.repairs, m.admitPaced)
}

// takeRumors takes from q what goes into one message. The function admit tells
// whether a rumour may go now, later or not at all.
func (m *Machine) takeRumors(q *rumorQueue, admit func(r *rumor, size int) admission) []Rumor {
	var taken []Rumor
	var left []rumorKey
	size := 0
	for _, k := range q.order {
		r := m.rumors[k]
		if !q.has(k) || r == nil || !r.live(m.now) {
			q.drop(k)
			continue
		}
		if len(taken) == maxRumors || size > maxRumorBytes {
			left = append(left, k)
			continue
		}
		a := admit(r, size)
		if a == sendLater {
			left = append(left, k)
			continue
		}
		q.drop(k)
		if a == discard {
			continue
		}
		told := r.Rumor
		if !r.persistent {
			told.TTLMillis = remaining(r.expires.Sub(m.now))
		}
		size += told.Size()
		taken = append(taken, told)
		m.stats.RumorsSent++
	}
	q.order = left
	return taken
}

// admission tells when a rumour may be sent.
type admission int

const (
	sendNow admission = iota
	sendLater
	discard
)

// admitWithinBudget sheds soft rumours that go beyond the byte budget: the next version of
// them will come soon.
func (m *Machine) admitWithinBudget(r *rumor, size int) admission {
	if !r.persistent && m.gossipTokens < float64(size) {
		m.stats.RumorsShed++
		return discard
	}
	return sendNow
}

// admitPaced holds back what repairs a table, so that a new member does not get it
// at once. It is not shed, or the comparison would begin anew.
func (m *Machine) admitPaced(r *rumor, _ int) admission {
	if m.recordTokens <= 0 {
		return sendLater
	}
	m.recordTokens -= float64(r.Size())
	return sendNow
}

func remaining(d time.Duration) uint32 {
	return uint32(max(1, min(d.Milliseconds(), math.MaxUint32)))
}

// refill adds to the byte budget what the time since the last call gives.
func (m *Machine) refill() {
	rate := float64(m.cfg.BytesPerSecond)
	m.gossipTokens = min(rate, m.gossipTokens+rate*m.now.Sub(m.lastRefill).Seconds())
	pace := recordRateFactor * rate
	m.recordTokens = min(pace, m.recordTokens+pace*m.now.Sub(m.lastRefill).Seconds())
	m.lastRefill = m.now
}

// charge takes bytes from the budget. The debt is bounded, so that soft
// rumours are not shut out for long after a burst of what is never shed.
func (m *Machine) charge(bytes int) {
	m.gossipTokens = max(m.gossipTokens-float64(bytes), -2*float64(m.cfg.BytesPerSecond))
}

// handleHeartbeat handles the handleHeartbeat of a peer.
func (m *Machine) handleHeartbeat(from coordination.Instance, h Heartbeat) {
	l := m.links[from]
	if l == nil {
		return
	}
	if h.Neighbor {
		l.neighborUntil = m.now.Add(neighborGracePeriod)
	}
	own := m.fingerprints()
	for t := range tables {
		if t == MemberTable && own[t] == h.Fingerprints[t] {
			clear(l.records)
		}
		if own[t] == h.Fingerprints[t] || l.queued(t) {
			l.mismatches[t] = 0
			continue
		}
		l.mismatches[t]++
	}
	if m.IsNeighbor(from) {
		m.repair(l)
	}
}
