package peer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"wisteriaspool/coordination/membership"
)

// Traffic counts the messages of one type and topic in one direction. Bytes
// includes the WebSocket framing, but not TCP and IP headers.
type Traffic struct {
	Type     string // hello, gossip, request, answer, notice, ping, pong, goodbye, rumor
	Topic    string // of requests, answers, notices and rumors
	Sent     bool   // false if received
	Messages uint64
	Bytes    uint64
}

// Stats is a snapshot of the counters of a Node.
type Stats struct {
	Traffic    []Traffic // rumors are also included in gossip; their size is an estimate
	Membership membership.Stats
	Conns      int
	Neighbors  int
	Dropped    uint64 // gossip messages dropped because a queue was full
	Malformed  uint64 // messages that could not be decoded
	Busy       uint64 // calls rejected because too many were being handled
	Members    map[membership.State]int
}

type trafficKey struct {
	typ   string
	topic string
	sent  bool
}

type trafficCount struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// traffic holds the counters. All unregistered topics share one counter, so that a
// peer cannot grow the map without bound.
type traffic struct {
	mu     sync.RWMutex
	counts map[trafficKey]*trafficCount
}

func (t *traffic) add(typ, topic string, sent bool, bytes int) {
	k := trafficKey{typ, topic, sent}
	t.mu.RLock()
	c := t.counts[k]
	t.mu.RUnlock()
	if c == nil {
		c = t.create(k)
	}
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (t *traffic) create(k trafficKey) *trafficCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[trafficKey]*trafficCount)
	}
	c := t.counts[k]
	if c == nil {
		c = new(trafficCount)
		t.counts[k] = c
	}
	return c
}

func (t *traffic) list() []Traffic {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var all []Traffic
	for k, c := range t.counts {
		all = append(all, Traffic{
			Type: k.typ, Topic: k.topic, Sent: k.sent,
			Messages: c.messages.Load(), Bytes: c.bytes.Load(),
		})
	}
	slices.SortFunc(all, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Topic, b.Topic), compareBool(a.Sent, b.Sent))
	})
	return all
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// framed returns the size of a message of n bytes including its WebSocket frame
// header.
func framed(n int, masked bool) int {
	switch {
	case n > 65535:
		n += 10
	case n > 125:
		n += 4
	default:
		n += 2
	}
	if masked {
		n += 4
	}
	return n
}
