package execution

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

// minLeaseAge is the age below which a lease is not replaced when the service
// refuses it, since an outage looks the same.
const minLeaseAge = time.Second

// leaseCache holds the lease that new records are attached to. All records
// created within one leaseReusePeriod share a lease, so their expiry needs no
// calls: when the lease expires, the service deletes them.
type leaseCache struct {
	mu       sync.Mutex
	id       kv.Lease
	granted  time.Time     // start of the call that granted it
	granting chan struct{} // closed when the grant in progress ends
}

// lease returns the lease for a record to be created now. It grants a new lease
// if the cached one is older than the reuse period.
func (l *Ledger) lease(ctx context.Context) (kv.Lease, kv.Result) {
	for {
		id, wait := l.leases.current(l.cfg.leaseReusePeriod())
		if !id.IsZero() {
			return id, kv.Result{Status: kv.Applied}
		}
		if wait == nil {
			return l.grant()
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return kv.Lease{}, kv.Result{Status: kv.Unavailable, Err: ctx.Err()}
		}
	}
}

// current returns a usable lease, or else a channel that is closed when the
// grant in progress ends. If it returns neither, the caller must grant a lease.
func (c *leaseCache) current(reusePeriod time.Duration) (kv.Lease, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.id.IsZero() && elapsed(c.granted) < reusePeriod {
		return c.id, nil
	}
	if c.granting != nil {
		return kv.Lease{}, c.granting
	}
	c.granting = make(chan struct{})
	return kv.Lease{}, nil
}

func (l *Ledger) grant() (kv.Lease, kv.Result) {
	start := time.Now() // the lease cannot have started earlier
	res := kv.Result{Status: kv.Throttled}
	var id kv.Lease
	if ok, _ := l.allow(); ok {
		ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
		id, res = l.cfg.Store.Grant(ctx, l.cfg.leaseTTL())
		cancel()
		l.recordStatus(res.Status)
	}
	c := &l.leases
	c.mu.Lock()
	defer c.mu.Unlock()
	if res.Status == kv.Applied {
		c.id, c.granted = id, start
	}
	close(c.granting)
	c.granting = nil
	return id, res
}

// drop discards a lease after the service refused a record attached to it,
// since the service may have lost the lease.
func (c *leaseCache) drop(id kv.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == id && elapsed(c.granted) > minLeaseAge {
		c.id = kv.Lease{}
	}
}

// elapsed returns the time since t, by whichever clock advanced further. The
// monotonic clock stops while a virtual machine is suspended, and the wall
// clock can be set back; the lease keeps expiring in both cases.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
