package settings

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Verdict is the result of offering a value to a Replica.
type Verdict int

// The verdicts of a replica.
const (
	// Applied means that the value is now in force.
	Applied Verdict = iota
	// Known means that the value was already offered.
	Known
	// Older means that the value is before the one in force: a stale read, or
	// an old value that was restored directly in the platform.
	Older
	// Invalid means that the value failed validation; the last valid one
	// stays in force.
	Invalid
	// Removed means that the key was deleted; the last valid value stays in
	// force.
	Removed
)

var verdictNames = [...]string{"applied", "known", "older", "invalid", "removed"}

// String returns the name of v that is used in logs and metrics.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	i := slices.Index(verdictNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("settings: unknown verdict %q", text)
	}
	*v = Verdict(i)
	return nil
}

// Snapshot holds the settings of one team that are in force. It is immutable.
type Snapshot struct {
	Team     coordination.Team
	Position Position
	Settings *TeamSettings
	Value    Value
	Since    time.Time // time at which they came into force on this router

	data []byte // the encoded value, served to peers
}

// Refusal describes a value in the platform that was not applied.
type Refusal struct {
	Verdict  Verdict     `json:"verdict"`
	Revision kv.Revision `json:"revision"`
	Problems []Problem   `json:"problems,omitempty"`
	Time     time.Time   `json:"time"`
}

// TeamStatus reports what a router has in force for one team.
type TeamStatus struct {
	Team     coordination.Team `json:"team"`
	Position Position          `json:"in_force"` // zero if nothing is
	ChangeID ChangeID          `json:"change_id,omitempty"`
	Since    time.Time         `json:"since,omitzero"`
	Refused  *Refusal          `json:"refused,omitempty"`
}

// Observation describes the result of an offer to the observers of a Replica.
type Observation struct {
	Team     coordination.Team
	Verdict  Verdict
	Revision kv.Revision // of the offered value, or of the deletion
	Problems []Problem
	InForce  *Snapshot // after the offer; nil if nothing is in force
}

// Replica holds the settings of all teams that are in force on one router. It
// applies only values that are after the one in force, so it never reverts,
// regardless of the order in which values arrive. The zero value is ready to
// use, and a Replica is safe for concurrent use.
type Replica struct {
	// notifyMu is held from a decision until its observers were called, so
	// that they see decisions in order.
	notifyMu  sync.Mutex
	mu        sync.RWMutex
	teams     map[coordination.Team]*teamState
	observers []func(Observation)
}

// teamState is the state of one team in a Replica.
type teamState struct {
	snapshot *Snapshot
	refused  *Refusal
}

// Observe registers fn to be called, in order, after each offer or removal that
// changes what is in force or refused. fn must not call Offer or Remove.
// Observers must be registered before the first offer.
func (r *Replica) Observe(fn func(Observation)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observers = append(r.observers, fn)
}

// Offer applies the value of a team, as read from the platform or from a peer, if
// it is valid and after the one in force.
func (r *Replica) Offer(team coordination.Team, pair kv.Pair) Verdict {
	if snapshot, ok := r.Snapshot(team); ok && snapshot.Position.Revision == pair.Revision {
		return Known // avoid parsing it again
	}
	v, parsed, problems := readPair(team, pair)
	offered := &Snapshot{
		Team:     team,
		Position: Position{Sequence: v.Change.Sequence, Revision: pair.Revision},
		Settings: parsed,
		Value:    v,
		Since:    time.Now(),
		data:     pair.Value,
	}
	return r.decide(offered, problems)
}

// readPair decodes and parses the value of pair, or returns its problems.
func readPair(team coordination.Team, pair kv.Pair) (Value, *TeamSettings, []Problem) {
	v, err := decodeValue(pair.Value)
	if err != nil {
		return Value{}, nil, []Problem{{File: string(team), Message: err.Error()}}
	}
	parsed, problems := Parse(string(team), []byte(v.Text))
	return v, parsed, problems
}

// decide applies or refuses the offered value and notifies the observers.
func (r *Replica) decide(offered *Snapshot, problems []Problem) Verdict {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	st := r.state(offered.Team)
	verdict := st.evaluate(offered, problems)
	changed := true
	switch verdict {
	case Known:
		changed = false
	case Applied:
		st.apply(offered)
	default:
		changed = st.refuse(verdict, offered.Position.Revision, problems)
	}
	o := Observation{Team: offered.Team, Verdict: verdict, Revision: offered.Position.Revision, Problems: problems, InForce: st.snapshot}
	observers := r.observers
	r.mu.Unlock()
	if changed {
		notify(observers, o)
	}
	return verdict
}

// evaluate returns the verdict on offered and ensures that settings never revert.
// A value without valid settings may have no sequence, so it is compared by
// revision alone: Older if its revision is below the one in force, otherwise
// Invalid.
func (st *teamState) evaluate(offered *Snapshot, problems []Problem) Verdict {
	revision := offered.Position.Revision
	if st.refused != nil && st.refused.Revision == revision {
		return Known
	}
	inForce := st.position()
	switch {
	case offered.Settings == nil && revision < inForce.Revision:
		return Older
	case offered.Settings == nil || len(problems) > 0:
		return Invalid
	case inForce == offered.Position:
		return Known
	case !inForce.Before(offered.Position):
		return Older
	default:
		return Applied
	}
}

func (st *teamState) position() Position {
	if st.snapshot == nil {
		return Position{}
	}
	return st.snapshot.Position
}

func (st *teamState) apply(s *Snapshot) {
	st.snapshot = s
	if st.refused != nil && st.refused.Revision < s.Position.Revision {
		st.refused = nil
	}
}

// refuse records the newest value in the platform that was not applied, and
// reports whether it recorded this one. A value at or below the revision in
// force is a stale read and not recorded.
func (st *teamState) refuse(verdict Verdict, revision kv.Revision, problems []Problem) bool {
	if revision <= st.position().Revision || st.refused != nil && revision < st.refused.Revision {
		return false
	}
	st.refused = &Refusal{Verdict: verdict, Revision: revision, Problems: problems, Time: time.Now()}
	return true
}

// Remove records that the team's key was found deleted at revision. The settings
// in force stay: an accepted change applies until another is accepted.
func (r *Replica) Remove(team coordination.Team, revision kv.Revision) Verdict {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	st, known := r.teams[team]
	if !known || st.snapshot == nil || st.refused != nil && st.refused.Verdict == Removed || revision <= st.snapshot.Position.Revision {
		r.mu.Unlock()
		return Known
	}
	st.refuse(Removed, revision, nil)
	o := Observation{Team: team, Verdict: Removed, Revision: revision, InForce: st.snapshot}
	observers := r.observers
	r.mu.Unlock()
	notify(observers, o)
	return Removed
}

func notify(observers []func(Observation), o Observation) {
	for _, fn := range observers {
		fn(o)
	}
}

// state returns the state of team, which it creates if needed. The caller must
// hold r.mu.
func (r *Replica) state(team coordination.Team) *teamState {
	if r.teams == nil {
		r.teams = make(map[coordination.Team]*teamState)
	}
	st, ok := r.teams[team]
	if !ok {
		st = &teamState{}
		r.teams[team] = st
	}
	return st
}

// Team returns the settings of team name that are in force, if any.
func (r *Replica) Team(name coordination.Team) (*TeamSettings, bool) {
	s, ok := r.Snapshot(name)
	if !ok {
		return nil, false
	}
	return s.Settings, true
}

// Snapshot returns what is in force for team, if anything.
func (r *Replica) Snapshot(team coordination.Team) (*Snapshot, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	st, ok := r.teams[team]
	if !ok || st.snapshot == nil {
		return nil, false
	}
	return st.snapshot, true
}

// Snapshots returns what is in force for all teams, sorted by team name.
func (r *Replica) Snapshots() []*Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return lo.FilterMap(r.teamNames(), func(n coordination.Team, _ int) (*Snapshot, bool) {
		s := r.teams[n].snapshot
		return s, s != nil
	})
}

// Status returns what is in force and what was refused for all teams, sorted by
// team name.
func (r *Replica) Status() []TeamStatus {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return lo.Map(r.teamNames(), func(n coordination.Team, _ int) TeamStatus { return r.teams[n].status(n) })
}

func (st *teamState) status(team coordination.Team) TeamStatus {
	s := TeamStatus{Team: team, Refused: st.refused}
	if st.snapshot != nil {
		s.Position = st.snapshot.Position
		s.ChangeID = st.snapshot.Value.Change.ID
		s.Since = st.snapshot.Since
	}
	return s
}

func (r *Replica) teamNames() []coordination.Team {
	return slices.Sorted(maps.Keys(r.teams))
}

// Fingerprint returns a hash of all teams' positions in force. Replicas with equal
// fingerprints have the same settings in force.
func (r *Replica) Fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range r.Snapshots() {
		_, _ = h.WriteString(string(s.Team))
		var b [17]byte
		binary.BigEndian.PutUint64(b[1:], s.Position.Sequence)
		binary.BigEndian.PutUint64(b[9:], uint64(s.Position.Revision))
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
