package membership

import (
	"time"

	"wisteriaspool/coordination"
)

// Config holds the parameters of a Machine. Zero fields take their defaults.
type Config struct {
	// Seeds are the addresses of routers to contact when no other member is
	// connected. A seed that belongs to no live member is retried periodically.
	Seeds []string
	// Topics configures the dissemination of rumors by topic. Rumors of a
	// topic that is not listed are ephemeral and live for DefaultTTL.
	Topics map[string]Topic
	// HeartbeatInterval is the interval between heartbeats on a link; default
	// 1 s.
	HeartbeatInterval time.Duration
	// ProbeAfter is how long a neighbor may be silent before it is probed;
	// default 3 s.
	ProbeAfter time.Duration
	// ProbeTimeout is how long a probe waits for an answer; default 2 s.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute before it is
	// declared dead; default 6 s.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long dead and departed members stay in the table.
	// Connections to dead ones are retried until then; default 30 min.
	ForgetAfter time.Duration
	// ReconnectInterval is the mean interval between two attempts to reach a
	// dead member or a missing seed; default 10 s.
	ReconnectInterval time.Duration
	// RepairInterval is the minimum time between two comparisons of a table
	// with peers, before jitter; default 1 s. It is five times as long for
	// ephemeral rumors.
	RepairInterval time.Duration
	// BytesPerSecond is the rate of gossip above which ephemeral rumors are
	// dropped; default 12,000.
	BytesPerSecond int
	// MaxMembers limits the number of other members in the table; default 8192.
	MaxMembers int
	// MaxRumors is the number of stored rumors, of either kind, from which on
	// no new ephemeral rumor is accepted; default 8192.
	MaxRumors int
	// MaxPersistentRumors is the number of rumors that persistent ones may
	// take in addition to MaxRumors; default 8192.
	MaxPersistentRumors int
	// Seed seeds the random number generator, which makes runs reproducible.
	Seed uint64
}

// Topic configures the rumors of one topic.
type Topic struct {
	// Persistent means that rumors of the topic never expire and are never
	// dropped.
	Persistent bool
	// TTL is the lifetime of an ephemeral rumor; default DefaultTTL.
	TTL time.Duration
}

// DefaultTTL is the lifetime of ephemeral rumors whose topic sets none.
const DefaultTTL = 30 * time.Second

const (
	maxAlternativePeers = 3        // members that probe another on request, and alternative sources of a rumor
	maxName             = 256      // bytes of an instance, address, topic or key
	maxCounter          = 1 << 62  // incarnation and version, so that both can still be incremented
	maxRecords          = 64       // member records per message
	minRecords          = 8        // the same, when many links have records queued
	typicalRecordBytes  = 90       // size of the record of a live member
	maxRumors           = 64       // rumors per message
	maxRumorBytes       = 16 << 10 // bytes of rumors per message
	// recordRateFactor is the rate limit of member records and rumor repairs as
	// a multiple of BytesPerSecond. It takes effect when a large part of the
	// fleet starts or comes back.
	recordRateFactor    = 10
	neighborGracePeriod = 10 * time.Second // for which a peer outside the mesh stays a neighbor
	minBackoff          = 500 * time.Millisecond
	maxBackoff          = 15 * time.Second
	// dialDeferral is how long the member with the higher name waits for the
	// other one to dial, so that two members rarely dial each other at once.
	dialDeferral = time.Second
	// pauseThreshold is the gap between two calls from which on the process is
	// assumed to have been paused.
	pauseThreshold = 1500 * time.Millisecond
	// tombstoneTTL is how long the version of an expired rumor is kept, so that
	// a slow neighbor cannot reintroduce an older version.
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

// Dial is a request to open a connection to Address. Instance is empty for a
// seed.
type Dial struct {
	Instance coordination.Instance
	Address  string
}

// Send is a request to send a message. If there is no connection to the member,
// the caller opens one at Address.
type Send struct {
	To      coordination.Instance
	Address string
	Message Message
}

// Output holds the actions that a Machine requests from its caller.
type Output struct {
	Sends []Send
	Dials []Dial
}

// Stats holds the counters of a Machine.
type Stats struct {
	Suspicions     uint64 // members suspected because a probe timed out
	Deaths         uint64 // members declared dead by this one
	Refutations    uint64 // suspicions of this member that it refuted
	Reincarnations uint64 // new incarnations begun because peers knew this one as ended, or a higher one
	Repairs        uint64 // table comparisons started because fingerprints differed
	RecordsSent    uint64 // member records sent
	RumorsSent     uint64
	RumorsShed     uint64 // ephemeral rumors dropped to stay within the byte budget, per link
	RumorsRefused  uint64 // invalid or expired rumors, or those beyond the table's limits
}
