package settings

import (
	"fmt"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Put asks for a change of a team's settings.
type Put struct {
	Team   coordination.Team
	Text   string
	Base   kv.Revision // the revision that the author started from; 0 for a new team
	ID     ChangeID    // the same one for every try of the same change
	Author string
	Reason string
}

// PutStatus tells how a Put ended.
type PutStatus int

// The ways in which a Put ends.
const (
	// Undecided means that the change may or may not be accepted; the same
	// Put with the same id settles it.
	Undecided PutStatus = iota
	// Accepted means that the change is durable.
	Accepted
	// Conflict means that another change stands on the base; nothing was
	// written.
	Conflict
	// Rejected means that the request has problems; nothing was written.
	Rejected
	// Unavailable means that the platform could not be reached or refused the
	// call; nothing was written.
	Unavailable
)

// String returns the name of s as answers, logs and metrics show it.
func (s PutStatus) String() string {
	names := [...]string{"unknown", "accepted", "conflict", "invalid", "unavailable"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Current is what stands in the platform for a team, or else is in force.
type Current struct {
	Revision kv.Revision
	Text     string
	Value    *Value // nil if the value has no readable change record
}

// position returns the position of s, which has a readable record.
func (s Current) position() Position {
	return Position{Sequence: s.Value.Change.Sequence, Revision: s.Revision}
}

// Outcome is how a Put ended.
type Outcome struct {
	Status     PutStatus
	Position   Position      // if Accepted
	Repeated   bool          // accepted by an earlier try with the same id
	Problems   []Problem     // if Rejected
	Current    Current       // if Conflicting
	Diff       string        // from Standing to the text of the Put
	RetryAfter time.Duration // if Unwritten or Undecided
	Err        error         // detail for logs
}

// problems returns what is wrong with p.
func (p Put) problems() []Problem {
	file := string(p.Team)
	var found []Problem
	add := func(key, message string) {
		found = append(found, Problem{File: file, Key: key, Section: "change", Message: message})
	}
	if !ValidTeam(p.Team) {
		add("team", fmt.Sprintf("%q is no name of a team; write letters, digits and . _ @ : -, at most 128", p.Team))
	}
	if !p.ID.Valid() {
		add("change-id", fmt.Sprintf("%q is no UUIDv7 in lower case", p.ID))
	}
	if !validLine(p.Author, maxAuthor) {
		add("author", fmt.Sprintf("say who makes the change, in one line of at most %d bytes", maxAuthor))
	}
	if !validLine(p.Reason, maxReason) {
		add("reason", fmt.Sprintf("say why the change is made, in one line of at most %d bytes", maxReason))
	}
	if p.Base < 0 {
		add("base-revision", "a revision is not negative; write 0 for a new team")
	}
	_, problems := Parse(file, []byte(p.Text))
	return append(found, problems...)
}

func validLine(s string, limit int) bool {
	return strings.TrimSpace(s) != "" && len(s) <= limit && !strings.ContainsAny(s, "\r\n")
}

// basis is what a change is put on.
type putBase struct {
	expect   kv.Revision // of the key; 0 if it does not exist
	previous kv.Revision // that the change record names
	newest   Current     // the latest change that is known
	inForce  Position
}

// raise makes s the latest change known to b if it is later.
func (b *putBase) updateNewest(s Current) {
	if s.Value == nil {
		return
	}
	if b.newest.Value == nil || b.newest.position().Before(s.position()) {
		b.newest = s
	}
}

// change returns the value that puts p on b.
func (b putBase) newValue(p Put, now time.Time) Value {
	v := Value{Text: p.Text, Change: Change{
		ID:       p.ID,
		Sequence: b.nextSequence(),
		Previous: b.previous,
		Author:   p.Author,
		Reason:   p.Reason,
		Time:     now.UTC().Truncate(time.Millisecond),
		Digest:   DigestOf(p.Text),
	}}
	if b.newest.Value != nil {
		v.Earlier = b.newest.Value.History(b.newest.Revision)
	}
	v.Change.Diff = truncateLines(Diff(b.newest.Text, p.Text), maxDiff)
	return v
}

// sequence returns a sequence above all that this router can know of. The
// revision replaced keeps it above changes that this router has missed, the
// sequence in force above those that the platform has lost.
func (b putBase) nextSequence() uint64 {
	highest := max(b.inForce.Sequence+1, uint64(b.previous), uint64(b.expect))
	if b.newest.Value != nil {
		highest = max(highest, b.newest.Value.Change.Sequence+1)
	}
	return highest
}
