package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"wisteriaspool/coordination"
)

// rumorKey identifies a rumor regardless of its version.
type rumorKey struct {
	topic string
	key   string
}

// disseminateFunc queues a rumor for peers other than from, which sent it.
type disseminateFunc func(from coordination.Instance, k rumorKey)

// rumor is a stored Rumor.
type rumor struct {
	Rumor
	hash       uint32 // of topic and key
	persistent bool
	arrived    time.Time
	expires    time.Time // zero if persistent
}

func (r *rumor) live(now time.Time) bool {
	return r.persistent || now.Before(r.expires)
}

// Broadcast disseminates a rumor of this member. It reports whether the rumor was
// accepted. It is rejected if the topic or key is not valid UTF-8, if it exceeds a
// size limit such as MaxPayload, if the store is full, or if its version is not
// newer than the stored one.
func (m *Machine) Broadcast(now time.Time, topic, key string, version uint64, payload []byte) bool {
	m.advance(now)
	if !utf8.ValidString(topic) || !utf8.ValidString(key) {
		return false // receivers could not decode it and would close the connection
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

// ttlMillis returns the lifetime of a new rumor of topic in milliseconds, and zero
// for a persistent topic.
func (m *Machine) ttlMillis(topic string) uint32 {
	t := m.cfg.Topics[topic]
	if t.Persistent {
		return 0
	}
	setDefaultDuration(&t.TTL, DefaultTTL)
	return uint32(min(t.TTL.Milliseconds(), math.MaxUint32))
}

// DrainNewRumors returns the rumors received from peers since the previous call. If
// several versions of a rumor arrived, each entry for it is the newest one.
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

// Rumors returns the unexpired rumors of a topic, sorted by key.
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

// receiveRumor handles a rumor from a peer and passes it on with disseminate.
func (m *Machine) receiveRumor(from coordination.Instance, r Rumor, disseminate disseminateFunc) {
	k := rumorKey{r.Topic, r.Key}
	old := m.rumors[k]
	if old != nil && old.Version == r.Version && old.Origin == r.Origin {
		m.markRumorKnown(from, k)
		return
	}
	m.storeRumor(from, disseminate, r)
}

// storeRumor stores r and passes it on with disseminate if it is valid and newer
// than the stored version. It reports whether it did.
func (m *Machine) storeRumor(from coordination.Instance, disseminate disseminateFunc, r Rumor) bool {
	k := rumorKey{r.Topic, r.Key}
	old := m.rumors[k]
	if old != nil && !newer(r, old.Rumor) {
		return false
	}
	isPersistent := m.cfg.Topics[r.Topic].Persistent
	if !r.valid() || !isPersistent && r.TTLMillis == 0 || old == nil && m.full(isPersistent) {
		m.stats.RumorsRefused++
		return false
	}
	stored := &rumor{Rumor: r, hash: uint32(hash(k.topic + "\x00" + k.key)), persistent: isPersistent, arrived: m.now}
	if !isPersistent {
		// The local configuration limits the lifetime that a peer claims.
		life := min(r.TTLMillis, m.ttlMillis(r.Topic))
		stored.expires = m.now.Add(time.Duration(life) * time.Millisecond)
	}
	m.rumors[k] = stored
	m.byHash[stored.hash] = k
	if isPersistent {
		m.views[PersistentTable].valid = false
	}
	if from != "" {
		m.newRumors = append(m.newRumors, k)
	}
	disseminate(from, k)
	return true
}

// valid reports whether r is within the size limits.
func (r *Rumor) valid() bool {
	return len(r.Payload) <= MaxPayload && len(r.Topic) <= maxName && len(r.Key) <= maxName && len(r.Origin) <= maxName
}

// full reports whether no new key can be stored. Persistent rumors may use
// capacity that ephemeral ones cannot.
func (m *Machine) full(persistent bool) bool {
	if persistent {
		return len(m.rumors) >= m.cfg.MaxRumors+m.cfg.MaxPersistentRumors
	}
	return len(m.rumors) >= m.cfg.MaxRumors
}

// newer reports whether a supersedes b. The origin breaks ties between equal
// versions, so that all members converge on the same rumor.
func newer(a, b Rumor) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Origin > b.Origin
}

// sweepRumors drops the payload of expired rumors and removes them once their
// version need not be remembered any longer.
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
