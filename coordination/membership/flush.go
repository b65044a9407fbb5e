package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// flush sends the heartbeats that are due and the queues of all links.
func (m *Machine) flush() {
	m.refill()
	links := m.sortedLinks()
	share := m.recordShare(links)
	// Start at a random link, so that the record budget does not always go to
	// the same ones.
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

// empty reports whether m has no part that flush can set.
func (m *Message) empty() bool {
	return m.Heartbeat == nil && len(m.Members) == 0 && len(m.Rumors) == 0 && len(m.Repairs) == 0 && len(m.Digests) == 0 &&
		len(m.Announcements) == 0 && len(m.Requests) == 0
}

// addHeartbeat adds a heartbeat to msg if one is due.
func (m *Machine) addHeartbeat(l *link, msg *Message) {
	if !m.IsNeighbor(l.peer) || m.now.Before(l.nextHeartbeat) {
		return
	}
	// Up to an eighth less than the interval, so that members do not send in lockstep.
	l.nextHeartbeat = m.now.Add(m.cfg.HeartbeatInterval - time.Duration(m.rand.Int64N(int64(m.cfg.HeartbeatInterval/8))))
	_, isNeighbor := m.meshNeighbors[l.peer]
	msg.Heartbeat = &Heartbeat{Neighbor: isNeighbor, Fingerprints: m.fingerprints()}
}

// addRecords adds up to most queued member records to msg. Records are never
// dropped, but a large change, such as the return of a region, is spread over
// several seconds. Their order is random, so that members that start together
// receive different parts of the table and can exchange them.
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

// recordShare returns the maximum number of records per link and message. When a
// fleet starts, a seed has a hundred links whose peers lack every record. A few
// records for each let these peers contact each other; spending the whole budget
// on one or two links would leave the others without anyone to contact.
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

// addRumors adds queued rumors and repairs to msg.
func (m *Machine) addRumors(l *link, msg *Message) {
	msg.Rumors = m.takeRumors(&l.rumors, m.admitWithinBudget)
	msg.Repairs = m.takeRumors(&l.repairs, m.admitPaced)
}

// takeRumors removes from q the rumors for one message and returns them. The
// function admit decides whether a rumor is sent now, later or never.
func (m *Machine) takeRumors(q *rumorQueue, admit func(r *rumor, size int) admission) []Rumor {
	var taken []Rumor
	var deferred []rumorKey
	size := 0
	for _, k := range q.order {
		r := m.rumors[k]
		if !q.has(k) || r == nil || !r.live(m.now) {
			q.drop(k)
			continue
		}
		if len(taken) == maxRumors || size > maxRumorBytes {
			deferred = append(deferred, k)
			continue
		}
		a := admit(r, size)
		if a == sendLater {
			deferred = append(deferred, k)
			continue
		}
		q.drop(k)
		if a == discard {
			continue
		}
		outgoing := r.Rumor
		if !r.persistent {
			outgoing.TTLMillis = remaining(r.expires.Sub(m.now))
		}
		size += outgoing.Size()
		taken = append(taken, outgoing)
		m.stats.RumorsSent++
	}
	q.order = deferred
	return taken
}

// admission is the decision whether a queued rumor may be sent.
type admission int

const (
	sendNow admission = iota
	sendLater
	discard
)

// admitWithinBudget discards ephemeral rumors above the byte budget. Their next
// version is expected soon.
func (m *Machine) admitWithinBudget(r *rumor, size int) admission {
	if !r.persistent && m.gossipTokens < float64(size) {
		m.stats.RumorsShed++
		return discard
	}
	return sendNow
}

// admitPaced defers repairs above the record budget, so that a new member does not
// receive the whole table at once. It never discards them, since that would only
// start another comparison.
func (m *Machine) admitPaced(r *rumor, _ int) admission {
	if m.recordTokens <= 0 {
		return sendLater
	}
	m.recordTokens -= float64(r.Size())
	return sendNow
}

// remaining converts the time to expiry to a TTL of at least one millisecond, since
// zero means persistent.
func remaining(d time.Duration) uint32 {
	return uint32(max(1, min(d.Milliseconds(), math.MaxUint32)))
}

// refill adds to both token buckets for the time since the previous call. Each holds
// at most one second of its rate.
func (m *Machine) refill() {
	rate := float64(m.cfg.BytesPerSecond)
	m.gossipTokens = min(rate, m.gossipTokens+rate*m.now.Sub(m.lastRefill).Seconds())
	recordRate := recordRateFactor * rate
	m.recordTokens = min(recordRate, m.recordTokens+recordRate*m.now.Sub(m.lastRefill).Seconds())
	m.lastRefill = m.now
}

// charge takes bytes from the budget. The debt is limited to two seconds of the
// rate, so that a burst of messages that are never dropped does not block ephemeral
// rumors for long.
func (m *Machine) charge(bytes int) {
	m.gossipTokens = max(m.gossipTokens-float64(bytes), -2*float64(m.cfg.BytesPerSecond))
}

// handleHeartbeat handles a heartbeat from a peer.
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
