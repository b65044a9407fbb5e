// Package peer connects a router with the other routers. It carries the
// membership protocol, rumours, and calls from router to router in CBOR
// messages over WebSocket connections.
//
// Each pair of routers shares one connection at most. A few connections stand
// for the mesh of package membership; others are made for calls and closed
// when they have been idle. A connection has one writer with a bounded queue:
// a peer that reads slowly loses gossip, which the membership protocol
// repairs, and does not cost memory.
package peer

import (
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
)

// Path is the path at which routers reach each other.
const Path = "/v1/peer"

// Version is the version of the protocol. Routers with another major version
// are refused; what a higher minor version adds is ignored.
const (
	MajorVersion = 1
	MinorVersion = 0
)

// Config describes a Node. The zero value of a limit stands for its default.
type Config struct {
	// Fleet is the name of the fleet; routers of other fleets are refused.
	Fleet string
	// Self is the node's own record. Instance, Address and Incarnation are
	// required.
	Self membership.Member
	// Seeds are addresses, host and port, of routers to join by.
	Seeds []string
	// Membership tunes the protocol; its Seeds and Topics are set from here.
	Membership membership.Config
	// Topics tells how rumours spread.
	Topics map[string]membership.Topic
	// OnEvent, if set, is told of what an operator may want to see. It is
	// called from several goroutines and must not block.
	OnEvent func(Event)

	// MaxMessage is the largest message in bytes; 1,114,112, which holds the
	// largest value of the platform's service.
	MaxMessage int
	// MaxQueue is the most bytes that wait for one peer; 4 MiB.
	MaxQueue int
	// MaxHandlers is the most calls that are handled at once; 512.
	MaxHandlers int
	// MaxConns is the most connections accepted or made; 1024.
	MaxConns int
	// MaxOnDemand is the most connections kept for calls alone; 256.
	MaxOnDemand int
	// IdleTimeout is the time after which a connection made for calls is
	// closed; 60 s.
	IdleTimeout time.Duration
	// DialTimeout bounds the making of a connection; 3 s.
	DialTimeout time.Duration
	// DeadAfter is the silence after which a connection is taken for broken;
	// 10 s.
	DeadAfter time.Duration
}

const (
	tickInterval    = 100 * time.Millisecond
	maxQueuedFrames = 1024 // messages that wait for one peer
	helloTimeout    = 5 * time.Second
	helloLimit      = 4096 // bytes
	writeTimeout    = 10 * time.Second
	minDrain        = time.Second
	maxDrain        = 10 * time.Second
	stopTimeout     = 500 * time.Millisecond
	// lossesPerEvent is how many lost messages or refused calls make an event, so
	// that an overload does not fill the log.
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

// EventKind tells events apart. Its numbers stay the same.
type EventKind int

// The kinds of events.
const (
	Connected     EventKind = iota + 1 // a connection to a peer stands
	Disconnected                       // a connection to a peer has ended
	Malformed                          // a message could not be decoded; the connection is closed
	Oversized                          // a message was too large; the connection is closed
	Refused                            // a router was refused, or refused this one
	Overflow                           // a peer reads too slowly; gossip to it is lost
	HandlersBusy                       // too many calls at once; one was turned away
	MemberJoined                       // a member is new or back
	MemberSuspect                      // a member does not answer
	MemberCleared                      // a suspect member has answered
	MemberLeaving                      // a member is stopping
	MemberLeft                         // a member has stopped
	MemberDead                         // a member is held for dead
	Reincarnated                       // this router was held for dead and is back
	Shedding                           // soft rumours are dropped for the byte budget
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

// String returns the name of k as logs and metrics show it.
func (k EventKind) String() string {
	if name, ok := eventNames[k]; ok {
		return name
	}
	return "unknown"
}

// Event is something that an operator may want to see.
type Event struct {
	Kind        EventKind
	Peer        coordination.Instance // if known
	Incarnation coordination.Incarnation
	Address     string // if known
	Count       uint64 // of what Shedding dropped since the last such event, of what Overflow and HandlersBusy dropped in all
	Err         error
}
