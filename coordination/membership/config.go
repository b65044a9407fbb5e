package membership

import (
	"time"

	"wisteriaspool/coordination"
)

// Config tunes a Machine. The zero value of each field stands for its default.
type Config struct {
	// Seeds are addresses of routers to try when no other is known, and from
	// time to time when they belong to no live member.
	Seeds []string
	// Topics tells how rumours spread; a topic that is missing is soft and
	// has DefaultTTL.
	Topics map[string]Topic
	// HeartbeatInterval is the time between heartbeats on a link; 1 s.
	HeartbeatInterval time.Duration
	// ProbeAfter is the silence after which a neighbour is probed; 3 s.
	ProbeAfter time.Duration
	// ProbeTimeout is the time that probes have for an answer; 2 s.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute; 6 s.
	SuspicionTimeout time.Duration
	// ForgetAfter is the time for which dead members are kept, and tried from
	// time to time; 30 min.
	ForgetAfter time.Duration
	// ReconnectInterval is the time between two attempts to reach a dead member
	// or a missing seed; 10 s.
	ReconnectInterval time.Duration
	// RepairInterval is the least time between two comparisons of a table
	// with others; 1 s, and five times that for soft rumours.
	RepairInterval time.Duration
	// BytesPerSecond is the rate of gossip in bytes per second over which soft
	// rumours are shed; 12,000.
	BytesPerSecond int
	// MaxMembers bounds the table; 8192.
	MaxMembers int
	// MaxRumors bounds the rumours held, as far as soft ones go; 8192.
	MaxRumors int
	// MaxPersistentRumors bounds the kept rumours held beyond MaxRumors; 8192.
	MaxPersistentRumors int
	// Seed makes random choices repeatable.
	Seed uint64
}

// Topic tells how the rumours of a topic spread.
type Topic struct {
	// Persistent means that rumours of the topic are never shed or expire.
	Persistent bool
	// TTL is the life of a soft rumour; DefaultTTL.
	TTL time.Duration
}

// DefaultTTL is the life of a soft rumour whose topic has none set.
const DefaultTTL = 30 * time.Second

const (
	maxHelpers         = 3        // members asked to probe for us
	maxName            = 256      // bytes of an instance, address, topic or key
	maxCounter         = 1 << 62  // incarnation and version, which must be able to rise
	maxRecords         = 64       // records of members in one message
	minRecords         = 8        // the same, where many wait for more
	typicalRecordBytes = 90       // bytes of a record of a live member
	maxRumors          = 64       // rumours in one message
	maxRumorBytes      = 16 << 10 // payloads of rumours in one message
	// recordRateFactor is the rate of records of members over the byte budget, when
	// a large part of the fleet is new or back.
	recordRateFactor    = 10
	neighborGracePeriod = 10 * time.Second // for which an unwanted neighbour stays one
	minBackoff          = 500 * time.Millisecond
	maxBackoff          = 15 * time.Second
	// dialDeferral is how long the member with the higher name waits for the
	// other to dial, so that a pair rarely dials at once.
	dialDeferral = time.Second
	// pauseThreshold is the time between two ticks from which on the process is
	// taken to have been paused.
	pauseThreshold = 1500 * time.Millisecond
	// tombstoneTTL is how long an expired rumour's version is remembered, lest a
	// slow neighbour bring back an older one.
	tombstoneTTL = 15 * time.Second
)

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.HeartbeatInterval, time.Second)
	setDefaultDuration(&c.ProbeAfter, 3*time.Second)
	setDefaultDuration(&c.ProbeTimeout, 2*time.Second)
	setDefaultDuration(&c.SuspicionTimeout, 6*time.Second)
	setDefaultDuration(&c.ForgetAfter, 30*time.Minute)
	setDefaultDuration(&c.ReconnectInterval, 10*time.Second)
	setDefaultDuration(&c.RepairInterval, time.Second)
	setDefaultInt(&c.BytesPerSecond, 12000)
	setDefaultInt(&c.MaxMembers, 8192)
	setDefaultInt(&c.MaxRumors, 8192)
	setDefaultInt(&c.MaxPersistentRumors, 8192)
	return c
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setDefaultInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// Dial asks for a connection to an address. Instance is empty for a seed.
type Dial struct {
	Instance coordination.Instance
	Address  string
}

// Send asks for a message to be sent. If there is no connection to the
// member, one is made for it at Address.
type Send struct {
	To      coordination.Instance
	Address string
	Message Message
}

// Output is what a Machine wants done.
type Output struct {
	Sends []Send
	Dials []Dial
}

// Stats counts what a Machine did.
type Stats struct {
	Suspicions     uint64 // members that this one came to suspect by itself
	Deaths         uint64 // members that this one declared dead
	Refutations    uint64 // suspicions of itself that it refuted
	Reincarnations uint64 // deaths of itself that it answered by a new incarnation
	Repairs        uint64 // comparisons of tables begun
	RecordsSent    uint64 // records of members
	RumorsSent     uint64
	RumorsShed     uint64 // soft rumours dropped for the byte budget, per link
	RumorsRefused  uint64 // rumours not taken for their size or the table's
}
