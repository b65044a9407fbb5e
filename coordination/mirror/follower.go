package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Source tells what has changed under a prefix: the store, or another router.
type Source interface {
	// Fetch returns what has changed after a revision. It waits for a change,
	// but no longer than for a time that the source sets. After zero asks for
	// everything at once.
	Fetch(ctx context.Context, after kv.Revision) (Update, error)
}

// The pause after a fetch that failed doubles from the first to the longest.
// The first is short, for an answer that was lost is often an only one; the
// longest keeps a store that is down from being called by the whole fleet, and
// is well under the two seconds within which endpoints are back in its list.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// maxEmptyRetryPause is the longest pause of a follower whose mirror is still empty,
// as on a router that started while the store was away. Without the desired
// state it refuses every request, so each moment behind the store's return is
// lost for all its callers; and it asks for one answer only, which it need not
// wait for in turn.
const maxEmptyRetryPause = 200 * time.Millisecond

// idleCheckInterval is how often a follower that has nothing to do looks again. It is a
// part of the time in which a change has to be in force.
const idleCheckInterval = 250 * time.Millisecond

// Follower feeds a mirror from a source.
type Follower struct {
	Mirror *Mirror
	Source Source
	// Idle, if set, says that the source need not be asked now. It is looked at
	// again every idleCheck. A source that was lost is asked until it is back:
	// others go by what this router last knew of it.
	Idle func() bool
	// Wake, if set, has Idle looked at again at once, and a source that was lost
	// asked again.
	Wake chan struct{}
	// OnState, if set, is told when the source is lost, with why, and when it
	// is back.
	OnState func(err error)
	// BatchDelay is the pause behind an update that brought news. Those of a burst come
	// as one, and the first at once.
	BatchDelay time.Duration
	// OnAdvance, if set, is told up to which revision the mirror is complete, each
	// time that the source has brought it further. The first update is none.
	OnAdvance func(kv.Revision)

	lost atomic.Bool
}

// Lost reports whether the source does not answer.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Start follows until the returned function is called.
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
		u, err := f.Source.Fetch(ctx, f.Mirror.AsOf())
		if ctx.Err() != nil {
			return
		}
		if err == nil && f.apply(u) {
			f.wait(ctx, f.BatchDelay)
		}
		if u.Lost {
			coordination.Sleep(ctx, coordination.Spread(minRetryPause))
		}
		if f.lost.Swap(err != nil) != (err != nil) {
			f.Mirror.Wake()
			f.reportState(err)
		}
		pause = nextPause(pause, f.maxPause(), err)
		f.wait(ctx, pause)
	}
}

// wait waits for about d, or until it is woken.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(coordination.Spread(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.Wake:
	case <-ctx.Done():
	}
}

// apply takes in an update and reports whether it brought news.
func (f *Follower) apply(u Update) (advanced bool) {
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

// maxPause returns the maxPause pause after a fetch that failed.
func (f *Follower) maxPause() time.Duration {
	if f.Mirror.AsOf() == 0 {
		return maxEmptyRetryPause
	}
	return maxRetryPause
}

// nextPause returns the pause after a fetch.
func nextPause(previous, limit time.Duration, err error) time.Duration {
	if err == nil {
		return 0
	}
	return min(max(2*previous, minRetryPause), limit)
}
