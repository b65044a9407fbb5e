package daemon

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/event"
)

// topicRejectionLimit announces pools whose endpoints may crash if they reject many
// requests, since any router may own some of them. The key is the pool, the version the
// time of the announcement in Unix milliseconds.
const topicRejectionLimit = "pool-rejection-limit"

const (
	// rejectionLimitTTL is how long a limit holds after the last response that says it.
	// It covers a pool that gets few requests.
	rejectionLimitTTL = 10 * time.Second

	// rejectionLimitInterval is the time between two announcements of one pool by one
	// router, as all responses of its endpoints say the limit.
	rejectionLimitInterval = time.Second
)

// rejectionLimit is the payload of topicRejectionLimit.
type rejectionLimit struct {
	Pool  coordination.Pool `cbor:"1,keyasint"`
	Limit int               `cbor:"2,keyasint"`
}

// rejectionNotices holds the limits that this router has announced last. The zero value
// is ready for use.
type rejectionNotices struct {
	mu   sync.Mutex
	last map[coordination.Pool]rejectionNotice
}

type rejectionNotice struct {
	limit int
	at    time.Time
}

// due reports whether a limit is to be applied and announced, and if so notes it.
func (n *rejectionNotices) due(now time.Time, pool coordination.Pool, limit int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.last[pool]; ok && l.limit == limit && now.Sub(l.at) < rejectionLimitInterval {
		return false
	}
	if n.last == nil {
		n.last = make(map[coordination.Pool]rejectionNotice)
	}
	n.last[pool] = rejectionNotice{limit, now}
	return true
}

// LimitRejections implements relay.Placer.
func (p *relayPlacer) LimitRejections(pool coordination.Pool, limit int) {
	now := time.Now()
	if !p.limited.due(now, pool, limit) {
		return
	}
	p.owner.LimitRejections(pool, limit, now.Add(rejectionLimitTTL))
	payload, err := cbor.Marshal(rejectionLimit{pool, limit})
	if err != nil {
		panic("daemon: encoding a rejection limit: " + err.Error()) // all fields are plain
	}
	p.node.Broadcast(topicRejectionLimit, string(pool), uint64(now.UnixMilli()), payload)
}

// receiveRejectionLimit applies a limit that another router announces.
func (p *relayPlacer) receiveRejectionLimit(_ string, _ uint64, payload []byte) {
	var l rejectionLimit
	if err := cbor.Unmarshal(payload, &l); err != nil || l.Limit <= 0 {
		p.log.Emit(event.PeerMalformed, event.F("topic", topicRejectionLimit), event.F("limit", l.Limit))
		return
	}
	now := time.Now()
	p.limited.due(now, l.Pool, l.Limit) // this router need not announce it as well
	p.owner.LimitRejections(l.Pool, l.Limit, now.Add(rejectionLimitTTL))
}
