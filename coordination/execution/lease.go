package execution

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination/kv"
)

// minLeaseAge keeps a lease from being replaced again at once after the service
// refused it, since an outage looks the same.
const minLeaseAge = time.Second

// leaseCache holds the lease that new records are attached to. Records of a whole
// bucket of time share one lease, so that they cost no call for their expiry:
// it lapses by itself and takes them with it.
type leaseCache struct {
	mu       sync.Mutex
	id       kv.Lease
	granted  time.Time     // before the call that granted it
	granting chan struct{} // closed when the grant under way has ended
}

// lease returns the lease for a record that is created now, granting a new one
// if the present one is older than the bucket.
func (l *Ledger) lease(ctx context.Context) (kv.Lease, kv.Result) {
	for {
		id, wait := l.leases.current(l.cfg.leaseReusePeriod())
		if id != 0 {
			return id, kv.Result{Status: kv.Applied}
		}
		if wait == nil {
			return l.grant()
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, kv.Result{Status: kv.Unavailable, Err: ctx.Err()}
		}
	}
}

// current returns a lease that may be used, or a channel that tells when the
// grant under way has ended, or neither: the caller has to grant one then.
func (s *leaseCache) current(bucket time.Duration) (kv.Lease, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != 0 && elapsed(s.granted) < bucket {
		return s.id, nil
	}
	if s.granting != nil {
		return 0, s.granting
	}
	s.granting = make(chan struct{})
	return 0, nil
}

func (l *Ledger) grant() (kv.Lease, kv.Result) {
	start := time.Now() // the lease cannot have begun earlier
	res := kv.Result{Status: kv.Throttled}
	var id kv.Lease
	if ok, _ := l.allow(); ok {
		ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
		id, res = l.cfg.Store.Grant(ctx, l.cfg.leaseTTL())
		cancel()
		l.recordStatus(res.Status)
	}
	s := &l.leases
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Status == kv.Applied {
		s.id, s.granted = id, start
	}
	close(s.granting)
	s.granting = nil
	return id, res
}

// drop forgets a lease after the service refused a record attached to it: the
// service may have lost it.
func (s *leaseCache) drop(id kv.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id && elapsed(s.granted) > minLeaseAge {
		s.id = 0
	}
}

// elapsed returns the time since t, by the clock that went further. The
// monotonic clock stands still while a virtual machine is suspended, and the
// wall clock can be set back; the lease goes on lapsing in both cases.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
