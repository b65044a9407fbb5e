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

// Topics of the messages between routers. Messages of TopicChange must not be
// dropped to save bandwidth.
const (
	TopicChange       = topicChange
	TopicConfirmation = topicConfirmation

	topicChange       = "settings"
	topicConfirmation = "settings-fresh"
	topicValue        = "settings-value"
	topicIndex        = "settings-index"
)

// maxConcurrentServes limits the values that a router serves at a time. Without
// it, the router that announces a change would send it to the whole fleet at once.
const maxConcurrentServes = 8

// changeNotice announces a change by gossip. It does not carry the value, which
// may be large; routers that lack the value fetch it.
type changeNotice struct {
	Position Position              `cbor:"1,keyasint"`
	Origin   coordination.Instance `cbor:"2,keyasint"`
}

// confirmation announces by gossip that the platform responded at a revision. The
// fingerprint lets a router detect that its settings differ from the origin's.
type confirmation struct {
	Revision    kv.Revision           `cbor:"1,keyasint"`
	Fingerprint uint64                `cbor:"2,keyasint"`
	Origin      coordination.Instance `cbor:"3,keyasint"`
	Time        int64                 `cbor:"4,keyasint"` // Unix time in milliseconds
}

type valueRequest struct {
	Team coordination.Team `cbor:"1,keyasint"`
	From Position          `cbor:"2,keyasint"` // lowest acceptable position
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

// observe announces a value that came into force on this router, unless the router
// learned of it from a peer. That peer's rumor is already spreading, and with
// every router as an additional origin the fleet would spread the same change
// repeatedly.
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

// handleChangeRumor requests the value of a change that the replica lacks.
func (s *Sync) handleChangeRumor(key string, _ uint64, payload []byte) {
	var n changeNotice
	if cbor.Unmarshal(payload, &n) != nil || !ValidTeam(coordination.Team(key)) {
		return
	}
	s.requestValue(coordination.Team(key), n.Position, n.Origin)
}

// confirm announces that the platform responded at revision, unless a router has
// recently done so for the same settings.
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

// handleConfirmationRumor records a confirmation with its origin's time, or the
// current time if the origin's clock is ahead. The time of receipt would not do:
// a rumor that is repeated late says nothing about the platform now.
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

// serveValue responds to a peer that requests a value.
func (s *Sync) serveValue(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
	var req valueRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, fmt.Errorf("settings: value request: %w", err)
	}
	snapshot, ok := s.replica.Snapshot(req.Team)
	if !ok || snapshot.Position.Before(req.From) {
		return encode(valueAnswer{}), nil
	}
	select {
	case s.serveSlots <- struct{}{}:
		defer func() { <-s.serveSlots }()
	default:
		return encode(valueAnswer{Busy: true}), nil
	}
	s.count(func(st *Stats) { st.Served++ })
	return encode(valueAnswer{Found: true, Revision: snapshot.Position.Revision, Data: snapshot.data}), nil
}

// serveIndex responds to a peer with the positions in force on this router.
func (s *Sync) serveIndex(context.Context, coordination.Instance, []byte) ([]byte, error) {
	teams := lo.Map(s.replica.Snapshots(), func(snapshot *Snapshot, _ int) indexEntry {
		return indexEntry{Team: snapshot.Team, Position: snapshot.Position}
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
