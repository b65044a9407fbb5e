package order

import (
	"context"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Prefix is the key prefix of the pool leases in the platform's key-value
// service.
const Prefix = "/wisteriaspool/orders/"

// Store is the part of the platform's key-value service that a lease needs.
type Store interface {
	Get(ctx context.Context, key string) kv.Result
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	KeepAlive(ctx context.Context, lease kv.Lease) kv.Result
}

// usableShare is the share of the TTL after which the holder sends no more
// orders. An order sent before that arrives before the lease can expire, if the
// network takes less than the rest of the TTL. For a slower order, the engine
// checks the fencing token, and the next holder sends its plan twice.
const usableShare = 0.5

// lease is a router's lease on one pool. The zero value holds nothing.
type lease struct {
	id      kv.Lease
	granted FencingToken // the revision at which the pool was granted
	fencing FencingToken // granted, or more if it was raised; zero if the lease is lost
	renewed time.Time    // start of the call that last renewed it
	ttl     time.Duration
}

// usable reports whether the holder may send orders at now. It relies only on
// the monotonic clock of the process: a process that was paused finds its lease
// too old when it resumes.
func (l *lease) usable(now time.Time) bool {
	return l.fencing != 0 && now.Sub(l.renewed) < time.Duration(usableShare*float64(l.ttl))
}

// acquire tries to become the holder of a pool. The stored value names the
// holder, for operators; the existence of the key is what excludes other
// routers.
func (l *lease) acquire(ctx context.Context, s Store, p coordination.Pool, self coordination.Instance, ttl time.Duration) bool {
	*l = lease{ttl: ttl}
	key := Prefix + string(p)
	// Read before the two writes, so that waiting for another router's lease
	// to expire costs no writes.
	if res := s.Get(ctx, key); res.Status != kv.Applied || len(res.Pairs) > 0 {
		return false
	}
	l.renewed = time.Now()
	id, res := s.Grant(ctx, ttl)
	if res.Status != kv.Applied {
		return false
	}
	res = s.CompareAndSwap(ctx, key, []byte(self), 0, id)
	if res.Status == kv.Unknown {
		res = s.Get(ctx, key)
	}
	l.id = id
	l.granted = ownedToken(res, id)
	l.fencing = l.granted
	return l.usable(time.Now())
}

const (
	// tokenStep is by how much a token is raised first. It exceeds the writes that the service
	// takes in the seconds which a restore from a copy loses.
	tokenStep FencingToken = 1 << 16
	// maxTokenRaise bounds how far a token is raised in all.
	maxTokenRaise FencingToken = 1 << 32
)

// raiseToken raises the token of a holder whose order was fenced, and reports whether it has.
// If the service still has this router as the holder, the higher token that the engine has seen
// is not of a later holder: the service has been restored from a copy, and its revisions have
// gone back. Otherwise the lease is lost.
func (l *lease) raiseToken(ctx context.Context, s Store, p coordination.Pool, self coordination.Instance) bool {
	res := s.Get(ctx, Prefix+string(p))
	held := res.Status == kv.Applied && len(res.Pairs) > 0 && ownedToken(res, l.id) == l.granted && string(res.Pairs[0].Value) == string(self)
	raise := max(tokenStep, 2*(l.fencing-l.granted))
	if !held || raise > maxTokenRaise {
		l.fencing = 0
		return false
	}
	l.fencing = l.granted + raise
	return true
}

// ownedToken returns the fencing token if res shows the key attached to lease
// id, and zero otherwise.
func ownedToken(res kv.Result, id kv.Lease) FencingToken {
	if res.Status != kv.Applied {
		return 0
	}
	if len(res.Pairs) == 0 {
		return FencingToken(res.Revision)
	}
	if res.Pairs[0].Lease != id {
		return 0
	}
	return FencingToken(res.Pairs[0].Revision)
}

// renew extends the lease. The lease is lost when the service reports that it
// has expired, or when no answer arrives for too long.
func (l *lease) renew(ctx context.Context, s Store) {
	at := time.Now()
	switch s.KeepAlive(ctx, l.id).Status {
	case kv.Applied:
		l.renewed = at
	case kv.Conflict:
		l.fencing = 0
	}
}
