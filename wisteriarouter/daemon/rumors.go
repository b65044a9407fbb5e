package daemon

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// topicLeaving carries which incarnations of endpoints are leaving. The key is
// the endpoint, the version its incarnation.
const topicLeaving = "endpoint-leaving"

// leavingLife is how long a rumour of a leaving endpoint lives: longer than
// the platform's list lags.
const leavingLife = 2 * time.Minute

// freshLife is how long a confirmation of the settings by the platform counts.
const freshLife = 30 * time.Second

// suspicionLife is how long a record of suspicion is spread: as long as a
// conviction lasts.
const suspicionLife = 15 * time.Minute

// topics tells how the rumours of each topic spread.
var topics = map[string]membership.Topic{
	topicLeaving:               {TTL: leavingLife},
	settings.TopicChange:       {Persistent: true},
	settings.TopicConfirmation: {TTL: freshLife},
	suspicion.TopicRecord:      {TTL: suspicionLife},
}

// leavingTeller tells the other routers of a leaving endpoint.
type leavingTeller struct {
	node *peer.Node
	log  event.Log
}

func (t leavingTeller) tell(id coordination.Endpoint, n coordination.Incarnation) {
	t.node.Broadcast(topicLeaving, string(id), uint64(n), nil)
	t.log.Emit(event.EndpointLeaving, event.F("endpoint", id), event.F("incarnation", n))
}

// leavingListener takes in what the other routers tell.
type leavingListener struct {
	directory *endpoint.Directory
}

func (l leavingListener) hear(key string, version uint64, _ []byte) {
	l.directory.RecordLeaving(coordination.Endpoint(key), coordination.Incarnation(version))
}

// peerEvents turns what happens between routers into numbered events.
type peerEvents struct {
	log event.Log
}

var peerKinds = map[peer.EventKind]event.Kind{
	peer.Connected:    event.PeerConnected,
	peer.Disconnected: event.PeerDisconnected,
	peer.Malformed:    event.PeerMalformed,
	peer.Oversized:    event.PeerMalformed,
	peer.Refused:      event.PeerRefused,
	peer.Overflow:     event.RumourShed,
	peer.Shedding:     event.RumourShed,
	peer.HandlersBusy: event.PeerBusy,
}

func (p peerEvents) emit(e peer.Event) {
	kind, ok := peerKinds[e.Kind]
	if !ok {
		kind = event.MemberChanged
	}
	fields := []event.Field{event.F("kind", e.Kind.String()), event.F("peer", e.Peer)}
	if e.Address != "" {
		fields = append(fields, event.F("address", e.Address))
	}
	if e.Count > 0 {
		fields = append(fields, event.F("count", e.Count))
	}
	if e.Err != nil {
		fields = append(fields, event.F("error", e.Err.Error()))
	}
	p.log.Emit(kind, fields...)
}
