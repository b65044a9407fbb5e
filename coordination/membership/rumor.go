package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"wisteriaspool/coordination"
)

type rumorKey struct {
	topic string
	key   string
}

// disseminateFunc tells others of a rumour that from has told.
type disseminateFunc func(from coordination.Instance, k rumorKey)

// rumor is a rumour as it is held.
type rumor struct {
	Rumor
	hash       uint32 // of topic and key
	persistent bool
	arrived    time.Time
	expires    time.Time // unset if it is kept
}

func (r *rumor) live(now time.Time) bool {
	return r.persistent || now.Before(r.expires)
}

// Broadcast spreads a rumour of this member. It reports whether the rumour
// was taken: it is not if it is larger than MaxPayload or no newer than what
// is known.
func (m *Machine) Broadcast(now time.Time, topic, key string, version uint64, payload []byte) bool {
	m.advance(now)
	if !utf8.ValidString(topic) || !utf8.ValidString(key) {
		return false // nobody could decode it, and each receiver would hang up
	}
	return m.storeRumor("", m.pushRumor, Rumor{
		Topic:     topic,
		Key:       key,
		Version:   version,
		Origin:    m.self.Instance,
		Payload:   slices.Clone(payload),
		TTLMillis: m.ttlMillis(topic),
	})
}

// ttlMillis returns the life of a new rumour of topic in milliseconds.
func (m *Machine) ttlMillis(topic string) uint32 {
	t := m.cfg.Topics[topic]
	if t.Persistent {
		return 0
	}
	setDefaultDuration(&t.TTL, DefaultTTL)
	return uint32(min(t.TTL.Milliseconds(), math.MaxUint32))
}

// DrainNewRumors returns the rumours that have arrived since the last call. Of several
// versions that came in between, it returns the newest only.
func (m *Machine) DrainNewRumors() []Rumor {
	var fresh []Rumor
	for _, k := range m.newRumors {
		r := m.rumors[k]
		if r == nil {
			continue
		}
		fresh = append(fresh, r.Rumor)
	}
	m.newRumors = nil
	return fresh
}

// Rumors returns the live rumours of a topic in order of their keys.
func (m *Machine) Rumors(topic string) []Rumor {
	var live []Rumor
	for _, r := range m.rumors {
		if r.Topic == topic && r.live(m.now) {
			live = append(live, r.Rumor)
		}
	}
	slices.SortFunc(live, func(a, b Rumor) int { return cmp.Compare(a.Key, b.Key) })
	return live
}

// receiveRumor takes in a rumour that a peer told, and tells others by spread.
func (m *Machine) receiveRumor(from coordination.Instance, r Rumor, spread disseminateFunc) {
	k := rumorKey{r.Topic, r.Key}
	old := m.rumors[k]
	if old != nil && old.Version == r.Version && old.Origin == r.Origin {
		m.markRumorKnown(from, k)
		return
	}
	m.storeRumor(from, spread, r)
}

// storeRumor holds and spreads r if it is newer than what is known.
func (m *Machine) storeRumor(from coordination.Instance, spread disseminateFunc, r Rumor) bool {
	k := rumorKey{r.Topic, r.Key}
	old := m.rumors[k]
	if old != nil && !newer(r, old.Rumor) {
		return false
	}
	keep := m.cfg.Topics[r.Topic].Persistent
	if !r.valid() || !keep && r.TTLMillis == 0 || old == nil && m.full(keep) {
		m.stats.RumorsRefused++
		return false
	}
	held := &rumor{Rumor: r, hash: uint32(hash(k.topic + "\x00" + k.key)), persistent: keep, arrived: m.now}
	if !keep {
		// No topic's life is longer here than its own members give it.
		life := min(r.TTLMillis, m.ttlMillis(r.Topic))
		held.expires = m.now.Add(time.Duration(life) * time.Millisecond)
	}
	m.rumors[k] = held
	m.byHash[held.hash] = k
	if keep {
		m.views[PersistentTable].valid = false
	}
	if from != "" {
		m.newRumors = append(m.newRumors, k)
	}
	spread(from, k)
	return true
}

func (r *Rumor) valid() bool {
	return len(r.Payload) <= MaxPayload && len(r.Topic) <= maxName && len(r.Key) <= maxName && len(r.Origin) <= maxName
}

// full reports whether no new key can be taken. Soft rumours leave room for
// kept ones.
func (m *Machine) full(keep bool) bool {
	if keep {
		return len(m.rumors) >= m.cfg.MaxRumors+m.cfg.MaxPersistentRumors
	}
	return len(m.rumors) >= m.cfg.MaxRumors
}

// newer reports whether a goes before b. Equal versions are told apart by
// their origin, so that all members end with the same one.
func newer(a, b Rumor) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Origin > b.Origin
}

// sweepRumors drops what has expired.
func (m *Machine) sweepRumors() {
	for k, r := range m.rumors {
		if r.live(m.now) {
			continue
		}
		r.Payload = nil
		if m.now.Sub(r.expires) > tombstoneTTL {
			delete(m.rumors, k)
			delete(m.byHash, r.hash)
		}
	}
}
