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

// Prefix is the key prefix of all teams' settings in the platform's key-value
// service.
const Prefix = "/wisteriaspool/settings/"

// Size limits of one stored value. The platform accepts values of up to 1 MB.
const (
	MaxText       = 64 << 10  // bytes of a team's settings text
	maxValueBytes = 192 << 10 // bytes of an encoded value
	maxEarlier    = 64        // earlier change records kept with the latest
	maxDiff       = 1 << 10   // bytes of the diff kept in a change record
	maxReason     = 500       // bytes of a reason
	maxAuthor     = 100       // bytes of an author's name
)

// ChangeID identifies one change across all its retries. It is a UUIDv7 in
// canonical lowercase form.
type ChangeID string

// NewChangeID returns a new random ID.
func NewChangeID() ChangeID {
	return ChangeID(uuid.Must(uuid.NewV7()).String())
}

// Valid reports whether id is a UUIDv7 in canonical lowercase form.
func (id ChangeID) Valid() bool {
	u, err := uuid.Parse(string(id))
	return err == nil && u.Version() == 7 && u.String() == string(id)
}

// Digest is the SHA-256 of a settings text, in hexadecimal.
type Digest string

// DigestOf returns the digest of text.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}

// Change is the audit record of one accepted change.
type Change struct {
	ID ChangeID `json:"change_id"`
	// Sequence increases with every change of a team. It is greater than the
	// sequence of the preceding change and at least the revision that the
	// change replaced. An old value that is restored directly in the platform
	// therefore sorts before every later change.
	Sequence uint64 `json:"sequence"`
	// Previous is the revision that the change replaced, zero for a new team.
	Previous kv.Revision `json:"previous_revision"`
	Author   string      `json:"author"`
	Reason   string      `json:"reason"`
	Time     time.Time   `json:"time"`
	Digest   Digest      `json:"digest"`
	Diff     string      `json:"diff,omitempty"`
}

// Entry is a Change and the revision at which it was written.
type Entry struct {
	Change
	Revision kv.Revision `json:"revision"`
}

// Value is the value that the platform stores for one team.
type Value struct {
	Text    string  `json:"text"`
	Change  Change  `json:"change"`
	Earlier []Entry `json:"earlier,omitempty"` // newest first
}

// Position orders the accepted values of one team, by sequence and then by
// revision. The zero Position is before all others.
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

// Key returns the key under which the platform stores the settings of team.
func Key(team coordination.Team) string { return Prefix + string(team) }

// TeamOf returns the team that key belongs to, and whether key is a valid
// settings key.
func TeamOf(key string) (coordination.Team, bool) {
	name, found := strings.CutPrefix(key, Prefix)
	return coordination.Team(name), found && ValidTeam(coordination.Team(name))
}

// ValidTeam reports whether team is a valid team name: a name as
// schema.ValidName accepts it, without slashes.
func ValidTeam(team coordination.Team) bool {
	return schema.ValidName(string(team)) && !strings.Contains(string(team), "/")
}

var errInvalidRecord = errors.New("settings: change record is missing or does not match the text")

// decodeValue decodes a stored value and verifies its change record.
func decodeValue(data []byte) (Value, error) {
	var v Value
	if err := json.Unmarshal(data, &v); err != nil {
		return Value{}, fmt.Errorf("settings: value is not valid JSON: %w", err)
	}
	if v.Change.Sequence == 0 || v.Change.ID == "" || v.Change.Digest != DigestOf(v.Text) {
		return Value{}, errInvalidRecord
	}
	return v, nil
}

// encode returns v as the platform stores it. It drops the oldest change
// records until the size limits hold, and fails if the text alone exceeds them.
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

// History returns the changes recorded in v, newest first. The revision is that
// of v itself.
func (v Value) History(revision kv.Revision) []Entry {
	return append([]Entry{{Change: v.Change, Revision: revision}}, v.Earlier...)
}

// find returns the entry of id in the history of v, which has the given
// revision.
func (v Value) find(id ChangeID, revision kv.Revision) (Entry, bool) {
	for _, e := range v.History(revision) {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}
