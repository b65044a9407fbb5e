// Package mirror keeps a router's copy of the keys under one prefix of the
// platform's store. The copy is fed by the store itself and by other routers
// that keep the same copy, in any order: of each key the highest revision
// counts, so that nothing ever reverts.
package mirror

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Item is what is known of one key.
type Item struct {
	Key      string      `cbor:"1,keyasint"`
	Value    []byte      `cbor:"2,keyasint,omitempty"`
	Revision kv.Revision `cbor:"3,keyasint"` // of the last write, or of the deletion
	Deleted  bool        `cbor:"4,keyasint,omitempty"`
}

// Update is what a source tells of a prefix.
type Update struct {
	// Full says that Items are all keys that exist. Otherwise they are those
	// that have changed since the revision that was asked for.
	Full  bool        `cbor:"1,keyasint,omitempty"`
	Items []Item      `cbor:"2,keyasint,omitempty"`
	AsOf  kv.Revision `cbor:"3,keyasint"` // all changes up to here are in
	// AgeMs is how long ago the store itself said so.
	AgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// BehindMs is how long ago the store told the first router of the oldest of
	// the items; zero if it is the store that tells, or if Full.
	BehindMs uint32 `cbor:"-"`
	// From is the router that told; empty for the store.
	From coordination.Instance `cbor:"-"`
	// Lost says that the source does not reach the store itself at the moment.
	Lost bool `cbor:"-"`
}

// Changes is what an update has changed, for those who observe a mirror.
type Changes struct {
	Items []Item
	// From is the router that told of it; empty for the store.
	From coordination.Instance
	// Behind is how long ago the store told the first router of the oldest of
	// the items, as far as that is known.
	Behind time.Duration
	// Unconfirmed is how long before the update the store had last confirmed
	// to any router, as far as this one knows, what the mirror held.
	Unconfirmed time.Duration
}

// tombstoneTTL is how long a deleted key is remembered. It covers the longest
// time for which a peer may be behind and still be told changes alone: its
// fetch waits for a few seconds, and a pause of its process lasts longer.
const tombstoneTTL = time.Minute

// Mirror is the copy of one prefix. It is safe for concurrent use.
type Mirror struct {
	mu          sync.Mutex
	items       map[string]Item
	deletedAt   map[string]time.Time // when each tombstone was learned
	learnedAt   map[string]time.Time // when the store told the first router of each key's last change
	asOf        kv.Revision
	confirmedAt time.Time   // when the store said so, itself or through others
	prunedUpTo  kv.Revision // tombstones up to here may be forgotten
	changed     chan struct{}
	notifying   sync.Mutex
	observers   []func(Changes)
	onRecovery  []func()
}

// New returns an empty mirror, which knows nothing before its first update.
func New() *Mirror {
	return &Mirror{
		items:     make(map[string]Item),
		deletedAt: make(map[string]time.Time),
		learnedAt: make(map[string]time.Time),
		changed:   make(chan struct{}),
	}
}

// Observe has fn called with what each update has changed. It has to be set
// before the first update.
func (m *Mirror) Observe(fn func(Changes)) { m.observers = append(m.observers, fn) }

// OnStoreRecovery has fn called when the store answers again after it has been away
// for everybody that this router hears from. It has to be set before the first
// update, and is called before the observers of that update.
func (m *Mirror) OnStoreRecovery(fn func()) { m.onRecovery = append(m.onRecovery, fn) }

// OutageThreshold is the time without a confirmation of the store, by any router,
// from which on it is taken to be away. A watch confirms when it ends, after
// 2.1 s at most, and the word takes up to two waits of a second; an outage in
// which the leases of entries run out is longer.
const OutageThreshold = 4200 * time.Millisecond

// AsOf returns the revision up to which the mirror is complete; zero before
// the first update.
func (m *Mirror) AsOf() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// Age returns how long ago the store confirmed what the mirror holds, to this
// router or to one that told it.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmedAt)
}

// Find returns the item of a key that exists.
func (m *Mirror) Find(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok && !item.Deleted
}

// Apply applies an update and tells the observers what has changed. An update
// that is behind what is known changes nothing.
func (m *Mirror) Apply(u Update) {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	changes, recovered := m.merge(time.Now(), u)
	if recovered {
		for _, fn := range m.onRecovery {
			fn()
		}
	}
	if len(changes.Items) == 0 {
		return
	}
	for _, fn := range m.observers {
		fn(changes)
	}
}

func (m *Mirror) merge(now time.Time, u Update) (changes Changes, recovered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes = Changes{From: u.From, Behind: time.Duration(u.BehindMs) * time.Millisecond}
	if !m.confirmedAt.IsZero() {
		changes.Unconfirmed = now.Sub(m.confirmedAt)
	}
	learnedAt := now.Add(-changes.Behind)
	for _, item := range u.Items {
		if m.put(now, item) {
			m.learnedAt[item.Key] = learnedAt
			changes.Items = append(changes.Items, item)
		}
	}
	if u.Full {
		changes.Items = append(changes.Items, m.deleteUnlisted(now, u)...)
	}
	m.pruneTombstones(now)
	advanced := u.AsOf > m.asOf
	m.asOf = max(m.asOf, u.AsOf)
	if at := now.Add(-time.Duration(u.AgeMs) * time.Millisecond); u.AsOf >= m.asOf && at.After(m.confirmedAt) {
		recovered = !m.confirmedAt.IsZero() && at.Sub(m.confirmedAt) > OutageThreshold
		m.confirmedAt = at
	}
	if advanced || len(changes.Items) > 0 {
		m.wake()
	}
	return changes, recovered
}

// put takes an item if it is newer than what is known of its key.
func (m *Mirror) put(now time.Time, item Item) bool {
	if old, ok := m.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	m.items[item.Key] = item
	delete(m.deletedAt, item.Key)
	if item.Deleted {
		m.deletedAt[item.Key] = now
	}
	return true
}

// deleteUnlisted deletes the keys that a full update does not name, unless they are
// newer than the update.
func (m *Mirror) deleteUnlisted(now time.Time, u Update) []Item {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	var removed []Item
	for key, item := range m.items {
		if item.Deleted || listed[key] || item.Revision > u.AsOf {
			continue
		}
		tombstone := Item{Key: key, Revision: u.AsOf, Deleted: true}
		m.put(now, tombstone)
		m.learnedAt[key] = now
		removed = append(removed, tombstone)
	}
	return removed
}

// pruneTombstones forgets old tombstones.
func (m *Mirror) pruneTombstones(now time.Time) {
	for key, at := range m.deletedAt {
		if now.Sub(at) > tombstoneTTL {
			m.prunedUpTo = max(m.prunedUpTo, m.items[key].Revision)
			delete(m.items, key)
			delete(m.deletedAt, key)
			delete(m.learnedAt, key)
		}
	}
}

// Since returns what has changed after a revision, or everything if the mirror
// cannot tell.
func (m *Mirror) Since(after kv.Revision) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Full: after == 0 || after < m.prunedUpTo, AsOf: m.asOf, AgeMs: elapsedMs(m.confirmedAt)}
	for _, item := range m.items {
		if u.Full && !item.Deleted || !u.Full && item.Revision > after {
			u.Items = append(u.Items, item)
		}
		if !u.Full && item.Revision > after {
			u.BehindMs = max(u.BehindMs, elapsedMs(m.learnedAt[item.Key]))
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return u
}

// maxAgeMs stands for any longer age: some 50 days.
const maxAgeMs = math.MaxUint32

// elapsedMs returns the time since t in milliseconds, for the wire.
func elapsedMs(t time.Time) uint32 {
	return uint32(min(time.Since(t).Milliseconds(), maxAgeMs))
}

// Wait returns once the mirror is complete beyond a revision, giveUp reports
// true, or ctx ends. What giveUp reports is looked at again after [Mirror.Wake].
func (m *Mirror) Wait(ctx context.Context, after kv.Revision, giveUp func() bool) {
	for {
		m.mu.Lock()
		ahead, changed := m.asOf > after, m.changed
		m.mu.Unlock()
		if ahead || giveUp != nil && giveUp() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Wake has those who wait look again whether they should give up.
func (m *Mirror) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake()
}

// wake is Wake for a caller that holds m.mu.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}
