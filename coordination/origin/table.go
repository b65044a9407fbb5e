package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

const (
	shardCount = 16
	// maxShardRecords bounds the memory of a table: with all shards full it is about
	// 25 MB. The oldest records of a full shard are those of streams that have most
	// likely ended.
	maxShardRecords = 4096
)

// streamID identifies a stream.
type streamID struct {
	attempt coordination.Attempt
	pool    coordination.Pool
}

// entry is what a router knows of one stream.
type entry struct {
	version coordination.SoftwareVersion
	content Content
	expires time.Time
	own     bool // this router forwarded the first event
}

// table holds the streams that a router knows. The zero value is empty and ready to use.
type table struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[streamID]entry
	latest  map[coordination.Attempt]coordination.Pool // of the last record of each attempt
	order   []streamID                                 // of arrival
}

func (t *table) shardOf(id streamID) *shard {
	return &t.shards[xxhash.Sum64String(string(id.attempt))%shardCount]
}

// put stores what is known of a stream.
func (t *table) put(now time.Time, r Record, own bool) {
	id := streamID{r.Attempt, r.Pool}
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[streamID]entry)
		s.latest = make(map[coordination.Attempt]coordination.Pool)
	}
	old, ok := s.entries[id]
	if !ok {
		s.order = append(s.order, id)
	}
	e := entry{version: r.Version, content: r.Content, expires: now.Add(r.left()), own: own || old.own}
	if isContent(r.Attempt) && ok && now.Before(old.expires) {
		if old.version != r.Version {
			e.version = severalVersions
		}
		if old.expires.After(e.expires) {
			e.expires = old.expires
		}
	}
	s.entries[id] = e
	s.latest[r.Attempt] = r.Pool
	s.prune(now)
}

// prune deletes the oldest records that have expired, and the oldest one of a shard that
// is full. The caller holds s.mu.
func (s *shard) prune(now time.Time) {
	for len(s.order) > 0 {
		e := s.entries[s.order[0]]
		if now.Before(e.expires) && len(s.order) <= maxShardRecords {
			return
		}
		delete(s.entries, s.order[0])
		if s.latest[s.order[0].attempt] == s.order[0].pool {
			delete(s.latest, s.order[0].attempt)
		}
		s.order = s.order[1:]
	}
}

// find returns the version at which a stream began, if it is known. A stream of another pool
// with the id counts if there is none of this one: its route may have been moved since.
func (t *table) find(now time.Time, id streamID) (coordination.SoftwareVersion, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		e, ok = s.entries[streamID{id.attempt, s.latest[id.attempt]}]
	}
	if !ok || !now.Before(e.expires) {
		return "", false
	}
	return e.version, true
}

// known is a record and whether this router forwarded the stream's first event.
type known struct {
	Record
	own bool
}

// all returns all records that have not expired.
func (t *table) all(now time.Time) []known {
	var list []known
	for i := range t.shards {
		list = t.shards[i].appendAll(list, now)
	}
	return list
}

func (s *shard) appendAll(list []known, now time.Time) []known {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if left := e.expires.Sub(now); left > 0 {
			r := Record{Attempt: id.attempt, Pool: id.pool, Version: e.version, LeftMs: uint32(left.Milliseconds()), Content: e.content}
			list = append(list, known{r, e.own})
		}
	}
	return list
}
