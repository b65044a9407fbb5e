package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
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
	select {
	case <-f.started:
		u.AsOf = f.cfg.Mirror.AsOf()
	default: // this router has just started as well
	}
	return encode(encodeUpdate(u)), nil
}

const (
	// startLimit is how long a router that starts, once it has read the store, asks others
	// for what they retain.
	startLimit = 500 * time.Millisecond
	// startSettle is how long it does so if all that answer have just started as well.
	startSettle = 300 * time.Millisecond
	// startTimeout limits one call.
	startTimeout = 200 * time.Millisecond
	// startPause is the time between two looks at the list of routers.
	startPause = 10 * time.Millisecond
)

// starter asks another router for what it knew before a restore of the store: the store, from
// which a router that starts reads, may have lost it.
type starter struct {
	feed     *Feed
	answered map[coordination.Instance]bool // have just started as well
	hinted   map[coordination.Instance]bool // were in an earlier era, and have been told
}

func newStarter(f *Feed) *starter {
	return &starter{feed: f, answered: make(map[coordination.Instance]bool), hinted: make(map[coordination.Instance]bool)}
}

func (s *starter) run(ctx context.Context) {
	defer close(s.feed.started)
	if s.feed.cfg.Alone {
		return
	}
	s.feed.cfg.Mirror.Wait(ctx, 0, nil)
	for began := time.Now(); time.Since(began) < startLimit; {
		others := lo.Reject(s.feed.cfg.Routers(), func(r placement.Router, _ int) bool {
			return r.ID == s.feed.cfg.Self || s.answered[r.ID]
		})
		if len(others) > 0 && s.ask(ctx, others[rand.IntN(len(others))].ID) {
			return
		}
		settled := len(others) == 0 && len(s.answered) > 0 && time.Since(began) >= startSettle
		if settled || !coordination.Sleep(ctx, startPause) {
			return
		}
	}
}

// ask asks one router and reports whether it has run for longer.
func (s *starter) ask(ctx context.Context, id coordination.Instance) bool {
	cfg := s.feed.cfg
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, err := cfg.Transport.Call(callCtx, id, TopicRetained, encode(Request{Prefix: cfg.Prefix}))
	if err != nil {
		return false
	}
	u, err := decodeReply(b, 0)
	if err != nil || u.AsOf.Number() == 0 {
		s.answered[id] = true
		return false
	}
	if asOf := cfg.Mirror.AsOf(); u.AsOf.Era() < asOf.Era() {
		// It has not noticed the restore yet.
		if !s.hinted[id] {
			s.hinted[id] = true
			s.feed.hints.send(ctx, id, Hint{AsOf: asOf})
		}
		return false
	}
	u.From = id
	cfg.Mirror.ApplyRetained(u)
	return true
}
