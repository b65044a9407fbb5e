package settings

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

const (
	roundTime    = 100 * time.Millisecond
	roundFanout  = 3
	spreadRounds = 6
	linkDelay    = 4 * time.Millisecond
)

var errNoPeer = errors.New("hub: no such peer")

type rumorID struct{ topic, key string }

type rumor struct {
	version uint64
	payload []byte
	rounds  int // number of rounds in which it was sent
}

// hub is a fake of the connections between routers. Gossip is modeled in rounds:
// every 100 ms each router sends its new rumors to three others, for six rounds.
// Every tenth round it sends all its rumors to one other.
type hub struct {
	mu            sync.Mutex
	rnd           *rand.Rand
	nodes         map[coordination.Instance]*node
	names         []coordination.Instance
	loss          float64 // share of sends that are lost
	calls         int
	deliveryCount int
}

// node is the connection of one router to the hub. It implements Peers.
type node struct {
	hub           *hub
	member        Member
	mu            sync.Mutex
	known         map[rumorID]rumor
	handlers      map[string]func(context.Context, coordination.Instance, []byte) ([]byte, error)
	rumorHandlers map[string]func(string, uint64, []byte)
	droppedTopic  string // topic whose rumors are not received
}

func newHub(seed uint64) *hub {
	return &hub{rnd: rand.New(rand.NewPCG(seed, 7)), nodes: make(map[coordination.Instance]*node)}
}

func (h *hub) add(i int) *node {
	m := Member{Instance: coordination.Instance(fmt.Sprintf("r%d", i)), Zone: coordination.Zone(fmt.Sprintf("z%d", i%3))}
	n := &node{
		hub: h, member: m, known: make(map[rumorID]rumor),
		handlers:      make(map[string]func(context.Context, coordination.Instance, []byte) ([]byte, error)),
		rumorHandlers: make(map[string]func(string, uint64, []byte)),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[m.Instance] = n
	h.names = append(h.names, m.Instance)
	return n
}

func (h *hub) remove(n *node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nodes, n.member.Instance)
	for i, name := range h.names {
		if name == n.member.Instance {
			h.names = append(h.names[:i:i], h.names[i+1:]...)
			return
		}
	}
}

// run executes gossip rounds until ctx ends.
func (h *hub) run(ctx context.Context) {
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundTime):
		}
		for _, p := range h.deliveries(round) {
			p.to.receive(p.id, p.rumor)
		}
	}
}

type delivery struct {
	to    *node
	id    rumorID
	rumor rumor
}

func (h *hub) deliveries(round int) []delivery {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []delivery
	for i, name := range h.names {
		from := h.nodes[name]
		sendAll := (round+i)%10 == 0
		for range roundFanout {
			to := h.nodes[h.names[h.rnd.IntN(len(h.names))]]
			if to == from || h.rnd.Float64() < h.loss {
				continue
			}
			all = append(all, from.deliveries(to, sendAll)...)
			sendAll = false
		}
		from.ageRumors()
	}
	h.deliveryCount += len(all)
	return all
}

func (n *node) deliveries(to *node, sendAll bool) []delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []delivery
	for id, r := range n.known {
		if sendAll || r.rounds < spreadRounds {
			all = append(all, delivery{to, id, r})
		}
	}
	return all
}

func (n *node) ageRumors() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, r := range n.known {
		r.rounds++
		n.known[id] = r
	}
}

func (n *node) receive(id rumorID, r rumor) {
	n.mu.Lock()
	old, ok := n.known[id]
	if id.topic == n.droppedTopic || ok && old.version >= r.version {
		n.mu.Unlock()
		return
	}
	n.known[id] = rumor{version: r.version, payload: r.payload}
	fn := n.rumorHandlers[id.topic]
	n.mu.Unlock()
	if fn != nil {
		fn(id.key, r.version, r.payload)
	}
}

func (n *node) dropTopic(topic string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.droppedTopic = topic
}

// Members implements Peers.
func (n *node) Members() []Member {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	members := make([]Member, 0, len(n.hub.names))
	for _, name := range n.hub.names {
		members = append(members, n.hub.nodes[name].member)
	}
	return members
}

// Broadcast implements Peers.
func (n *node) Broadcast(topic, key string, version uint64, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := rumorID{topic, key}
	if old, ok := n.known[id]; !ok || old.version < version {
		n.known[id] = rumor{version: version, payload: payload}
	}
}

// OnRumor implements Peers.
func (n *node) OnRumor(topic string, fn func(string, uint64, []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rumorHandlers[topic] = fn
}

// Handle implements Peers.
func (n *node) Handle(topic string, fn func(context.Context, coordination.Instance, []byte) ([]byte, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[topic] = fn
}

// Call implements Peers.
func (n *node) Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error) {
	n.hub.mu.Lock()
	peer := n.hub.nodes[to]
	n.hub.calls++
	n.hub.mu.Unlock()
	if peer == nil {
		return nil, errNoPeer
	}
	if !sleepContext(ctx, linkDelay) {
		return nil, ctx.Err()
	}
	peer.mu.Lock()
	fn := peer.handlers[topic]
	peer.mu.Unlock()
	if fn == nil {
		return nil, errNoPeer
	}
	data, err := fn(ctx, n.member.Instance, payload)
	if !sleepContext(ctx, linkDelay) {
		return nil, ctx.Err()
	}
	return data, err
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
