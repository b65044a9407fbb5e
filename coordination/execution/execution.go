// Package execution makes an action run at most once, however often and
// through however many routers its caller repeats it.
//
// Before a router sends a non-idempotent action to an endpoint it creates an
// execution record in the platform's key-value service, under the caller's
// idempotency key. Whoever created the record is its holder, and the only one
// that may ever send the action. A record is never taken over: a holder that is
// silent may be frozen between its last check and the sending, and no timeout
// tells it from one that is dead. The price is that the action of a router that
// died stays unknown until its key expires.
//
// A Ledger holds what one router knows of its records; the records themselves
// live only in the service.
package execution

import (
	"context"
	"net/url"
	"time"

	"github.com/google/uuid"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
)

// Prefix is where the execution records stand, as prefix/team/key.
const Prefix = "/wisteriaspool/actions/"

// MaxKey is the longest idempotency key, in bytes.
const MaxKey = 255

// Key is the idempotency key that a caller gave to an action.
type Key string

// IssuedAt returns the time that a UUIDv7 carries, to the millisecond, and
// whether k is one.
func (k Key) IssuedAt() (time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Store is the part of the platform's key-value service that a Ledger uses.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
}

// Budget bounds the calls to the platform, as package budget does.
type Budget interface {
	// Allow takes one call from the budget, or tells when there will be one.
	Allow(class budget.Class) (ok bool, retryAfter time.Duration)
}

// Defaults of Config.
const (
	DefaultRetention       = 24 * time.Hour
	DefaultClockSkew       = time.Minute
	DefaultDispatchLimit   = 10 * time.Second
	DefaultCallTimeout     = time.Second
	DefaultCreateTimeout   = 2 * time.Second
	DefaultFinishWait      = 500 * time.Millisecond
	DefaultAnswerLimit     = 64 << 10
	DefaultMaxPendingBytes = 8 << 20
	DefaultMaxOpen         = 1024
	DefaultCreateAttempts  = 3
)

// Config is what a Ledger needs. Zero fields take the defaults.
type Config struct {
	Store       Store
	Budget      Budget // nil means no bound
	Holder      coordination.Instance
	Incarnation coordination.Incarnation

	// Retention is the longest time after its issue for which any team may
	// have a key accepted; records stand for longer than that. It has to be
	// the same on all routers, and stays when a team changes its rules: were
	// records kept for no longer than the rules of their time say, a team that
	// raised its retention would have keys accepted whose records are gone.
	Retention time.Duration
	// ClockSkew bounds how far the clock of any router or caller is off.
	ClockSkew time.Duration
	// DispatchLimit is the time from Begin in which a dispatch may start.
	DispatchLimit time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// CreateTimeout bounds the time that Begin takes.
	CreateTimeout time.Duration
	// FinishWait is how long Finish and Abandon hold up their caller while
	// the platform does not answer. The work goes on behind.
	FinishWait time.Duration
	// MaxOpen bounds the records that this router holds open at a time, those
	// included that it could not yet finish; it bounds memory in an outage.
	MaxOpen int
	// MaxPendingBytes bounds the bytes of answers that wait to be put on record.
	MaxPendingBytes int
	// CreateAttempts bounds the calls that create one record.
	CreateAttempts int
	// Observe, if set, is told of what metrics and logs should show.
	Observe func(Event)
}

func (c Config) withDefaults() Config {
	setDuration(&c.Retention, DefaultRetention)
	setDuration(&c.ClockSkew, DefaultClockSkew)
	setDuration(&c.DispatchLimit, DefaultDispatchLimit)
	setDuration(&c.CallTimeout, DefaultCallTimeout)
	setDuration(&c.CreateTimeout, DefaultCreateTimeout)
	setDuration(&c.FinishWait, DefaultFinishWait)
	setInt(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	setInt(&c.MaxOpen, DefaultMaxOpen)
	setInt(&c.CreateAttempts, DefaultCreateAttempts)
	if c.Observe == nil {
		c.Observe = func(Event) {}
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// leaseReusePeriod is how long one lease is used for new records.
func (c Config) leaseReusePeriod() time.Duration { return c.Retention / 4 }

// minRecordLifetime is how long a record stands at least, from its creation. A key is
// accepted from issue-ClockSkew until issue+Retention-ClockSkew by clocks that
// are off by ClockSkew at most, and the last creation may come DispatchLimit
// later: over that whole span the first record has to stand.
func (c Config) minRecordLifetime() time.Duration {
	return c.Retention + 2*c.ClockSkew + c.DispatchLimit
}

// leaseTTL is the lifetime of a lease, which is never renewed. A lease is
// chosen within bucket of its grant, and the record is created within
// DispatchLimit of that, or is not used.
func (c Config) leaseTTL() time.Duration {
	return c.minRecordLifetime() + c.leaseReusePeriod() + c.DispatchLimit
}

// Rules are what a team has set for its actions.
type Rules struct {
	Retention   time.Duration // how long a key is accepted; at most Config.Retention
	ClockSkew   time.Duration // how far clocks may differ; at most Config.ClockSkew
	AnswerLimit int           // the longest answer kept for repeats, in bytes
}

// Request identifies an action to be run at most once.
type Request struct {
	Team        coordination.Team
	Key         Key
	IssuedAt    time.Time   // when the caller made the key
	Fingerprint Fingerprint // of all that the caller asks for
	Rules       Rules       // the zero value takes Config's limits and DefaultKeepLimit
	// Timeout is how long the action may take; a repeat that comes later is
	// told that the holder is silent.
	Timeout time.Duration
}

// rules returns the rules of r within the limits of c.
func (c Config) rules(r Request) Rules {
	if r.Rules == (Rules{}) {
		return Rules{Retention: c.Retention, ClockSkew: c.ClockSkew, AnswerLimit: DefaultAnswerLimit}
	}
	rules := r.Rules
	rules.Retention = min(rules.Retention, c.Retention)
	rules.ClockSkew = min(rules.ClockSkew, c.ClockSkew)
	return rules
}

// path returns the key of r's record in the service.
func (r Request) path() string {
	return Prefix + url.PathEscape(string(r.Team)) + "/" + url.PathEscape(string(r.Key))
}

// Verdict is what Begin decided.
type Verdict int

// The verdicts of Begin.
const (
	// Refused means that no record could be created: nothing was dispatched.
	Refused Verdict = iota
	// Execute means that this router, and nobody else, may run the action.
	Execute
	// InProgress means that a record stands whose holder has not reported.
	InProgress
	// Done means that the action's end is on record.
	Done
	// KeyReused means that the key stands for another request.
	KeyReused
	// Expired means that the key is so old that its record may be gone.
	Expired
	// FromFuture means that the key's time of issue is yet to come.
	FromFuture
)

// String returns the name of v as logs and metrics show it.
func (v Verdict) String() string {
	names := [...]string{"refused", "execute", "in-progress", "done", "key-reused", "expired", "from-future"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Decision is the answer of Begin.
type Decision struct {
	Verdict Verdict
	Token   *Token           // set on Execute
	Record  Record           // set on InProgress and Done
	Refusal *outcome.Refusal // set unless Execute or Done
}

// Event is something that operators should see.
type Event int

// The events of a Ledger.
const (
	// CreateUnanswered: a create got no answer and was sent again.
	CreateUnanswered Event = iota
	// NotDispatched: a holder gave up before sending, since it woke after its
	// dispatch limit or its caller had gone.
	NotDispatched
	// RecordAbandoned: a record was marked abandoned, which frees its key.
	RecordAbandoned
	// RecordFinished: a record was marked done.
	RecordFinished
	// SettlementDelayed: a record could not be marked yet; tries go on.
	SettlementDelayed
	// SettlementGivenUp: a record was never marked. Its key stays in progress
	// until it expires.
	SettlementGivenUp
	// RecordLost: a record that this router held is gone, or is another's.
	// The service lost it, or its lease lapsed early.
	RecordLost
	// PlatformLost: calls fail, and actions are refused without one.
	PlatformLost
	// PlatformBack: calls are answered again.
	PlatformBack
)

// String returns the name of e as logs and metrics show it.
func (e Event) String() string {
	names := [...]string{
		"create-unanswered", "not-dispatched", "record-abandoned", "record-finished",
		"settlement-delayed", "settlement-given-up", "record-lost",
		"platform-lost", "platform-back",
	}
	if e < 0 || int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}
