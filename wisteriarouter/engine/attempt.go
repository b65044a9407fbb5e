package engine

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"wisteriaspool/coordination"
)

// Fingerprint identifies the team, the client account and the body of the
// request that an attempt serves.
type Fingerprint string

// randomBytes is the number of random bytes in an attempt id.
const randomBytes = 16

// errMalformedAttempt means that an id does not have the form that NewAttempt
// produces.
var errMalformedAttempt = errors.New("engine: malformed attempt id")

// NewAttempt returns a new id for an attempt at the endpoint. A caller that has
// lost its router presents the id to another router, which reads the endpoint
// from it and refuses a request with a different fingerprint, so that a leaked
// id alone does not give access to the answer.
func NewAttempt(e coordination.Endpoint, f Fingerprint) coordination.Attempt {
	var b [randomBytes]byte
	// crypto/rand.Read never returns an error: on failure it crashes the
	// program.
	_, _ = rand.Read(b[:])
	return coordination.Attempt(string(e) + "-" + hex.EncodeToString(b[:]) + "-" + string(f))
}

// ParseAttempt returns the endpoint and the fingerprint encoded in an id, or an
// error if the id is malformed.
func ParseAttempt(id coordination.Attempt) (coordination.Endpoint, Fingerprint, error) {
	rest, f, ok := cutLast(string(id), "-")
	if !ok {
		return "", "", errMalformedAttempt
	}
	e, random, ok := cutLast(rest, "-")
	if !ok || e == "" || f == "" || len(random) != 2*randomBytes {
		return "", "", errMalformedAttempt
	}
	return coordination.Endpoint(e), Fingerprint(f), nil
}

// EventID identifies one event of a stream by its attempt and by the number of
// tokens delivered up to and including the event.
type EventID struct {
	Attempt coordination.Attempt
	Offset  int
}

// String returns the id in the form used in the id field of an SSE event.
func (id EventID) String() string {
	return string(id.Append(nil))
}

// Append appends the form of the id that String returns to b.
func (id EventID) Append(b []byte) []byte {
	b = append(b, id.Attempt...)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(id.Offset), 10)
}

// ParseEventID parses the form that EventID.String returns. It returns an error
// if the offset is missing, negative or not a number. It does not validate the
// attempt id.
func ParseEventID(s string) (EventID, error) {
	attempt, offset, ok := cutLast(s, ".")
	if !ok {
		return EventID{}, fmt.Errorf("engine: event id %q has no offset", s)
	}
	n, err := strconv.Atoi(offset)
	if err != nil || n < 0 {
		return EventID{}, fmt.Errorf("engine: event id %q has no valid offset", s)
	}
	return EventID{Attempt: coordination.Attempt(attempt), Offset: n}, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
