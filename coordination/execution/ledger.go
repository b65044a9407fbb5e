package execution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/outcome"
)

// Ledger creates and finalizes the execution records of one router. It is safe
// for concurrent use.
type Ledger struct {
	cfg     Config
	leases  leaseCache
	breaker breaker
	ctx     context.Context
	work    sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	reservedCalls int           // calls taken from the budget but not used yet
	pendingBytes  int           // size of the answers waiting to be written
	open          int           // records being created, held, or being settled
	idle          chan struct{} // closed when open falls to zero; nil if nobody waits
}

// New returns a ledger and a function that stops its background work. Records
// that are not settled by then stay pending in the service until they expire;
// call Drain first to wait for them.
func New(cfg Config) (*Ledger, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{cfg: cfg.withDefaults(), ctx: ctx}
	return l, func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		cancel()
		l.work.Wait()
	}
}

// Begin decides whether this router may run req. If the verdict is Execute, the
// caller owns the token and must end it with Finish or Abandon.
func (l *Ledger) Begin(ctx context.Context, req Request) Decision {
	start := time.Now()
	if d, ok := l.checkKey(req, start); !ok {
		return d
	}
	if !l.acquire() {
		return refused(outcome.Overloaded, "too many actions are open on this router", time.Second)
	}
	d, kept := l.claim(ctx, req, start)
	if !kept {
		l.release()
	}
	return d
}

// checkKey validates the key before any call to the platform.
func (l *Ledger) checkKey(req Request, now time.Time) (Decision, bool) {
	if req.Key == "" || len(req.Key) > MaxKey || req.Team == "" {
		return refused(outcome.Malformed, "the idempotency key must have 1 to 255 bytes", 0), false
	}
	rules := l.cfg.rules(req)
	age := now.Round(0).Sub(req.IssuedAt.Round(0))
	if age < -rules.ClockSkew {
		return fromFuture(-age), false
	}
	if age > rules.Retention-rules.ClockSkew {
		return expired(rules.Retention), false
	}
	return Decision{}, true
}

// claim tries to become the holder of the record of req. It reports whether the
// slot acquired for it is still needed, by the token or by background work.
func (l *Ledger) claim(ctx context.Context, req Request, start time.Time) (Decision, bool) {
	if !l.breaker.allow() {
		return unreachable(kv.Unavailable), false
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CreateTimeout)
	defer cancel()
	lease, res := l.lease(ctx)
	if res.Status != kv.Applied {
		return unreachable(res.Status), false
	}
	if ok, wait := l.allowAction(); !ok {
		return throttled(wait), false
	}
	c := &claim{
		path:        req.path(),
		record:      l.newRecord(req, start),
		answerLimit: l.cfg.rules(req).AnswerLimit,
		lease:       lease,
		start:       start,
	}
	d := l.create(ctx, c)
	if d.Verdict == Execute {
		return d, true
	}
	if c.unconfirmed {
		// The create may have taken effect, or may do so later. Only this
		// router knows that the action will never be sent, so it frees the
		// key. A create that arrives after that fails because the revision
		// has changed.
		l.settle(c.path, c.record.abandoned(), c.expect, c.lease)
		return d, true
	}
	l.refund()
	return d, false
}

func (l *Ledger) newRecord(req Request, start time.Time) Record {
	return Record{
		Version:     recordVersion,
		State:       Pending,
		Nonce:       newNonce(),
		Fingerprint: req.Fingerprint,
		Holder:      l.cfg.Holder,
		Incarnation: l.cfg.Incarnation,
		Created:     toUnixMilli(start),
		Deadline:    toUnixMilli(start.Add(l.cfg.DispatchLimit + req.Timeout)),
	}
}

// create writes the pending record, and retries until it is known whose record
// exists or the attempts are used up. Retrying after a lost answer is safe: the
// same expected revision lets the create take effect at most once, and the
// nonce of the stored record shows whether an earlier attempt did.
func (l *Ledger) create(ctx context.Context, c *claim) Decision {
	value := c.record.encode()
	status := kv.Unavailable
	for try := range l.cfg.CreateAttempts {
		if try > 0 && !l.mayRetry(ctx, status, try) {
			break
		}
		res := l.swap(c.path, value, c.expect, c.lease)
		status = res.Status
		switch status {
		case kv.Applied:
			return l.execute(c, res.Revision)
		case kv.Conflict:
			c.unconfirmed = false
			if d, over := l.resolveExisting(c, res.Pairs); over {
				return d
			}
			continue
		case kv.Unknown:
			c.unconfirmed = true
			l.cfg.Observe(CreateUnanswered)
		case kv.Unavailable, kv.Rejected:
			l.leases.drop(c.lease)
		}
		if !c.unconfirmed {
			break // no record can exist
		}
	}
	return unreachable(status)
}

// mayRetry waits before the next attempt, unless the last one found the key
// free, and reports whether the attempt may be made.
func (l *Ledger) mayRetry(ctx context.Context, last kv.Status, try int) bool {
	if last != kv.Conflict && !coordination.Sleep(ctx, backoff(try-1)) {
		return false
	}
	ok, _ := l.allow()
	return ok
}

// swap makes one compare-and-swap call. It does not use the caller's context:
// canceling a write would only make its result unknown, and callers that
// disconnect would look like a service that does not answer.
func (l *Ledger) swap(path string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
	defer cancel()
	res := l.cfg.Store.CompareAndSwap(ctx, path, value, expect, lease)
	l.recordStatus(res.Status)
	return res
}

func (l *Ledger) execute(c *claim, revision kv.Revision) Decision {
	c.unconfirmed = false
	return Decision{
		Verdict: Execute,
		Token:   &Token{claim: *c, revision: revision, limit: l.cfg.DispatchLimit},
	}
}

// resolveExisting decides by the record that exists under the key. It returns
// false if the create is to be retried, over an abandoned record or none.
func (l *Ledger) resolveExisting(c *claim, existing []kv.Pair) (Decision, bool) {
	if len(existing) == 0 {
		c.expect = 0
		return Decision{}, false
	}
	p := existing[0]
	r, err := DecodeRecord(p.Value)
	switch {
	case err != nil:
		return unreadable(), true
	case r.Nonce == c.record.Nonce:
		return l.execute(c, p.Revision), true
	case r.Fingerprint != c.record.Fingerprint:
		return keyReused(), true
	case r.State == Pending:
		return inProgress(r), true
	case r.State == Finished:
		return Decision{Verdict: Done, Record: r}, true
	}
	// Abandoned: the holder declared that it never sent the action and never
	// will. Of all creates that expect this revision the service applies one.
	c.expect = p.Revision
	return Decision{}, false
}

// The backoff between attempts doubles from initialBackoff to maxBackoff.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// backoff returns the wait after the given attempt, counted from zero, with
// jitter.
func backoff(try int) time.Duration {
	d := min(initialBackoff<<min(try, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}
