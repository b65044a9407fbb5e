package order

import (
	"context"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Prefix is where the leases of pools stand in the platform's service.
const Prefix = "/wisteriaspool/orders/"

// Store is the part of the platform's service that a lease needs.
type Store interface {
	Get(ctx context.Context, key string) kv.Result
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	KeepAlive(ctx context.Context, lease kv.Lease) kv.Result
}

// usableShare is the part of its term behind which a holder gives no more orders. An
// order that is sent then still arrives before the lease can lapse, if the
// network takes less than the rest of the term; for one that takes longer the
// engine has the fencing number, and the next holder's second round.
const usableShare = 0.5

// lease is a router's hold on one pool. The zero value holds nothing.
type lease struct {
	id      kv.Lease
	fencing FencingToken
	renewed time.Time // before the call that last renewed it
	ttl     time.Duration
}

// usable reports whether the holder may give orders at now. It relies on the
// process's own monotonic clock only: a process that was frozen finds its
// lease old when it wakes.
func (l *lease) usable(now time.Time) bool {
	return l.fencing != 0 && now.Sub(l.renewed) < time.Duration(usableShare*float64(l.ttl))
}

// acquire tries to become the holder of a pool. The value tells who holds it,
// for operators; that the key exists is what keeps others out.
func (l *lease) acquire(ctx context.Context, s Store, p coordination.Pool, self coordination.Instance, ttl time.Duration) bool {
	*l = lease{ttl: ttl}
	key := Prefix + string(p)
	// A read before the two writes: while another router holds the pool, the
	// wait for its lease to lapse costs no writes.
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
	l.fencing = ownedToken(res, id)
	return l.usable(time.Now())
}

// ownedToken returns the fencing number if the result shows the key under our lease.
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

// renew extends the lease. When the service says that it has lapsed, or nothing
// comes for too long, the hold is over.
func (l *lease) renew(ctx context.Context, s Store) {
	at := time.Now()
	switch s.KeepAlive(ctx, l.id).Status {
	case kv.Applied:
		l.renewed = at
	case kv.Conflict:
		l.fencing = 0
	}
}
