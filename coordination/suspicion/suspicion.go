// Package suspicion keeps requests that crash the endpoints they run on from
// taking one endpoint after another, while the requests that merely ran beside
// them lose nothing but a little time.
//
// When an endpoint dies, each request that it ran is a suspect by its content
// [Fingerprint]. One router, on which all agree, is the [Gate] of a
// fingerprint: it lets one copy of a suspect run at a time, wherever its caller
// sends it, and placement lets no other suspect run beside it. A suspect that
// finishes is cleared; one whose endpoint dies again is convicted, and is then
// refused at once everywhere. Records spread as rumours and expire.
package suspicion

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspool/coordination"
)

// Fingerprint identifies the content of a request, whichever chat, account or
// pool it comes with.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the parts of a request that an
// endpoint computes on: the roles and texts of a conversation, in order, or the
// body of a call.
func FingerprintOf(parts ...string) Fingerprint {
	d := xxhash.New()
	var size [8]byte
	for _, p := range parts {
		// The length keeps ("ab", "c") and ("a", "bc") apart.
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(p)
	}
	return Fingerprint(d.Sum64())
}

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Config holds the settings of suspicion. A zero field means its default.
type Config struct {
	// SuspectTTL is how long a suspicion lasts, default 5 min.
	SuspectTTL time.Duration

	// ConvictTTL is how long a conviction lasts, default 15 min.
	ConvictTTL time.Duration

	// Hold is how long after a crash no copy of its suspects starts: long
	// enough for the rumour to reach every router that may run a copy without
	// knowing; default 1 s.
	Hold time.Duration

	// LossWindow is how long after the loss of an endpoint a router asks the
	// gate about every request of the pool, default 30 s.
	LossWindow time.Duration

	// MassLoss is the number of endpoints that, lost within MassWindow, show
	// that something other than a request takes them, such as the loss of a
	// zone. A fingerprint is forgiven one crash in such a moment. Defaults 4
	// and 500 ms.
	MassLoss   int
	MassWindow time.Duration

	// MaxRun is how long a copy may run without its entry renewing the claim,
	// default 1 min.
	MaxRun time.Duration

	// Limit is the number of records kept, default 4096.
	Limit int

	// Always makes routers ask the gate about every request, not only after
	// the loss of an endpoint.
	Always bool
}

func (c Config) withDefaults() Config {
	setDuration(&c.SuspectTTL, 5*time.Minute)
	setDuration(&c.ConvictTTL, 15*time.Minute)
	setDuration(&c.Hold, time.Second)
	setDuration(&c.LossWindow, 30*time.Second)
	setDuration(&c.MassWindow, 500*time.Millisecond)
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

// UnixMillis is a time in milliseconds since 1970.
type UnixMillis int64

func unixMillis(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Time returns m as a time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// Crash is the death of an endpoint that ran the request.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    coordination.Endpoint
	Incarnation coordination.Incarnation
	At          UnixMillis
	Alone       bool // it was the only suspect there
	Mass        bool // many endpoints died at that moment
}

func (c Crash) incarnationKey() incarnationKey {
	return incarnationKey{endpoint: c.Endpoint, incarnation: c.Incarnation}
}

func (c Crash) sameIncarnation(d Crash) bool {
	return c.Endpoint == d.Endpoint && c.Incarnation == d.Incarnation
}

const (
	// crashesToConvict is the number of endpoints that a request may take.
	crashesToConvict = 2

	// maxCrashes is the number of crashes kept in a record. Some may turn out
	// to be another request's doing.
	maxCrashes = 4
)

// Record is what is known against a fingerprint. Two records of the same
// fingerprint are merged by union, so they may spread in any order and any
// number of times. The zero record knows nothing.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint,omitempty"`
	Cleared     UnixMillis  `cbor:"3,keyasint,omitempty"` // of all crashes until then
	Expires     UnixMillis  `cbor:"4,keyasint"`
}

// State is what follows from the records.
type State int

// The states of a fingerprint.
const (
	Clear State = iota
	Suspect
	Convicted
)

// String returns the name of s as logs and metrics show it.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Convicted:
		return "convicted"
	default:
		return "clear"
	}
}

// merge adds what s knows and reports whether that was news.
func (r *Record) merge(s Record) bool {
	before := *r
	r.Crashes = slices.Clone(r.Crashes) // copies of the record may share it
	r.Cleared = max(r.Cleared, s.Cleared)
	r.Expires = max(r.Expires, s.Expires)
	for _, c := range s.Crashes {
		i := slices.IndexFunc(r.Crashes, c.sameIncarnation)
		if i < 0 {
			r.Crashes = append(r.Crashes, c)
			continue
		}
		r.Crashes[i].Alone = r.Crashes[i].Alone || c.Alone
		r.Crashes[i].Mass = r.Crashes[i].Mass && c.Mass
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.At <= r.Cleared })
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
	return r.Cleared != before.Cleared || !slices.EqualFunc(r.Crashes, before.Crashes, equalCrashes)
}

func equalCrashes(a, b Crash) bool {
	return a.sameIncarnation(b) && a.Alone == b.Alone && a.Mass == b.Mass
}
