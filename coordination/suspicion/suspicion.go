// Package suspicion limits the damage done by requests that crash every
// endpoint they run on. Requests that merely ran on the same endpoint are
// delayed briefly and lose nothing else.
//
// When an endpoint dies, each request that was running on it becomes a suspect,
// identified by its content [Fingerprint]. All routers agree on one router as
// the [Gate] of a fingerprint. The gate admits one copy of a suspect at a time,
// whichever router it arrives at, and placement keeps other suspects off the
// endpoint of that copy. A suspect that finishes is cleared. A suspect whose
// endpoint dies again is convicted, and all routers then refuse it at once.
// One crash that may well have had another cause is excused: during the loss of
// many endpoints, of a cold endpoint, or of a request that has just run to
// completion. Records spread by gossip and expire.
//
// Requests that have little in common may crash endpoints by one part of their prompts.
// A second set of tables, gates and guards, with [Config.Parts], judges parts in place of
// requests: a [TrackedPrompt] tracks all that a request shares with others.
package suspicion

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Fingerprint identifies the content of a request, independent of its chat,
// client account and pool.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the parts of a request that an
// endpoint processes: the roles and texts of a conversation, in order, or the
// body of a call.
func FingerprintOf(parts ...string) Fingerprint {
	d := xxhash.New()
	addParts(d, parts)
	return Fingerprint(d.Sum64())
}

// FingerprintOfCall returns the fingerprint of the parts and of a body, given in segments,
// as FingerprintOf does of the parts and the body in one piece.
func FingerprintOfCall(body [][]byte, parts ...string) Fingerprint {
	d := xxhash.New()
	addParts(d, parts)
	n := 0
	for _, segment := range body {
		n += len(segment)
	}
	addLength(d, n)
	for _, segment := range body {
		_, _ = d.Write(segment) // cannot fail
	}
	return Fingerprint(d.Sum64())
}

func addParts(d *xxhash.Digest, parts []string) {
	for _, p := range parts {
		addLength(d, len(p))
		_, _ = d.WriteString(p) // cannot fail
	}
}

// addLength adds the length of a part. It gives ("ab", "c") and ("a", "bc") different
// fingerprints.
func addLength(d *xxhash.Digest, n int) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(n))
	_, _ = d.Write(size[:]) // cannot fail
}

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Config holds the settings of crash suspicion. A zero field means its default.
type Config struct {
	// SuspectTTL is how long a request stays a suspect, 5 min by default.
	SuspectTTL time.Duration

	// ConvictTTL is how long a conviction lasts, 15 min by default.
	ConvictTTL time.Duration

	// Hold is how long after a crash no copy of its suspects starts, 1 s by
	// default. It has to be long enough for the record to reach every router
	// that may be running a copy without knowing of the crash.
	Hold time.Duration

	// LossWindow is how long after the loss of an endpoint a router asks the
	// gate about every request of the pool, 30 s by default.
	LossWindow time.Duration

	// MassLoss is the number of endpoints lost within MassWindow that indicates
	// a cause other than a request, such as the failure of an availability
	// zone. A crash during a mass loss is excused. Defaults are 4 and 500 ms.
	MassLoss   int
	MassWindow time.Duration

	// CompletionWindow is how long after a copy has run to completion a crash is
	// excused, 10 s by default. A popular request is then neither delayed nor
	// refused because an endpoint that ran it ended for another reason.
	CompletionWindow time.Duration

	// EvidenceTime is how long after an attempt without a complete response the death
	// of its endpoint counts as a crash, 3 s by default.
	EvidenceTime time.Duration

	// MaxRun is how long the gate regards a copy as running after its router
	// last renewed the claim, 1 min by default.
	MaxRun time.Duration

	// Limit is the maximum number of records, 4096 by default.
	Limit int

	// Always makes routers ask the gate about every request, not only after the
	// loss of an endpoint.
	Always bool

	// Parts makes fingerprints stand for parts of prompts. Many requests may share one,
	// so what tells a part that crashes endpoints from the others is that no request
	// with it completes. CompletionWindow is 5 min and Hold 500 ms by default then; MassLoss
	// and LossWindow mean nothing.
	Parts bool

	// MaxRefused is the maximum number of parts that are refused at a time, 8 by default.
	// If more crash endpoints, the cause is probably another one.
	MaxRefused int
}

// Topics returns the topics of the messages between routers.
func (c Config) Topics() Topics {
	if c.Parts {
		return Topics{Gate: TopicPartGate, Record: TopicPartRecord, Records: TopicPartRecords}
	}
	return Topics{Gate: TopicGate, Record: TopicRecord, Records: TopicRecords}
}

func (c Config) withDefaults() Config {
	if c.Parts {
		setDuration(&c.CompletionWindow, 5*time.Minute)
		setDuration(&c.Hold, crashSpacing) // so that the next crash counts
	}
	if c.MaxRefused <= 0 {
		c.MaxRefused = 8
	}
	setDuration(&c.SuspectTTL, 5*time.Minute)
	setDuration(&c.ConvictTTL, 15*time.Minute)
	setDuration(&c.Hold, time.Second)
	setDuration(&c.LossWindow, 30*time.Second)
	setDuration(&c.MassWindow, 500*time.Millisecond)
	setDuration(&c.CompletionWindow, 10*time.Second)
	setDuration(&c.EvidenceTime, 3*time.Second)
	setDuration(&c.MaxRun, time.Minute)
	if c.MassLoss <= 0 {
		c.MassLoss = 4
	}
	if c.Limit <= 0 {
		c.Limit = 4096
	}
	return c
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// UnixMillis is a Unix time in milliseconds.
type UnixMillis int64

func unixMillis(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Time returns m as a [time.Time].
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// Crash describes the death of an endpoint that was running the request.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	At          UnixMillis
	Alone       bool // no other suspect was running on the endpoint
	Excused     bool // may well have had another cause
}

func (c Crash) sameIncarnation(d Crash) bool {
	return c.Endpoint == d.Endpoint && c.Incarnation == d.Incarnation
}

const (
	// crashesToConvict is the number of endpoint crashes after which a request
	// is convicted.
	crashesToConvict = 2

	// lateCrashesToConvict is that number if crashes were found late and the request
	// never ran without other suspects when it crashed an endpoint.
	lateCrashesToConvict = 3

	// maxCrashes is the number of crashes kept in a record: the first and the last
	// ones. It exceeds crashesToConvict because some may turn out to be caused by
	// another request.
	maxCrashes = 16
)

// Record holds the known crashes of a fingerprint. Merging two records of the
// same fingerprint takes their union, so records may arrive in any order and
// any number of times. The zero Record has no crashes.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint,omitempty"`
	Cleared     UnixMillis  `cbor:"3,keyasint,omitempty"` // crashes up to this time do not count
	Expires     UnixMillis  `cbor:"4,keyasint"`
	// Late lists the crashes that were found some time after the request's attempt. The
	// request may have run elsewhere meanwhile, without being kept apart from others.
	Late []EndpointLifetime `cbor:"5,keyasint,omitempty"`
	// Served is when a router last saw a request of the pool of a part run to completion, as
	// far as routers have told its gate.
	Served UnixMillis `cbor:"6,keyasint,omitempty"`
	// Pool is the pool in which a part crashed an endpoint first.
	Pool coordination.Pool `cbor:"9,keyasint,omitempty"`
	// Trials is how many requests with a convicted part were let through to find out
	// whether it still crashes endpoints, the last one at Tried.
	Trials int        `cbor:"7,keyasint,omitempty"`
	Tried  UnixMillis `cbor:"8,keyasint,omitempty"`
}

// EndpointLifetime identifies one incarnation of an endpoint.
type EndpointLifetime struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
}

func (c Crash) lifetime() EndpointLifetime {
	return EndpointLifetime{Endpoint: c.Endpoint, Incarnation: c.Incarnation}
}

// State is the state of a fingerprint derived from its record.
type State int

// States of a fingerprint.
const (
	Clear     State = iota // no crash counts against it
	Suspect                // one crash counts, or a conviction is still on hold
	Convicted              // refused by all routers
	Exempt                 // a part that would be convicted, but too many are
)

// String returns the name of s used in logs and metrics.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Convicted:
		return "convicted"
	case Exempt:
		return "exempt"
	default:
		return "clear"
	}
}

// merge adds the content of s to r and reports whether r changed.
func (r *Record) merge(s Record) bool {
	before := *r
	r.Crashes = slices.Clone(r.Crashes) // copies of the record may share the array
	r.Cleared = max(r.Cleared, s.Cleared)
	r.Expires = max(r.Expires, s.Expires)
	for _, c := range s.Crashes {
		i := slices.IndexFunc(r.Crashes, c.sameIncarnation)
		if i < 0 {
			r.Crashes = append(r.Crashes, c)
			continue
		}
		r.Crashes[i].At = min(r.Crashes[i].At, c.At)
		r.Crashes[i].Alone = r.Crashes[i].Alone || c.Alone
		r.Crashes[i].Excused = r.Crashes[i].Excused || c.Excused
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.At <= r.Cleared })
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	if n := len(r.Crashes); n > maxCrashes {
		r.Crashes = slices.Delete(r.Crashes, maxCrashes/2, n-maxCrashes/2)
	}
	r.Served = max(r.Served, s.Served)
	r.Pool = cmp.Or(r.Pool, s.Pool)
	r.Trials, r.Tried = max(r.Trials, s.Trials), max(r.Tried, s.Tried)
	if r.Tried <= r.Cleared {
		r.Trials, r.Tried = 0, 0
	}
	r.Late = lo.Filter(lo.Union(r.Late, s.Late), func(l EndpointLifetime, _ int) bool {
		return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.lifetime() == l })
	})
	return r.Cleared != before.Cleared || r.Served != before.Served || r.Trials != before.Trials || len(r.Late) != len(before.Late) || !slices.EqualFunc(r.Crashes, before.Crashes, equalCrashes)
}

func equalCrashes(a, b Crash) bool {
	return a.sameIncarnation(b) && a.Alone == b.Alone && a.Excused == b.Excused
}
