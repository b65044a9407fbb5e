package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Topics of the messages between routers. TopicChange must never be dropped
// for want of bandwidth.
const (
	TopicChange       = topicChange
	TopicConfirmation = topicConfirmation

	topicChange       = "settings"
	topicConfirmation = "settings-fresh"
	topicValue        = "settings-value"
	topicIndex        = "settings-index"
)

// maxServed bounds the values that a router serves at a time. Without it the
// router that announces a change would send it to the whole fleet at once.
const maxConcurrentServes = 8

// announcement is the rumour of a change. It does not carry the value, which
// may be large; who lacks it asks for it.
type changeNotice struct {
	Position Position              `cbor:"1,keyasint"`
	Origin   coordination.Instance `cbor:"2,keyasint"`
}

// confirmation is the rumour that the platform was seen at a revision. Its
// fingerprint shows a router that it lacks something.
type confirmation struct {
	Revision    kv.Revision           `cbor:"1,keyasint"`
	Fingerprint uint64                `cbor:"2,keyasint"`
	Origin      coordination.Instance `cbor:"3,keyasint"`
	Time        int64                 `cbor:"4,keyasint"` // milliseconds since 1970
}

type valueRequest struct {
	Team coordination.Team `cbor:"1,keyasint"`
	From Position          `cbor:"2,keyasint"` // what is asked for, or later
}

type valueAnswer struct {
	Found    bool        `cbor:"1,keyasint,omitempty"`
	Busy     bool        `cbor:"2,keyasint,omitempty"`
	Revision kv.Revision `cbor:"3,keyasint,omitempty"`
	Data     []byte      `cbor:"4,keyasint,omitempty"`
}

type indexEntry struct {
	Team     coordination.Team `cbor:"1,keyasint"`
	Position Position          `cbor:"2,keyasint"`
}

type indexAnswer struct {
	Loaded bool         `cbor:"1,keyasint,omitempty"` // the router has loaded its settings
	Teams  []indexEntry `cbor:"2,keyasint,omitempty"`
	Age    int64        `cbor:"3,keyasint"` // milliseconds since the platform confirmed; negative if never
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("settings: encoding %T: %v", v, err))
	}
	return data
}

// observe announces what came into force on this router, unless a peer told of
// it: its rumour is on its way already, and one more origin for each router
// would make the fleet spread the same change again and again.
func (s *Sync) observe(o Observation) {
	if o.Verdict != Applied {
		return
	}
	p := o.InForce.Position
	s.mu.Lock()
	wanted, fetching := s.wanted[o.Team]
	s.mu.Unlock()
	if fetching && !wanted.Before(p) {
		return
	}
	s.peers.Broadcast(topicChange, string(o.Team), p.Sequence, encode(changeNotice{Position: p, Origin: s.cfg.Self}))
}

// heardChange wants the value of a change that the replica lacks.
func (s *Sync) handleChangeRumor(key string, _ uint64, payload []byte) {
	var a changeNotice
	if cbor.Unmarshal(payload, &a) != nil || !ValidTeam(coordination.Team(key)) {
		return
	}
	s.requestValue(coordination.Team(key), a.Position, a.Origin)
}

// confirm tells the fleet that the platform was seen at revision, unless
// another router has just done so for the same settings.
func (s *Sync) confirm(revision kv.Revision) {
	now := time.Now()
	c := confirmation{Revision: revision, Fingerprint: s.replica.Fingerprint(), Origin: s.cfg.Self, Time: now.UnixMilli()}
	s.mu.Lock()
	recent := s.lastConfirmation.Fingerprint == c.Fingerprint && now.Sub(s.lastConfirmedAt) < confirmInterval*9/10
	if !recent {
		s.lastConfirmation, s.lastConfirmedAt = c, now
		s.stats.Confirmed++
	}
	s.mu.Unlock()
	if !recent {
		s.peers.Broadcast(topicConfirmation, string(s.cfg.Self), uint64(c.Time), encode(c))
	}
}

// heardFresh takes a confirmation at the time of its origin, or now if that
// clock is ahead. An old rumour that is told again proves nothing.
func (s *Sync) handleConfirmationRumor(_ string, _ uint64, payload []byte) {
	var c confirmation
	if cbor.Unmarshal(payload, &c) != nil {
		return
	}
	at := time.UnixMilli(c.Time)
	if now := time.Now(); at.After(now) {
		at = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastConfirmedAt) {
		s.lastConfirmation, s.lastConfirmedAt = c, at
	}
}

// serveValue answers a peer that lacks a value.
func (s *Sync) serveValue(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
	var req valueRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("settings: value request: %w", err)
	}
	in, ok := s.replica.Snapshot(req.Team)
	if !ok || in.Position.Before(req.From) {
		return encode(valueAnswer{}), nil
	}
	select {
	case s.serveSlots <- struct{}{}:
		defer func() { <-s.serveSlots }()
	default:
		return encode(valueAnswer{Busy: true}), nil
	}
	s.count(func(st *Stats) { st.Served++ })
	return encode(valueAnswer{Found: true, Revision: in.Position.Revision, Data: in.data}), nil
}

// serveIndex answers a peer that wants to know what is in force here.
func (s *Sync) serveIndex(context.Context, coordination.Instance, []byte) ([]byte, error) {
	teams := lo.Map(s.replica.Snapshots(), func(in *Snapshot, _ int) indexEntry {
		return indexEntry{Team: in.Team, Position: in.Position}
	})
	age, ever := s.ConfirmationAge()
	a := indexAnswer{Teams: teams, Age: age.Milliseconds()}
	if !ever {
		a.Age = -1
	}
	s.mu.Lock()
	a.Loaded = s.loaded
	s.mu.Unlock()
	return encode(a), nil
}
