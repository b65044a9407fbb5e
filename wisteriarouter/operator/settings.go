package operator

import (
	"context"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
	"wisteriaspool/wisteriarouter/event"
)

// Settings holds a team's settings as stored in the platform, or those in force
// on this router if the platform cannot be read.
type Settings struct {
	Team     coordination.Team `json:"team"`
	Text     string            `json:"text"`
	Revision kv.Revision       `json:"revision" doc:"The base of the next change."`
	// Fresh is false if the platform did not answer or has lost the key. Text is
	// then the one in force on the router that answered.
	Fresh   bool              `json:"fresh"`
	Change  *settings.Change  `json:"change,omitempty"`
	InForce settings.Position `json:"in_force" doc:"What the router that answered has in force."`
	Refused *settings.Refusal `json:"refused,omitempty" doc:"A value that stands in the platform and is not in force."`
	// InForceText is the text to base a change on if the stored value is refused.
	InForceText string `json:"in_force_text,omitempty" doc:"The text in force, if a value that stands in the platform is refused."`
}

type teamInput struct {
	Team string `path:"team" maxLength:"128"`
}

type settingsOutput struct{ Body Settings }

func (s *Server) getSettings(ctx context.Context, in *teamInput) (*settingsOutput, error) {
	team := coordination.Team(in.Team)
	current, fresh, failure := s.readSettings(ctx, team)
	if failure != nil {
		return nil, failure
	}
	return &settingsOutput{Body: s.settingsFor(team, current, fresh)}, nil
}

// readSettings reads a team's settings. It reports whether they come from the
// platform rather than from this router's replica.
func (s *Server) readSettings(ctx context.Context, team coordination.Team) (settings.Current, bool, *Failure) {
	if !settings.ValidTeam(team) {
		return settings.Current{}, false, &Failure{Code: CodeUnknownTeam, Message: "this is no name of a team"}
	}
	current, fresh := s.Editor.Read(ctx, team)
	switch {
	case current.Revision == 0 && fresh:
		return current, fresh, &Failure{Code: CodeUnknownTeam, Message: "the team has no settings; put the first ones with base revision 0"}
	case current.Revision == 0:
		return current, fresh, &Failure{Code: CodeUnavailable, Message: "the platform does not answer, and nothing is in force here", RetryAfterMs: 1000}
	}
	return current, fresh, nil
}

// settingsFor combines the given settings with the state of this router's
// replica.
func (s *Server) settingsFor(team coordination.Team, current settings.Current, fresh bool) Settings {
	v := Settings{Team: team, Text: current.Text, Revision: current.Revision, Fresh: fresh}
	if current.Value != nil {
		v.Change = &current.Value.Change
	}
	for _, st := range s.Replica.Status() {
		if st.Team == team {
			v.InForce, v.Refused = st.Position, st.Refused
		}
	}
	if snap, ok := s.Replica.Snapshot(team); ok && v.Refused != nil {
		v.InForceText = snap.Value.Text
	}
	return v
}

type putInput struct {
	Team string `path:"team" maxLength:"128"`
	Body struct {
		Text         string `json:"text" doc:"The settings, in INI."`
		BaseRevision int64  `json:"base_revision" doc:"The revision that the change starts from; 0 for a new team."`
		ChangeID     string `json:"change_id" doc:"A UUIDv7; the same one for every try of this change."`
		Author       string `json:"author"`
		Reason       string `json:"reason"`
	}
}

// Accepted is the response to a change that has been stored durably.
type Accepted struct {
	Team     coordination.Team `json:"team"`
	Revision kv.Revision       `json:"revision"`
	Sequence uint64            `json:"sequence"`
	Repeated bool              `json:"repeated" doc:"Whether an earlier try of the same change was accepted."`
}

type acceptedOutput struct{ Body Accepted }

func (s *Server) putSettings(ctx context.Context, in *putInput) (*acceptedOutput, error) {
	p := settings.Put{
		Team:   coordination.Team(in.Team),
		Text:   in.Body.Text,
		Base:   kv.Revision(in.Body.BaseRevision),
		ID:     settings.ChangeID(in.Body.ChangeID),
		Author: in.Body.Author,
		Reason: in.Body.Reason,
	}
	out := s.Editor.Put(ctx, p)
	s.log(p, out)
	if out.Status != settings.Accepted {
		return nil, s.failure(p, out)
	}
	return &acceptedOutput{Body: Accepted{
		Team: p.Team, Revision: out.Position.Revision, Sequence: out.Position.Sequence, Repeated: out.Repeated,
	}}, nil
}

// failure converts the outcome of a rejected or uncertain change to a Failure.
func (s *Server) failure(p settings.Put, out settings.Outcome) *Failure {
	f := &Failure{RetryAfterMs: out.RetryAfter.Milliseconds()}
	switch out.Status {
	case settings.Conflict:
		current := s.settingsFor(p.Team, out.Current, true)
		f.Code, f.Current, f.Diff = CodeConflict, &current, out.Diff
		f.Message = "another change stands; nothing was written. The difference leads from it to yours"
	case settings.Rejected:
		f.Code, f.Problems = CodeInvalid, out.Problems
		f.Message = "the change has problems; nothing was written"
	case settings.Unavailable:
		f.Code = CodeUnavailable
		f.Message = "the platform could not be reached; nothing was written. The settings in force stay"
	default:
		f.Code = CodeUnknown
		f.Message = "no answer came in time; the change may or may not be accepted. Put it again with the same change id"
	}
	return f
}

func (s *Server) log(p settings.Put, out settings.Outcome) {
	fields := []event.Field{
		event.F("team", p.Team), event.F("change-id", p.ID), event.F("author", p.Author), event.F("base", p.Base),
	}
	if out.Status == settings.Accepted {
		s.Log.Emit(event.SettingsChanged, append(fields, event.F("revision", out.Position.Revision), event.F("reason", p.Reason))...)
		return
	}
	s.Log.Emit(event.SettingsRejected, append(fields, event.F("outcome", out.Status.String()))...)
}

// History is the change history of a team's settings.
type History struct {
	Team    coordination.Team `json:"team"`
	Fresh   bool              `json:"fresh"`
	Entries []settings.Entry  `json:"entries" doc:"Newest first."`
}

type historyOutput struct{ Body History }

func (s *Server) getHistory(ctx context.Context, in *teamInput) (*historyOutput, error) {
	team := coordination.Team(in.Team)
	current, fresh, failure := s.readSettings(ctx, team)
	if failure != nil {
		return nil, failure
	}
	h := History{Team: team, Fresh: fresh}
	if current.Value != nil {
		h.Entries = current.Value.History(current.Revision)
	}
	// A value that was written without the routers may be outdated or
	// unreadable and so lack later changes. The settings in force still have
	// them in their history.
	if snap, ok := s.Replica.Snapshot(team); ok && olderOrUnreadable(current, snap) {
		h.Entries = snap.Value.History(snap.Position.Revision)
	}
	return &historyOutput{Body: h}, nil
}

// olderOrUnreadable reports whether the stored value cannot be read or is older
// than the settings in force.
func olderOrUnreadable(current settings.Current, snap *settings.Snapshot) bool {
	return current.Value == nil || current.Value.Change.Sequence < snap.Position.Sequence
}
