package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/peer"
)

// placementCollector exports the decisions and loads of an owner as metrics.
type placementCollector struct {
	owner *placement.Owner
}

var (
	ownerDecisions = prometheus.NewDesc("wisteria_owner_decisions_total",
		"Answers that this router gave as the owner of endpoints, by decision and code.",
		[]string{"decision", "code"}, nil)
	ownerLoad = prometheus.NewDesc("wisteria_owned_endpoint_load",
		"Requests at endpoints that this router owns: counted, held by grants, queued.",
		[]string{"endpoint", "pool", "kind"}, nil)
	ownedPace = prometheus.NewDesc("wisteria_owned_endpoint_pace",
		"Duration of work at endpoints that this router owns, as a multiple of the usual one in their pool.",
		[]string{"endpoint", "pool"}, nil)
	ownedLimit = prometheus.NewDesc("wisteria_owned_endpoint_limit",
		"Concurrent requests that endpoints that this router owns handle well, at most their slots.",
		[]string{"endpoint", "pool"}, nil)
)

// Describe implements prometheus.Collector.
func (c *placementCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- ownerDecisions
	ch <- ownerLoad
	ch <- ownedPace
	ch <- ownedLimit
}

// Collect implements prometheus.Collector.
func (c *placementCollector) Collect(ch chan<- prometheus.Metric) {
	for _, d := range c.owner.Decisions() {
		ch <- prometheus.MustNewConstMetric(ownerDecisions, prometheus.CounterValue, float64(d.Count), d.Decision.String(), d.Code.String())
	}
	for _, l := range c.owner.Loads() {
		for kind, n := range map[string]int{"counted": l.Count, "held": l.Held, "queued": l.Queued} {
			ch <- prometheus.MustNewConstMetric(ownerLoad, prometheus.GaugeValue, float64(n), string(l.Endpoint), string(l.Pool), kind)
		}
	}
	for _, e := range c.owner.Capacities() {
		ch <- prometheus.MustNewConstMetric(ownedPace, prometheus.GaugeValue, float64(e.Pace), string(e.Endpoint), string(e.Pool))
		ch <- prometheus.MustNewConstMetric(ownedLimit, prometheus.GaugeValue, float64(e.Limit), string(e.Endpoint), string(e.Pool))
	}
}

// peerCollector exports the traffic and membership counters of a node as
// metrics.
type peerCollector struct {
	node *peer.Node
}

var (
	peerBytes = prometheus.NewDesc("wisteria_peer_bytes_total",
		"Control traffic with other routers by message type, topic and direction.",
		[]string{"type", "topic", "direction"}, nil)
	peerMessages = prometheus.NewDesc("wisteria_peer_messages_total",
		"Control messages with other routers by type, topic and direction.",
		[]string{"type", "topic", "direction"}, nil)
	peerMembers = prometheus.NewDesc("wisteria_members",
		"Routers by state, as this one sees them.", []string{"state"}, nil)
	peerConns = prometheus.NewDesc("wisteria_peer_connections",
		"Connections with other routers.", nil, nil)
	peerDropped = prometheus.NewDesc("wisteria_peer_messages_dropped_total",
		"Gossip messages that a slow peer's full queue did not take.", nil, nil)
	peerCallsRefused = prometheus.NewDesc("wisteria_peer_calls_refused_total",
		"Calls of other routers that were turned away.", nil, nil)
	rumorsShed = prometheus.NewDesc("wisteria_rumors_shed_total",
		"Soft rumours dropped to stay under the byte budget.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *peerCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{peerBytes, peerMessages, peerMembers, peerConns, rumorsShed, peerDropped, peerCallsRefused} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *peerCollector) Collect(ch chan<- prometheus.Metric) {
	s := c.node.Stats()
	for _, t := range s.Traffic {
		direction := "received"
		if t.Sent {
			direction = "sent"
		}
		ch <- prometheus.MustNewConstMetric(peerBytes, prometheus.CounterValue, float64(t.Bytes), t.Type, t.Topic, direction)
		ch <- prometheus.MustNewConstMetric(peerMessages, prometheus.CounterValue, float64(t.Messages), t.Type, t.Topic, direction)
	}
	for state, n := range s.Members {
		ch <- prometheus.MustNewConstMetric(peerMembers, prometheus.GaugeValue, float64(n), state.String())
	}
	ch <- prometheus.MustNewConstMetric(peerConns, prometheus.GaugeValue, float64(s.Conns))
	ch <- prometheus.MustNewConstMetric(peerDropped, prometheus.CounterValue, float64(s.Dropped))
	ch <- prometheus.MustNewConstMetric(peerCallsRefused, prometheus.CounterValue, float64(s.Busy))
	ch <- prometheus.MustNewConstMetric(rumorsShed, prometheus.CounterValue, float64(s.Membership.RumorsShed))
}
