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

// topicLeaving announces endpoints that are leaving. The key is the endpoint, the
// version is the incarnation that leaves.
const topicLeaving = "endpoint-leaving"

// leavingTTL is how long the announcement of a leaving endpoint is kept: longer
// than the platform's list lags.
const leavingTTL = 2 * time.Minute

// freshTTL is how long a confirmation of the settings by the platform stays valid.
const freshTTL = 30 * time.Second

// suspicionTTL is how long a suspicion record is gossiped: as long as a
// conviction lasts.
const suspicionTTL = 15 * time.Minute

// rumorTopics holds the retention of the gossip on each topic.
var rumorTopics = map[string]membership.Topic{
	topicLeaving:               {TTL: leavingTTL},
	topicPause:                 {TTL: pauseTTL},
	topicRejectionLimit:        {TTL: rejectionLimitTTL},
	settings.TopicChange:       {Persistent: true},
	settings.TopicConfirmation: {TTL: freshTTL},
	suspicion.TopicRecord:      {TTL: suspicionTTL},
	suspicion.TopicPartRecord:  {TTL: suspicionTTL},
}

// leavingBroadcaster announces leaving endpoints to the other routers.
type leavingBroadcaster struct {
	node *peer.Node
	log  event.Log
}

func (b leavingBroadcaster) broadcast(id coordination.Endpoint, n coordination.Incarnation) {
	b.node.Broadcast(topicLeaving, string(id), uint64(n), nil)
	b.log.Emit(event.EndpointLeaving, event.F("endpoint", id), event.F("incarnation", n))
}

// leavingReceiver applies the announcements of other routers to the directory.
type leavingReceiver struct {
	directory *endpoint.Directory
}

func (l leavingReceiver) receive(key string, version uint64, _ []byte) {
	l.directory.RecordLeaving(coordination.Endpoint(key), coordination.Incarnation(version))
}

// peerEventLogger logs the events of the peer node under their catalogue numbers.
type peerEventLogger struct {
	log event.Log
}

var peerEventKinds = map[peer.EventKind]event.Kind{
	peer.Connected:    event.PeerConnected,
	peer.Disconnected: event.PeerDisconnected,
	peer.Malformed:    event.PeerMalformed,
	peer.Oversized:    event.PeerMalformed,
	peer.Refused:      event.PeerRefused,
	peer.Overflow:     event.RumorShed,
	peer.Shedding:     event.RumorShed,
	peer.HandlersBusy: event.PeerBusy,
}

func (p peerEventLogger) emit(e peer.Event) {
	kind, ok := peerEventKinds[e.Kind]
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
