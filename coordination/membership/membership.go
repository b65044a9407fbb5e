// Package membership implements gossip-based group membership for routers. It
// maintains the list of live routers, the mesh of connections between them and
// the dissemination of small pieces of shared state (rumors).
//
// The package contains only the protocol: the caller passes in the time and the
// received messages, and gets back the messages to send and the connections to
// open. It reads no clock and no socket.
//
// Failure detection works like SWIM: neighbors in a sparse mesh of rings
// exchange heartbeats, a silent neighbor is probed directly and indirectly, and a
// member that does not answer is suspected before it is declared dead. Changes
// are propagated along the mesh as deltas. Fingerprints in the heartbeats detect
// tables that differ, so that a fleet without changes sends little more than
// heartbeats.
package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// Region names a region.
type Region = coordination.Region

// Version orders the records of one incarnation of a member. Only the member
// itself increments it, to refute a suspicion or to change its flags.
type Version uint64

// Protocol is the version number of the protocol between routers.
type Protocol uint32

// State is the state of a member as its observer knows it.
type State uint8

// The states of a member. Dead and Left are final for an incarnation.
const (
	// Alive means that the member responds.
	Alive State = iota
	// Suspect means that the member has not responded for a while, or that a
	// peer reported it dead. It still counts as live and can refute this.
	Suspect
	// Leaving means that the member is shutting down and is finishing its
	// remaining work.
	Leaving
	// Left means that the member announced the end of its shutdown.
	Left
	// Dead means that the member did not refute a suspicion in time.
	Dead
)

// String returns the name of s that logs and metrics use.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Left:
		return "left"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Final reports whether s is the last state of an incarnation.
func (s State) Final() bool {
	return s == Left || s == Dead
}

// Member is the record of one router. Records of suspect and dead members that
// are sent to peers carry only the instance, incarnation, version and state.
type Member struct {
	Instance    coordination.Instance    `cbor:"1,keyasint"`
	Incarnation coordination.Incarnation `cbor:"2,keyasint"`
	Version     Version                  `cbor:"3,keyasint,omitempty"`
	State       State                    `cbor:"4,keyasint,omitempty"`
	Address     string                   `cbor:"5,keyasint,omitempty"`
	Zone        coordination.Zone        `cbor:"6,keyasint,omitempty"`
	Region      Region                   `cbor:"7,keyasint,omitempty"`
	Ready       bool                     `cbor:"8,keyasint,omitempty"`
	Owner       bool                     `cbor:"9,keyasint,omitempty"` // whether it may own endpoints
	Build       string                   `cbor:"10,keyasint,omitempty"`
	Protocol    Protocol                 `cbor:"11,keyasint,omitempty"`
}

// Live reports whether m counts as running: its state is not Left or Dead.
func (m Member) Live() bool {
	return !m.State.Final()
}

// entry is a row of the member table.
type entry struct {
	Member
	// deathReported means that a peer reported this incarnation dead. The
	// member can refute that only with a higher incarnation.
	deathReported bool
	stateSince    time.Time // time of the last state change
}

// record returns the record of e as it is sent to peers.
func (e *entry) record() Member {
	m := e.Member
	if e.deathReported {
		m.State = Dead
	}
	if m.State == Suspect || m.State == Dead {
		return Member{Instance: m.Instance, Incarnation: m.Incarnation, Version: m.Version, State: m.State}
	}
	return m
}

// versionStamp returns a hash of the incarnation, version and state of e, by
// which peers detect that their records of the member differ.
func (e *entry) versionStamp() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], uint64(e.Version))
	b[16] = byte(e.State)
	if e.deathReported {
		b[16] = byte(Dead)
	}
	return xxhash.Sum64(b[:])
}
