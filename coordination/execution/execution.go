// Package execution runs a non-idempotent action at most once, however often
// and through however many routers its caller repeats it.
//
// Before a router sends an action to an endpoint, it creates an execution
// record in the platform's key-value service, under the caller's idempotency
// key. The router that created the record is its holder, and only the holder
// may send the action. A record is never taken over: no timeout can tell a dead
// holder from one that was paused between its last check and sending the
// action. The cost is that the outcome of an action stays unknown until its key
// expires if its router died.
//
// A Ledger holds one router's in-memory state about its records; the records
// themselves are stored only in the service.
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

// Prefix is the key prefix of execution records. The full key is Prefix + team
// + "/" + idempotency key.
const Prefix = "/wisteriaspool/actions/"

// MaxKey is the maximum length of an idempotency key, in bytes.
const MaxKey = 255

// Key is the idempotency key that a caller assigns to an action.
type Key string

// IssuedAt returns the timestamp in a UUIDv7 key, with millisecond precision,
// and reports whether k is a UUIDv7.
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

// Budget limits the rate of calls to the platform. See package budget.
type Budget interface {
	// Allow takes one call from the budget, or returns how long to wait until
	// one is available.
	Allow(class budget.Class) (ok bool, retryAfter time.Duration)
}

// Default values of the Config fields of the same name, and of
// Rules.AnswerLimit.
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

// Config configures a Ledger. Fields that are zero take their default.
type Config struct {
	Store       Store
	Budget      Budget // nil means unlimited
	Holder      coordination.Instance
	Incarnation coordination.Incarnation

	// Retention is the maximum retention that a team may set: the time after
	// its issue for which a key is accepted. Records are kept for longer than
	// that. It must be the same on all routers and does not depend on the
	// team's rules: if records were kept only as long as the rules at their
	// creation required, a team that raised its retention would have keys
	// accepted whose records have expired.
	Retention time.Duration
	// ClockSkew is the maximum error of the clock of any router or caller.
	ClockSkew time.Duration
	// DispatchLimit is the time after Begin within which a dispatch may start.
	DispatchLimit time.Duration
	// CallTimeout is the timeout of one call to the platform.
	CallTimeout time.Duration
	// CreateTimeout limits the duration of Begin.
	CreateTimeout time.Duration
	// FinishWait is how long Finish and Abandon block while the platform does
	// not answer. The write continues in the background.
	FinishWait time.Duration
	// MaxOpen limits the open records of this router, including those whose
	// final state is not written yet. It bounds memory use during an outage.
	MaxOpen int
	// MaxPendingBytes limits the total size of answers that wait to be written
	// to their records.
	MaxPendingBytes int
	// CreateAttempts limits the calls made to create one record.
	CreateAttempts int
	// Observe, if set, is called with each event, for metrics and logs.
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

// minRecordLifetime is the minimum time that a record exists after its
// creation. With clocks off by at most ClockSkew, a key is accepted from
// issue-ClockSkew until issue+Retention-ClockSkew, and the last attempt to
// create its record may come DispatchLimit later. The first record must exist
// for that whole span.
func (c Config) minRecordLifetime() time.Duration {
	return c.Retention + 2*c.ClockSkew + c.DispatchLimit
}

// leaseTTL is the lifetime of a lease, which is never renewed. A lease is
// selected within leaseReusePeriod of its grant, and the record is created
// within DispatchLimit of that or is not used.
func (c Config) leaseTTL() time.Duration {
	return c.minRecordLifetime() + c.leaseReusePeriod() + c.DispatchLimit
}

// Rules holds a team's settings for its actions.
type Rules struct {
	Retention   time.Duration // how long a key is accepted; at most Config.Retention
	ClockSkew   time.Duration // maximum clock error; at most Config.ClockSkew
	AnswerLimit int           // maximum size of an answer stored for repeats, in bytes
}

// Request identifies an action to be run at most once.
type Request struct {
	Team        coordination.Team
	Key         Key
	IssuedAt    time.Time   // when the caller created the key
	Fingerprint Fingerprint // of the whole content of the request
	Rules       Rules       // the zero value means Config's limits and DefaultAnswerLimit
	// Timeout is the time that the action may take. A repeat that arrives after
	// it is told that the holder has not reported.
	Timeout time.Duration
}

// rules returns the rules of r, capped at the limits of c.
func (c Config) rules(r Request) Rules {
	if r.Rules == (Rules{}) {
		return Rules{Retention: c.Retention, ClockSkew: c.ClockSkew, AnswerLimit: DefaultAnswerLimit}
	}
	rules := r.Rules
	rules.Retention = min(rules.Retention, c.Retention)
	rules.ClockSkew = min(rules.ClockSkew, c.ClockSkew)
	return rules
}

// path returns the key of r's record in the key-value service.
func (r Request) path() string {
	return Prefix + url.PathEscape(string(r.Team)) + "/" + url.PathEscape(string(r.Key))
}

// Verdict is the result of Begin.
type Verdict int

// Verdicts returned by Begin.
const (
	// Refused means that no record could be created and nothing was sent.
	Refused Verdict = iota
	// Execute means that this router, and no other, may run the action.
	Execute
	// InProgress means that a record exists whose holder has not reported an
	// outcome.
	InProgress
	// Done means that the record contains the outcome of the action.
	Done
	// KeyReused means that the key was used for a different request.
	KeyReused
	// Expired means that the key is so old that its record may have expired.
	Expired
	// FromFuture means that the key's issue time is in the future.
	FromFuture
)

// String returns the name of v as used in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"refused", "execute", "in-progress", "done", "key-reused", "expired", "from-future"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Decision is the return value of Begin.
type Decision struct {
	Verdict Verdict
	Token   *Token           // set if Verdict is Execute
	Record  Record           // set if Verdict is InProgress or Done
	Refusal *outcome.Refusal // set unless Verdict is Execute or Done
}

// Event is an occurrence reported to Config.Observe.
type Event int

// Events reported by a Ledger.
const (
	// CreateUnanswered: a create call got no answer, so its result is unknown.
	CreateUnanswered Event = iota
	// NotDispatched: the action was not sent because the dispatch limit had
	// passed or the caller had gone.
	NotDispatched
	// RecordAbandoned: a record was marked abandoned, which frees its key.
	RecordAbandoned
	// RecordFinished: a record was marked finished.
	RecordFinished
	// SettlementDelayed: the final state of a record is not written yet;
	// retries continue.
	SettlementDelayed
	// SettlementGivenUp: the final state of a record was never written. Its key
	// stays in progress until it expires.
	SettlementGivenUp
	// RecordLost: a record that this router held is missing or was replaced by
	// another one. The service lost it, or its lease expired early.
	RecordLost
	// PlatformLost: calls fail, and new actions are refused without a call.
	PlatformLost
	// PlatformBack: calls are answered again.
	PlatformBack
)

// String returns the name of e as used in logs and metrics.
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
