package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings/schema"
)

// Prefix is the key under which the settings of all teams stand.
const Prefix = "/wisteriaspool/settings/"

// Bounds of one value. The platform holds values up to a megabyte.
const (
	MaxText       = 64 << 10  // bytes of a team's settings
	maxValueBytes = 192 << 10 // bytes of an encoded value
	maxEarlier    = 64        // change records kept beside the last one
	maxDiff       = 1 << 10   // bytes of the difference kept in a change record
	maxReason     = 500       // bytes of a reason
	maxAuthor     = 100       // bytes of an author's name
)

// ChangeID identifies one change, however often it is sent. It is a UUIDv7.
type ChangeID string

// NewChangeID returns a fresh id.
func NewChangeID() ChangeID {
	return ChangeID(uuid.Must(uuid.NewV7()).String())
}

// Valid reports whether id is a UUIDv7.
func (id ChangeID) Valid() bool {
	u, err := uuid.Parse(string(id))
	return err == nil && u.Version() == 7 && u.String() == string(id)
}

// Digest is the SHA-256 of a text, in hexadecimal.
type Digest string

// DigestOf returns the digest of text.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}

// Change is the audit entry of one accepted change.
type Change struct {
	ID ChangeID `json:"change_id"`
	// Sequence rises with every change of a team. It is higher than that of
	// the change before and at least the revision that the change replaced,
	// so that a value put back past the routers is behind every later change.
	Sequence uint64 `json:"sequence"`
	// Previous is the revision that the change replaced.
	Previous kv.Revision `json:"previous_revision"`
	Author   string      `json:"author"`
	Reason   string      `json:"reason"`
	Time     time.Time   `json:"time"`
	Digest   Digest      `json:"digest"`
	Diff     string      `json:"diff,omitempty"`
}

// Entry is a change with the revision at which it was written.
type Entry struct {
	Change
	Revision kv.Revision `json:"revision"`
}

// Value is what the platform holds for one team.
type Value struct {
	Text    string  `json:"text"`
	Change  Change  `json:"change"`
	Earlier []Entry `json:"earlier,omitempty"` // newest first
}

// Position orders the accepted values of one team. The zero Position is before
// all.
type Position struct {
	Sequence uint64      `json:"sequence" cbor:"1,keyasint"`
	Revision kv.Revision `json:"revision" cbor:"2,keyasint"`
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	if p.Sequence != q.Sequence {
		return p.Sequence < q.Sequence
	}
	return p.Revision < q.Revision
}

// Key returns the platform's key of a team.
func Key(team coordination.Team) string { return Prefix + string(team) }

// TeamOf returns the team of a key, and whether the key is a team's.
func TeamOf(key string) (coordination.Team, bool) {
	name, found := strings.CutPrefix(key, Prefix)
	return coordination.Team(name), found && ValidTeam(coordination.Team(name))
}

// ValidTeam reports whether team may be a team's name.
func ValidTeam(team coordination.Team) bool {
	return schema.ValidName(string(team)) && !strings.Contains(string(team), "/")
}

var errInvalidRecord = errors.New("settings: the change record is missing or does not fit the text")

// decodeValue reads what the platform holds.
func decodeValue(data []byte) (Value, error) {
	var v Value
	if err := json.Unmarshal(data, &v); err != nil {
		return Value{}, fmt.Errorf("settings: the value is no JSON: %w", err)
	}
	if v.Change.Sequence == 0 || v.Change.ID == "" || v.Change.Digest != DigestOf(v.Text) {
		return Value{}, errInvalidRecord
	}
	return v, nil
}

// encode returns v as the platform holds it, and drops the oldest change
// records as far as its bounds demand.
func (v Value) encode() ([]byte, error) {
	v.Earlier = v.Earlier[:min(len(v.Earlier), maxEarlier)]
	for {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("settings: encoding a value: %w", err)
		}
		if len(data) <= maxValueBytes {
			return data, nil
		}
		if len(v.Earlier) == 0 {
			return nil, fmt.Errorf("settings: the value has %d bytes; at most %d are allowed", len(data), maxValueBytes)
		}
		v.Earlier = v.Earlier[:len(v.Earlier)-1]
	}
}

// History returns the changes that v knows of, newest first, when v stands at
// revision.
func (v Value) History(revision kv.Revision) []Entry {
	return append([]Entry{{Change: v.Change, Revision: revision}}, v.Earlier...)
}

// find returns the entry of id when v stands at revision.
func (v Value) find(id ChangeID, revision kv.Revision) (Entry, bool) {
	for _, e := range v.History(revision) {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}
