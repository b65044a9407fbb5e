package hub

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is a copy of a store at one moment.
type Copy struct {
	revision, compacted int64
	items               map[string]Item
	history             []Item
	nextLease           int64
	leases              map[int64]lease
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{
		revision: s.revision, compacted: s.compacted, nextLease: s.nextLease,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: make(map[int64]lease),
	}
	for id, l := range s.leases {
		c.leases[id] = lease{ttl: l.ttl, ends: l.ends, keys: slices.Clone(l.keys)}
	}
	return c
}

// Lost is what a store has lost by a restore.
type Lost struct{ before, restored map[string]Item }

// Restore replaces the contents of the store by those of a copy and begins a new era. What
// was written since is lost, and its revisions and leases are given out again. Watches that
// wait are cut.
func (s *Store) Restore(c Copy) Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := Lost{before: s.items, restored: c.items}
	s.era++
	s.revision, s.compacted, s.nextLease = c.revision, c.compacted, c.nextLease
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = make(map[int64]*lease)
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, ends: l.ends, keys: slices.Clone(l.keys)}
		time.AfterFunc(time.Until(l.ends), leaseEnd{s, s.era, id}.run)
	}
	s.wakeWatchesLocked()
	return lost
}

// WriteAgain writes what was lost of the keys that start with prefix, and deletes those that
// had been deleted, unless they were written since the restore.
func (s *Store) WriteAgain(l Lost, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range l.before {
		if strings.HasPrefix(key, prefix) && s.items[key].Revision == l.restored[key].Revision && !bytes.Equal(s.items[key].Value, item.Value) {
			s.putLocked(key, item.Value, 0)
		}
	}
	for key, item := range l.restored {
		if _, ok := l.before[key]; !ok && strings.HasPrefix(key, prefix) && s.items[key].Revision == item.Revision {
			s.deleteLocked(key)
		}
	}
}

// Era returns how often the store has been restored, counted from 1.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Item returns the value of a key, and whether it exists.
func (s *Store) Item(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item.Value, ok
}

// Without returns a copy that lacks the keys that start with prefix, as if it had been made
// before they were written.
func (c Copy) Without(prefix string) Copy {
	c.items = maps.Clone(c.items)
	maps.DeleteFunc(c.items, func(key string, _ Item) bool { return strings.HasPrefix(key, prefix) })
	return c
}
