package membership

import (
	"maps"
	"slices"
	"time"

	"wisteriaspool/coordination"
)

// watch follows the signs of life of one mesh neighbour.
type watch struct {
	heard    time.Time // of the last sign of life
	nonce    uint64    // of the running probe; zero if there is none
	deadline time.Time // of the running probe
}

// relay remembers for whom this member pings another.
type relay struct {
	to       coordination.Instance
	nonce    uint64
	deadline time.Time
}

// maxRelays bounds the pings under way for others.
const maxRelays = 256

// heard notes a sign of life of id.
func (m *Machine) heard(id coordination.Instance) {
	if w := m.watched[id]; w != nil {
		*w = watch{heard: m.now}
	}
	// A suspect that speaks learns what is said of it, so that it can refute.
	if e := m.table[id]; e != nil && e.State == Suspect {
		m.tell(id, id)
	}
}

// probe asks silent neighbours, directly and by way of others, and suspects
// those who stay silent.
func (m *Machine) probe() {
	m.watchWanted()
	for _, id := range slices.Sorted(maps.Keys(m.watched)) {
		w := m.watched[id]
		e := m.table[id]
		if e.State == Suspect {
			m.startProbe(id, w)
			continue
		}
		switch {
		case w.nonce == 0 && m.now.Sub(w.heard) >= m.cfg.ProbeAfter:
			m.startProbe(id, w)
		case w.nonce != 0 && !m.now.Before(w.deadline):
			m.stats.Suspicions++
			m.suspect("", e)
		}
	}
	for nonce, r := range m.relays {
		if !m.now.Before(r.deadline) {
			delete(m.relays, nonce)
		}
	}
}

// watchWanted makes the watched members those of the mesh.
func (m *Machine) watchWanted() {
	for id := range m.watched {
		_, ok := m.wanted[id]
		if e := m.table[id]; !ok || e == nil || !e.Live() {
			delete(m.watched, id)
		}
	}
	for id := range m.wanted {
		if e := m.table[id]; e != nil && e.Live() && m.watched[id] == nil {
			m.watched[id] = &watch{heard: m.now}
		}
	}
}

// startProbe pings id and asks helpers to do so. While a probe runs, or a
// suspect has just been asked, it does nothing.
func (m *Machine) startProbe(id coordination.Instance, w *watch) {
	if w.nonce != 0 && m.now.Before(w.deadline) {
		return
	}
	m.nonce++
	w.nonce = m.nonce
	w.deadline = m.now.Add(m.cfg.ProbeTimeout)
	m.send(id, Message{Probe: &Probe{Kind: Ping, Nonce: w.nonce}})
	for _, h := range m.helpersFor(id) {
		m.send(h, Message{Probe: &Probe{Kind: PingFor, Nonce: w.nonce, Target: id}})
	}
}

// helpersFor picks connected members to ask about id. Their ways to id are
// likely to differ from ours and from each other's.
func (m *Machine) helpersFor(id coordination.Instance) []coordination.Instance {
	var peers []coordination.Instance
	for _, peer := range slices.Sorted(maps.Keys(m.links)) {
		e := m.table[peer]
		if peer != id && e != nil && e.State == Alive {
			peers = append(peers, peer)
		}
	}
	m.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(helpers, len(peers))]
}

// answer handles a probe.
func (m *Machine) answer(from coordination.Instance, p Probe) {
	switch p.Kind {
	case Ping:
		m.send(from, Message{Probe: &Probe{Kind: Ack, Nonce: p.Nonce}})
	case PingFor:
		m.relay(from, p)
	case Ack:
		m.acked(p)
	}
}

func (m *Machine) relay(from coordination.Instance, p Probe) {
	if m.table[p.Target] == nil || len(m.relays) >= maxRelays {
		return
	}
	m.nonce++
	m.relays[m.nonce] = relay{to: from, nonce: p.Nonce, deadline: m.now.Add(m.cfg.ProbeTimeout)}
	m.send(p.Target, Message{Probe: &Probe{Kind: Ping, Nonce: m.nonce}})
}

func (m *Machine) acked(p Probe) {
	if r, ok := m.relays[p.Nonce]; ok {
		delete(m.relays, p.Nonce)
		m.send(r.to, Message{Probe: &Probe{Kind: Ack, Nonce: r.nonce}})
		return
	}
	for _, w := range m.watched {
		if w.nonce == p.Nonce && w.nonce != 0 {
			*w = watch{heard: m.now}
		}
	}
}
