// Package peer connects a router with the other routers of its fleet. It carries
// the membership protocol, rumors, and calls between routers as CBOR messages over
// WebSocket connections.
//
// Two routers share at most one connection. Some connections belong to the gossip
// mesh of package membership; others are made for calls and closed when idle. Each
// connection has one writer with a bounded queue: if a peer reads slowly, gossip to
// it is dropped, which the membership protocol repairs, and memory use stays
// bounded.
package peer

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// Path is the URL path at which routers accept connections from each other.
const Path = "/v1/peer"

// The version of the protocol. Routers with another major version are refused;
// additions of a higher minor version are ignored.
const (
	MajorVersion = 1
	MinorVersion = 0
)

// Config configures a Node. A limit that is zero is set to its default.
type Config struct {
	// Fleet is the name of the fleet; routers of other fleets are refused.
	Fleet string
	// Self is the node's own membership record. Instance, Address and Incarnation
	// are required.
	Self membership.Member
	// Seeds are the addresses (host:port) of routers through which to join.
	Seeds []string
	// Membership configures the membership protocol; its Seeds and Topics are
	// overwritten by those below.
	Membership membership.Config
	// Topics configures how the rumors of each topic spread.
	Topics map[string]membership.Topic
	// OnEvent, if not nil, is called with each Event. It is called from several
	// goroutines and must not block.
	OnEvent func(Event)

	// MaxMessage is the maximum size of a message in bytes. The default is
	// 1,114,112, which fits the largest value of the platform's service.
	MaxMessage int
	// MaxQueue is the maximum number of bytes queued for one peer. The default is 4
	// MiB.
	MaxQueue int
	// MaxHandlers is the maximum number of calls handled concurrently. The default
	// is 512.
	MaxHandlers int
	// MaxConns is the maximum number of connections, accepted and dialled. The
	// default is 1024.
	MaxConns int
	// MaxOnDemand is the maximum number of connections kept for calls only. The
	// default is 256.
	MaxOnDemand int
	// IdleTimeout is the time after which an unused connection made for calls is
	// closed. The default is 60 s.
	IdleTimeout time.Duration
	// DialTimeout limits the time to establish a connection. The default is 3 s.
	DialTimeout time.Duration
	// DeadAfter is the time without a received message after which a connection is
	// considered broken. The default is 10 s.
	DeadAfter time.Duration
}

const (
	tickInterval    = 100 * time.Millisecond
	maxQueuedFrames = 1024 // messages queued for one peer
	helloTimeout    = 5 * time.Second
	helloLimit      = 4096 // bytes
	writeTimeout    = 10 * time.Second
	minDrain        = time.Second
	maxDrain        = 10 * time.Second
	stopTimeout     = 500 * time.Millisecond
	// lossesPerEvent is the number of dropped messages or rejected calls per event,
	// so that an overload does not flood the log.
	lossesPerEvent = 1000
)

func (c Config) withDefaults() Config {
	setInt(&c.MaxMessage, 1<<20+1<<16)
	setInt(&c.MaxQueue, 4<<20)
	setInt(&c.MaxHandlers, 512)
	setInt(&c.MaxConns, 1024)
	setInt(&c.MaxOnDemand, 256)
	setDuration(&c.IdleTimeout, time.Minute)
	setDuration(&c.DialTimeout, 3*time.Second)
	setDuration(&c.DeadAfter, 10*time.Second)
	c.Membership.Seeds = c.Seeds
	c.Membership.Topics = c.Topics
	c.Self.Protocol = MajorVersion
	return c
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// EventKind is the type of an Event. The numeric values must not change.
type EventKind int

// The kinds of events.
const (
	Connected     EventKind = iota + 1 // a connection to a peer was established
	Disconnected                       // a connection to a peer has ended
	Malformed                          // a message could not be decoded; its connection is closed
	Oversized                          // a message was too large; its connection is closed
	Refused                            // this router refused a peer, or was refused by it
	Overflow                           // the queue to a peer is full; gossip to it is dropped
	HandlersBusy                       // too many concurrent calls; calls are rejected
	MemberJoined                       // a member is new or has rejoined
	MemberSuspect                      // a member does not respond
	MemberCleared                      // a suspect member has responded
	MemberLeaving                      // a member is shutting down
	MemberLeft                         // a member has shut down
	MemberDead                         // a member was declared dead
	Reincarnated                       // this router was declared dead and has rejoined
	Shedding                           // soft rumors are dropped to stay within the byte budget
)

var eventNames = map[EventKind]string{
	Connected:     "connected",
	Disconnected:  "disconnected",
	Malformed:     "malformed",
	Oversized:     "oversized",
	Refused:       "refused",
	Overflow:      "overflow",
	HandlersBusy:  "handlers-busy",
	MemberJoined:  "member-joined",
	MemberSuspect: "member-suspect",
	MemberCleared: "member-cleared",
	MemberLeaving: "member-leaving",
	MemberLeft:    "member-left",
	MemberDead:    "member-dead",
	Reincarnated:  "reincarnated",
	Shedding:      "shedding",
}

// String returns the name of k as used in logs and metrics.
func (k EventKind) String() string {
	if name, ok := eventNames[k]; ok {
		return name
	}
	return "unknown"
}

// Event is an occurrence that is of interest to an operator.
type Event struct {
	Kind        EventKind
	Peer        coordination.Instance // if known
	Incarnation coordination.Incarnation
	Address     string // if known
	Count       uint64 // Shedding: rumors dropped since the last such event; Overflow, HandlersBusy: total so far
	Err         error
}
