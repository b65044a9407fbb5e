package mirror

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TopicRetained is the topic of calls for what other routers knew before a restore of the
// store.
const TopicRetained = "mirror-retained"

// retainedTTL is how long a mirror keeps what it knew before a restore. Writers have long
// written again by then.
const retainedTTL = time.Minute

// retain keeps an item from before a restore, unless one is kept from before an earlier
// restore and was not written since. The caller holds m.mu.
func (m *Mirror) retain(item Item) {
	if _, ok := m.retained[item.Key]; !ok {
		m.retained[item.Key] = item
	}
}

// forgetRetained forgets what was kept for longer than retainedTTL. The caller holds m.mu.
func (m *Mirror) forgetRetained(now time.Time) {
	if now.Sub(m.retainedAt) > retainedTTL {
		clear(m.retained)
	}
}

// Retained returns what was known, before the latest restore of the store, of keys that have
// not been written since, sorted by key.
func (m *Mirror) Retained() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetRetained(time.Now())
	items := slices.Collect(maps.Values(m.retained))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// ApplyRetained takes over what another router knew before a restore of the store that this
// one has not seen: the items that it retains, and the revision of its mirror. The observers
// are called with the items, and then with what the store has now, as if the mirror had been
// there.
func (m *Mirror) ApplyRetained(u Update) {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	before, now := m.mergeRetained(u)
	if len(before) == 0 {
		return
	}
	asOf := m.AsOf()
	for _, changes := range []Changes{
		{Items: before, From: u.From, Before: asOf, AsOf: asOf},
		{Items: now, From: u.From, Before: asOf, AsOf: asOf, Restored: true},
	} {
		for _, fn := range m.observers {
			fn(changes)
		}
	}
}

// mergeRetained keeps the items that were not written since, and returns them with what the
// mirror has in their place.
func (m *Mirror) mergeRetained(u Update) (before, now []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetRetained(time.Now())
	for _, item := range u.Items {
		current, ok := m.items[item.Key]
		if _, retained := m.retained[item.Key]; retained || current.Revision > u.AsOf {
			continue
		}
		m.retained[item.Key], m.retainedAt = item, time.Now()
		if !ok {
			current = Item{Key: item.Key, Revision: m.asOf, Deleted: true}
		}
		before, now = append(before, item), append(now, current)
	}
	return before, now
}

// HandleRetained answers a call of another router on [TopicRetained]. The error is
// [ErrMalformed] if the request cannot be decoded or is about another prefix.
func (f *Feed) HandleRetained(payload []byte) ([]byte, error) {
	var req Request
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, ErrMalformed.Wrap(err, "ask")
	}
	if req.Prefix != f.cfg.Prefix {
		return nil, ErrMalformed.New("no mirror of %q", req.Prefix)
	}
	u := Update{Items: f.cfg.Mirror.Retained()}
	if f.cfg.Marks != nil {
		u.Marks = f.cfg.Marks()
	}
	select {
	case <-f.started:
		u.AsOf = f.cfg.Mirror.AsOf()
	default: // this router has just started as well
	}
	return encode(encodeUpdate(u)), nil
}
