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

// Fingerprint binds an attempt to the team, the client account and the body
// of the request that it serves.
type Fingerprint string

const randomBytes = 16

// errMalformedAttempt is the error of an id that no router has made.
var errMalformedAttempt = errors.New("engine: malformed attempt id")

// NewAttempt returns an id for a try at the endpoint. A caller who has lost
// its router shows the id to another one, which reads the endpoint from it and
// refuses a request with another fingerprint: an id that leaks does not give
// away the answer to somebody else's request.
func NewAttempt(e coordination.Endpoint, f Fingerprint) coordination.Attempt {
	var b [randomBytes]byte
	// Read of crypto/rand never fails: the runtime stops the process instead.
	_, _ = rand.Read(b[:])
	return coordination.Attempt(string(e) + "-" + hex.EncodeToString(b[:]) + "-" + string(f))
}

// ParseAttempt returns the endpoint and the fingerprint of an id.
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

// EventID names one event of a stream: an attempt and the tokens delivered up
// to and including the event.
type EventID struct {
	Attempt coordination.Attempt
	Offset  int
}

// String returns the id as it stands in an SSE event.
func (id EventID) String() string {
	return string(id.Append(nil))
}

// Append appends the id as it stands in an SSE event to b.
func (id EventID) Append(b []byte) []byte {
	b = append(b, id.Attempt...)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(id.Offset), 10)
}

// ParseEventID is the inverse of EventID.String.
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
