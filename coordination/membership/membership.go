// Package membership decides, on each router, which routers are alive, with
// which of them to keep connections, and what to pass on to whom. It holds the
// protocol only: time and messages are passed in, messages and wishes for
// connections come out, and nothing is read from a clock or a socket.
//
// Members are watched by heartbeats along a sparse mesh of rings, by indirect
// probes and by suspicion before death. Changes spread along the mesh as
// deltas, and fingerprints in the heartbeats tell when two tables differ, so
// that a steady fleet pays for little more than the heartbeats.
package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// Region names a region, which holds several availability zones.
type Region string

// Version orders the records of one incarnation of a member. Only the member
// itself raises it: to refute a suspicion or to change its flags.
type Version uint64

// Protocol is the number of the protocol between routers.
type Protocol uint32

// State tells what is known of a member.
type State uint8

// The states of a member. Dead and Left are final for an incarnation.
const (
	// Alive means that the member answers.
	Alive State = iota
	// Suspect means that the member has not answered for a while or is said
	// to be dead; it still counts as live and may refute.
	Suspect
	// Leaving means that the member is stopping and finishes what it holds.
	Leaving
	// Left means that the member has said that it is gone.
	Left
	// Dead means that the member did not refute a suspicion in time.
	Dead
)

// String returns the name of s as logs and metrics show it.
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

// Final reports whether nothing but a higher incarnation can follow s.
func (s State) Final() bool {
	return s == Left || s == Dead
}

// Member is what is known of one router. Records about a suspect or gone
// member carry only its instance, incarnation, version and state.
type Member struct {
	Instance    coordination.Instance    `cbor:"1,keyasint"`
	Incarnation coordination.Incarnation `cbor:"2,keyasint"`
	Version     Version                  `cbor:"3,keyasint,omitempty"`
	State       State                    `cbor:"4,keyasint,omitempty"`
	Address     string                   `cbor:"5,keyasint,omitempty"`
	Zone        coordination.Zone        `cbor:"6,keyasint,omitempty"`
	Region      Region                   `cbor:"7,keyasint,omitempty"`
	Ready       bool                     `cbor:"8,keyasint,omitempty"`
	Owner       bool                     `cbor:"9,keyasint,omitempty"` // may own endpoints
	Build       string                   `cbor:"10,keyasint,omitempty"`
	Protocol    Protocol                 `cbor:"11,keyasint,omitempty"`
}

// Live reports whether m counts as a running member.
func (m Member) Live() bool {
	return !m.State.Final()
}

// entry is a row of the table.
type entry struct {
	Member
	// deathClaimed means that somebody holds this incarnation for dead, which only
	// a higher incarnation of the member can refute.
	deathClaimed bool
	stateSince   time.Time // of the state
}

// record returns what e says to others.
func (e *entry) record() Member {
	m := e.Member
	if e.deathClaimed {
		m.State = Dead
	}
	if m.State == Suspect || m.State == Dead {
		return Member{Instance: m.Instance, Incarnation: m.Incarnation, Version: m.Version, State: m.State}
	}
	return m
}

// versionStamp returns a number that differs when two tables differ about e.
func (e *entry) versionStamp() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], uint64(e.Version))
	b[16] = byte(e.State)
	if e.deathClaimed {
		b[16] = byte(Dead)
	}
	return xxhash.Sum64(b[:])
}
