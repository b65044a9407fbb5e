package settings

import (
	"fmt"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Put is a request to change a team's settings.
type Put struct {
	Team   coordination.Team
	Text   string
	Base   kv.Revision // revision that the author edited; 0 for a new team
	ID     ChangeID    // the same for every retry of the change
	Author string
	Reason string
}

// PutStatus is the result of a Put.
type PutStatus int

// The results of a Put.
const (
	// Undecided means that it is unknown whether the change was accepted.
	// Repeating the Put with the same ID resolves it.
	Undecided PutStatus = iota
	// Accepted means that the change was written durably.
	Accepted
	// Conflict means that the base is no longer the current revision; nothing
	// was written.
	Conflict
	// Rejected means that the request is invalid; nothing was written.
	Rejected
	// Unavailable means that the platform was unreachable, refused the call or
	// answered with stale data; nothing was written.
	Unavailable
)

// String returns the name of s that is used in responses, logs and metrics.
func (s PutStatus) String() string {
	names := [...]string{"unknown", "accepted", "conflict", "invalid", "unavailable"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Current is a team's current value in the platform or, if that cannot be read,
// the one in force on this router.
type Current struct {
	Revision kv.Revision
	Text     string
	Value    *Value // nil if the value has no valid change record
}

// position returns the position of c, whose Value must not be nil.
func (c Current) position() Position {
	return Position{Sequence: c.Value.Change.Sequence, Revision: c.Revision}
}

// Outcome is the result of a Put with its details.
type Outcome struct {
	Status     PutStatus
	Position   Position      // if Accepted
	Repeated   bool          // already accepted by an earlier Put with the same ID
	Problems   []Problem     // if Rejected
	Current    Current       // if Conflict
	Diff       string        // if Conflict, from Current to the text of the Put
	RetryAfter time.Duration // if Unavailable or Undecided
	Err        error         // cause, for logs
}

// problems validates p and returns all problems found.
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

// validLine reports whether s is a single non-blank line of at most limit bytes.
func validLine(s string, limit int) bool {
	return strings.TrimSpace(s) != "" && len(s) <= limit && !strings.ContainsAny(s, "\r\n")
}

// putBase is the state that a change is based on.
type putBase struct {
	expect   kv.Revision // current revision of the key; 0 if it does not exist
	previous kv.Revision // recorded in the change as the revision it replaced
	newest   Current     // the latest known value with a valid change record
	inForce  Position
}

// updateNewest replaces b.newest by c if c is later.
func (b *putBase) updateNewest(c Current) {
	if c.Value == nil {
		return
	}
	if b.newest.Value == nil || b.newest.position().Before(c.position()) {
		b.newest = c
	}
}

// newValue returns the value that applies p on top of b.
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

// nextSequence returns a sequence greater than that of every earlier change. The
// replaced revision accounts for changes that this router has missed, the
// sequence in force for changes that the platform has lost.
func (b putBase) nextSequence() uint64 {
	highest := max(b.inForce.Sequence+1, uint64(b.previous), uint64(b.expect))
	if b.newest.Value != nil {
		highest = max(highest, b.newest.Value.Change.Sequence+1)
	}
	return highest
}
