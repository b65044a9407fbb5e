package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Source reports the changes under a prefix. It is the store or another router.
type Source interface {
	// Fetch returns the changes after a revision. It waits for a change up to a
	// time limit set by the source. If after is zero, it returns all keys at
	// once.
	Fetch(ctx context.Context, after kv.Revision) (Update, error)
}

// The pause after a fetch that failed, or brought nothing at once, doubles from
// minRetryPause to maxRetryPause.
// The minimum is short because a lost reply is often a single one. The maximum
// limits how often the whole fleet calls a store that is down, and is well
// below the two seconds within which endpoints are back in the list of the
// store.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// maxEmptyRetryPause is the maximum pause while the mirror is still empty, as
// on a router that started during an outage of the store. Without the desired
// state the router refuses every request, so that each moment after the store
// has recovered is lost for all its callers. It needs only one reply, for which
// it need not back off.
const maxEmptyRetryPause = 200 * time.Millisecond

// idleCheckInterval is how often an idle follower checks whether it has to
// fetch. It counts towards the time within which a change has to be in force.
const idleCheckInterval = 250 * time.Millisecond

// Follower keeps a mirror up to date from a source.
type Follower struct {
	Mirror *Mirror
	Source Source
	// Idle, if set, reports that the source need not be asked now. It is
	// checked again every idleCheckInterval. A source that was lost is asked
	// until it replies again, because other routers rely on the last known
	// state of this one.
	Idle func() bool
	// Wake, if set, interrupts a pause: Idle is checked again at once, and a
	// source that was lost is asked again.
	Wake chan struct{}
	// OnState, if set, is called with an error when the source is lost and with
	// nil when it replies again.
	OnState func(err error)
	// BatchDelay is the pause after an update with changes. The first change of
	// a burst is applied at once, and the following ones arrive together.
	BatchDelay time.Duration
	// OnAdvance, if set, is called with the revision up to which the mirror is
	// complete, each time the source has advanced it. The first update does not
	// count.
	OnAdvance func(kv.Revision)
	// Delay, if set, returns for how long the reply to a fetch that began at start, which
	// has just been read, may have waited.
	Delay func(now, start time.Time) time.Duration

	lost atomic.Bool
}

// Lost reports whether the last fetch from the source failed.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Start follows the source until the returned function is called.
func (f *Follower) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go f.run(ctx, done)
	return func() {
		cancel()
		<-done
	}
}

func (f *Follower) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	pause := time.Duration(0)
	for ctx.Err() == nil {
		if f.Idle != nil && !f.Lost() && f.Idle() {
			f.wait(ctx, idleCheckInterval)
			continue
		}
		before, start := f.Mirror.AsOf(), time.Now()
		u, err := f.Source.Fetch(ctx, before)
		if ctx.Err() != nil {
			return
		}
		elapsed := time.Since(start)
		if err == nil && f.apply(u, start) {
			f.wait(ctx, f.BatchDelay)
		}
		if u.Lost {
			coordination.Sleep(ctx, coordination.Jitter(minRetryPause))
		}
		if f.lost.Swap(err != nil) != (err != nil) {
			f.Mirror.Wake()
			f.reportState(err)
		}
		waited := elapsed >= minFetchTime && !u.Full
		pause = nextPause(pause, f.maxPause(), err == nil && (waited || f.Mirror.AsOf() > before))
		f.wait(ctx, pause)
	}
}

// wait waits for about d. A signal on Wake or the end of ctx ends it early.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(coordination.Jitter(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.Wake:
	case <-ctx.Done():
	}
}

// apply applies an update that was asked for at start to the mirror and reports whether the
// update advanced it. The first update does not count.
func (f *Follower) apply(u Update, start time.Time) (advanced bool) {
	if f.Delay != nil {
		u = u.aged(f.Delay(time.Now(), start))
	}
	before := f.Mirror.AsOf()
	f.Mirror.Apply(u)
	advanced = before > 0 && u.AsOf > before
	if advanced && f.OnAdvance != nil {
		f.OnAdvance(u.AsOf)
	}
	return advanced
}

func (f *Follower) reportState(err error) {
	if f.OnState != nil {
		f.OnState(err)
	}
}

// maxPause returns the maximum pause after a failed fetch.
func (f *Follower) maxPause() time.Duration {
	if f.Mirror.AsOf() == 0 {
		return maxEmptyRetryPause
	}
	return maxRetryPause
}

// minFetchTime is the least time of a fetch that waited for a change in vain. A source that
// answers sooner, or with everything that it had before, would be asked again without a pause.
const minFetchTime = 20 * time.Millisecond

// nextPause returns the pause after a fetch that either waited or advanced the mirror, or did
// neither.
func nextPause(previous, limit time.Duration, useful bool) time.Duration {
	if useful {
		return 0
	}
	return min(max(2*previous, minRetryPause), limit)
}
