package membership

import (
	"maps"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// peerMonitor tracks the liveness of one mesh neighbor.
type peerMonitor struct {
	lastHeard time.Time // time of the last message or connection
	nonce     uint64    // of the running probe; zero if there is none
	deadline  time.Time // of the running probe
}

// relayedPing is a ping that this member sent on behalf of another.
type relayedPing struct {
	to       coordination.Instance
	nonce    uint64
	deadline time.Time
}

// maxRelayedPings limits the outstanding pings on behalf of other members.
const maxRelayedPings = 256

// recordContact records that id has just shown that it is alive.
func (m *Machine) recordContact(id coordination.Instance) {
	if mon := m.monitors[id]; mon != nil {
		*mon = peerMonitor{lastHeard: m.now}
	}
	// Tell a suspect that is reachable of the suspicion, so that it can refute.
	if e := m.table[id]; e != nil && e.State == Suspect {
		m.queueForPeer(id, id)
	}
}

// probe probes silent neighbors, directly and through other members, and suspects
// those whose probe timed out.
func (m *Machine) probe() {
	m.updateMonitors()
	for _, id := range slices.Sorted(maps.Keys(m.monitors)) {
		mon := m.monitors[id]
		e := m.table[id]
		if e.State == Suspect {
			m.startProbe(id, mon)
			continue
		}
		switch {
		case mon.nonce == 0 && m.now.Sub(mon.lastHeard) >= m.cfg.ProbeAfter:
			m.startProbe(id, mon)
		case mon.nonce != 0 && !m.now.Before(mon.deadline):
			m.stats.Suspicions++
			m.suspect("", e)
		}
	}
	for nonce, r := range m.relayedPings {
		if !m.now.Before(r.deadline) {
			delete(m.relayedPings, nonce)
		}
	}
}

// updateMonitors monitors exactly the live mesh neighbors.
func (m *Machine) updateMonitors() {
	for id := range m.monitors {
		_, ok := m.meshNeighbors[id]
		if e := m.table[id]; !ok || e == nil || !e.Live() {
			delete(m.monitors, id)
		}
	}
	for id := range m.meshNeighbors {
		if e := m.table[id]; e != nil && e.Live() && m.monitors[id] == nil {
			m.monitors[id] = &peerMonitor{lastHeard: m.now}
		}
	}
}

// startProbe pings id and asks other members to ping it too, unless a probe of id
// is still running.
func (m *Machine) startProbe(id coordination.Instance, mon *peerMonitor) {
	if mon.nonce != 0 && m.now.Before(mon.deadline) {
		return
	}
	m.nonce++
	mon.nonce = m.nonce
	mon.deadline = m.now.Add(m.cfg.ProbeTimeout)
	m.send(id, Message{Probe: &Probe{Kind: Ping, Nonce: mon.nonce}})
	for _, h := range m.pickIndirectProbers(id) {
		m.send(h, Message{Probe: &Probe{Kind: PingRequest, Nonce: mon.nonce, Target: id}})
	}
}

// pickIndirectProbers picks random connected members to probe id indirectly.
// Their network paths to id probably differ from this member's path and from each
// other's.
func (m *Machine) pickIndirectProbers(id coordination.Instance) []coordination.Instance {
	var peers []coordination.Instance
	for _, peer := range slices.Sorted(maps.Keys(m.links)) {
		e := m.table[peer]
		if peer != id && e != nil && e.State == Alive {
			peers = append(peers, peer)
		}
	}
	m.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxAlternativePeers, len(peers))]
}

// handleProbe handles a probe message from a peer.
func (m *Machine) handleProbe(from coordination.Instance, p Probe) {
	switch p.Kind {
	case Ping:
		m.send(from, Message{Probe: &Probe{Kind: Ack, Nonce: p.Nonce}})
	case PingRequest:
		m.relayPing(from, p)
	case Ack:
		m.handleAck(p)
	}
}

// relayPing pings the target of p on behalf of from.
func (m *Machine) relayPing(from coordination.Instance, p Probe) {
	if m.table[p.Target] == nil || len(m.relayedPings) >= maxRelayedPings {
		return
	}
	m.nonce++
	m.relayedPings[m.nonce] = relayedPing{to: from, nonce: p.Nonce, deadline: m.now.Add(m.cfg.ProbeTimeout)}
	m.send(p.Target, Message{Probe: &Probe{Kind: Ping, Nonce: m.nonce}})
}

// handleAck relays an Ack to the member that asked for the ping, or ends the probe
// that it answers.
func (m *Machine) handleAck(p Probe) {
	if r, ok := m.relayedPings[p.Nonce]; ok {
		delete(m.relayedPings, p.Nonce)
		m.send(r.to, Message{Probe: &Probe{Kind: Ack, Nonce: r.nonce}})
		return
	}
	for _, mon := range m.monitors {
		if mon.nonce == p.Nonce && mon.nonce != 0 {
			*mon = peerMonitor{lastHeard: m.now}
		}
	}
}
