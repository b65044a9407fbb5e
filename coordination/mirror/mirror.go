// Package mirror keeps a router's copy of the keys under one prefix of the
// platform's store. Updates come from the store and from other routers that
// keep the same copy, in any order. The highest revision of each key wins, so
// that a value never reverts to an older one.
//
// If the store is restored from a copy, its era rises, and the mirror takes over
// its contents as a whole. These may be older than what the mirror had, until the
// writers have written again what was lost. Observers are told so, and keep what
// they know to be later.
package mirror

import (
	"bytes"
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Item is the last known state of one key.
type Item struct {
	Key      string      `cbor:"1,keyasint"`
	Value    []byte      `cbor:"2,keyasint,omitempty"`
	Revision kv.Revision `cbor:"3,keyasint"` // of the last write or of the deletion
	Deleted  bool        `cbor:"4,keyasint,omitempty"`
}

// Update is a set of changes under a prefix, as reported by a source.
type Update struct {
	// Full means that Items are all keys that exist. Otherwise they are the
	// keys that have changed since the revision asked for.
	Full  bool        `cbor:"1,keyasint,omitempty"`
	Items []Item      `cbor:"2,keyasint,omitempty"`
	AsOf  kv.Revision `cbor:"3,keyasint"` // includes all changes up to this revision
	// AgeMs is how many milliseconds ago the store itself confirmed AsOf.
	AgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// Era is set while the update is in a message.
	Era messageEra `cbor:"5,keyasint,omitempty"`
	// Marks is set in answers to calls on [TopicRetained]: see FeedConfig.
	Marks []string `cbor:"6,keyasint,omitempty"`
	// BehindMs is how many milliseconds ago the first router learned from the
	// store of the oldest of the items. It is zero if the update comes from the
	// store or is Full.
	BehindMs uint32 `cbor:"-"`
	// From is the router that sent the update; empty for the store.
	From coordination.Instance `cbor:"-"`
	// Lost means that the source currently does not reach the store itself.
	Lost bool `cbor:"-"`
}

// Changes is the effect of an update, as passed to the observers of a mirror.
type Changes struct {
	Items []Item
	// From is the router that sent the update; empty for the store.
	From coordination.Instance
	// Behind is how long ago the first router learned from the store of the
	// oldest of the items, as far as that is known.
	Behind time.Duration
	// Restored reports that the store has been restored from a copy since the last
	// update. Items then are all keys whose value or existence differs, and may be
	// older than what was known.
	Restored bool
	// AsOf and Before are the revisions of the mirror after and before the update.
	AsOf, Before kv.Revision
	// Unconfirmed is how long before the update the store last confirmed the
	// contents of the mirror to any router, as far as this one knows.
	Unconfirmed time.Duration
}

// tombstoneTTL is how long a deleted key is remembered. It exceeds the longest
// time for which a peer may be behind and still get changes alone: its fetch
// waits for a few seconds, and its process may be paused for longer.
const tombstoneTTL = time.Minute

// Mirror is a copy of the keys under one prefix. It is safe for concurrent use.
type Mirror struct {
	mu          sync.Mutex
	items       map[string]Item
	deletedAt   map[string]time.Time // when each tombstone was received
	learnedAt   map[string]time.Time // when the first router learned from the store of the last change of each key
	asOf        kv.Revision
	changedAt   time.Time       // when asOf last advanced
	confirmedAt time.Time       // when the store last confirmed asOf to this router or to another one
	prunedUpTo  kv.Revision     // tombstones up to this revision may have been deleted
	retained    map[string]Item // what was known of keys before a restore, unless they were written since
	retainedAt  time.Time       // of the latest restore
	changed     chan struct{}
	notifying   sync.Mutex // held while an update is applied and the observers are called
	observers   []func(Changes)
	ignored     string // the prefix of keys that are left out; empty for none
	onRecovery  []func()
}

// New returns an empty mirror, whose contents are unknown until its first
// update.
func New() *Mirror {
	return &Mirror{
		items:     make(map[string]Item),
		deletedAt: make(map[string]time.Time),
		learnedAt: make(map[string]time.Time),
		retained:  make(map[string]Item),
		changed:   make(chan struct{}),
	}
}

// Observe registers fn to be called with the changes of each update. It must be
// called before the first update.
func (m *Mirror) Observe(fn func(Changes)) { m.observers = append(m.observers, fn) }

// Ignore leaves the keys under a prefix out of the mirror. It must be called before the first
// update.
func (m *Mirror) Ignore(prefix string) { m.ignored = prefix }

// OnStoreRecovery registers fn to be called when the store replies again after
// no router that this one exchanges updates with could reach it. It must be
// called before the first update. fn runs before the observers of the update
// that shows the recovery.
func (m *Mirror) OnStoreRecovery(fn func()) { m.onRecovery = append(m.onRecovery, fn) }

// OutageThreshold is the time without a confirmation by the store to any router
// after which the store is considered down. A watch confirms when it ends,
// after at most 2.1 s, and the confirmation takes up to two waits of a second
// to spread. An outage in which the leases of entries expire is longer.
const OutageThreshold = 4200 * time.Millisecond

// AsOf returns the revision up to which the mirror is complete, or zero before
// the first update.
func (m *Mirror) AsOf() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// observed is AsOf, and returns once the observers have seen all changes up to it.
func (m *Mirror) observed() kv.Revision {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	return m.AsOf()
}

// Age returns how long ago the store confirmed the contents of the mirror, to
// this router or to one that passed it on.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmedAt)
}

// sinceChange returns the time since AsOf last advanced.
func (m *Mirror) sinceChange() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.changedAt)
}

// Find returns the item of a key and whether the key exists.
func (m *Mirror) Find(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok && !item.Deleted
}

// Apply applies an update and calls the observers with the changes. Items that
// are older than those in the mirror are ignored, and so is an update of an
// earlier era of the store.
func (m *Mirror) Apply(u Update) {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	if m.ignored != "" {
		u.Items = lo.Reject(u.Items, func(item Item, _ int) bool { return strings.HasPrefix(item.Key, m.ignored) })
	}
	changes, recovered := m.merge(time.Now(), u)
	if recovered {
		for _, fn := range m.onRecovery {
			fn()
		}
	}
	if len(changes.Items) == 0 && !changes.Restored {
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
	changes.Before, changes.AsOf = m.asOf, max(m.asOf, u.AsOf)
	later := m.asOf > 0 && u.AsOf.Era() > m.asOf.Era()
	switch {
	case u.AsOf.Era() < m.asOf.Era(), later && !u.Full:
		return changes, false
	case later:
		changes.Restored = true
		changes.Items = m.replaceAll(now, u)
	default:
		changes.Items = m.mergeItems(now, learnedAt, u)
	}
	m.pruneTombstones(now)
	advanced := u.AsOf > m.asOf
	if advanced {
		m.changedAt = now
	}
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

// mergeItems applies the items of an update and returns those that have changed.
func (m *Mirror) mergeItems(now, learnedAt time.Time, u Update) (changed []Item) {
	for _, item := range u.Items {
		if m.put(now, item) {
			m.learnedAt[item.Key] = learnedAt
			changed = append(changed, item)
		}
	}
	if u.Full {
		changed = append(changed, m.deleteUnlisted(now, u)...)
	}
	for _, item := range changed {
		delete(m.retained, item.Key)
	}
	return changed
}

// replaceAll replaces the contents by those of a full update of a later era and returns the
// items whose value or existence differs. Keys that are gone get a tombstone.
func (m *Mirror) replaceAll(now time.Time, u Update) (changed []Item) {
	old := m.items
	m.forgetRetained(now)
	m.retainedAt = now
	m.items = make(map[string]Item, len(u.Items))
	m.deletedAt = make(map[string]time.Time)
	m.learnedAt = make(map[string]time.Time, len(u.Items))
	for _, item := range u.Items {
		m.items[item.Key], m.learnedAt[item.Key] = item, now
		known, ok := old[item.Key]
		if ok && !known.Deleted && bytes.Equal(known.Value, item.Value) {
			continue
		}
		changed = append(changed, item)
		if ok {
			m.retain(known)
		}
	}
	for key, known := range old {
		if _, ok := m.items[key]; ok || known.Deleted {
			continue
		}
		tombstone := Item{Key: key, Revision: u.AsOf, Deleted: true}
		m.put(now, tombstone)
		m.learnedAt[key] = now
		m.retain(known)
		changed = append(changed, tombstone)
	}
	return changed
}

// put stores an item if it is newer than the known state of its key.
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

// deleteUnlisted deletes the keys that a full update does not list, except
// those that are newer than the update.
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

// pruneTombstones deletes the tombstones that are older than tombstoneTTL.
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

// Since returns the changes after a revision, or a full update if after is zero
// or of an earlier era, or if some of the tombstones since then have been deleted.
func (m *Mirror) Since(after kv.Revision) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Full: after == 0 || after < m.prunedUpTo || after.Era() < m.asOf.Era(), AsOf: m.asOf, AgeMs: elapsedMs(m.confirmedAt)}
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

// maxAgeMs also stands for any longer age. It is about 50 days.
const maxAgeMs = math.MaxUint32

// elapsedMs returns the time since t in milliseconds, at most maxAgeMs, for use
// in a message.
func elapsedMs(t time.Time) uint32 {
	return uint32(min(time.Since(t).Milliseconds(), maxAgeMs))
}

// Wait returns when the mirror is complete beyond a revision, giveUp returns
// true, or ctx ends. giveUp may be nil. It is called again when the mirror
// changes and after [Mirror.Wake].
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

// Wake makes all callers of Wait call giveUp again.
func (m *Mirror) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake()
}

// wake is Wake for callers that hold m.mu.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}
