package settings

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// watcher watches the platform while its router is one of the watchers.
type watcher struct {
	s      *Sync
	cancel context.CancelFunc
}

// run reads all settings and watches for changes, again and again until ctx
// ends.
func (w *watcher) run(ctx context.Context) {
	defer w.s.group.Done()
	wait := initialBackoff
	for ctx.Err() == nil {
		if w.listAndWatch(ctx) {
			wait = initialBackoff
		}
		if !coordination.Sleep(ctx, coordination.Spread(wait)) {
			return
		}
		wait = min(2*wait, 2*time.Second)
	}
}

// follow reads all settings once and follows a watch from there until it
// breaks. It reports whether the watch was opened.
func (w *watcher) listAndWatch(ctx context.Context) bool {
	revision, ok := w.s.list(ctx)
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.s.count(func(st *Stats) { st.Watches++ })
	batches, res := w.s.store.Watch(ctx, Prefix, revision)
	if res.Status != kv.Applied {
		return false
	}
	w.consume(ctx, batches, revision)
	return true
}

// drain takes batches until the watch breaks. An open watch can miss changes
// without a sign, as when it is stuck behind a broken connection; reading all
// settings once in a while bounds how long that goes unnoticed.
func (w *watcher) consume(ctx context.Context, batches <-chan kv.Batch, revision kv.Revision) {
	confirm := time.NewTimer(nextConfirmDelay())
	defer confirm.Stop()
	relist := time.NewTimer(relistInterval/2 + rand.N(relistInterval))
	defer relist.Stop()
	for {
		ok := true
		select {
		case b, open := <-batches:
			if !open {
				return
			}
			revision = max(revision, b.Revision)
			ok = w.applyBatch(ctx, b)
		case <-confirm.C:
			confirm.Reset(nextConfirmDelay())
			ok = w.confirm(ctx, revision)
		case <-relist.C:
			relist.Reset(relistInterval/2 + rand.N(relistInterval))
			_, ok = w.s.list(ctx)
		case <-ctx.Done():
			return
		}
		if !ok {
			return
		}
	}
}

// confirm tells the fleet that the platform was seen, behind a sign of life. A
// watch that waits looks the same whether nothing changes or the platform has
// fallen silent; told without a sign, the fleet would count settings as fresh
// that nobody had asked for, and no other router would look. It reports whether
// the watch is still good.
func (w *watcher) confirm(ctx context.Context, revision kv.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w.s.count(func(st *Stats) { st.Probes++ })
	switch w.s.store.Get(ctx, Prefix).Status {
	case kv.Applied:
		w.s.confirm(revision)
		return true
	case kv.Throttled: // this router may make no call now
		return true
	default:
		return false
	}
}

// confirmPause spreads the confirmations of the watchers, so that most of them
// find that another has just spread one.
func nextConfirmDelay() time.Duration { return confirmInterval + rand.N(confirmInterval) }

// take offers what a batch brings. It reports whether the watch is still good.
func (w *watcher) applyBatch(ctx context.Context, b kv.Batch) bool {
	for _, e := range b.Events {
		team, ok := TeamOf(e.Pair.Key)
		switch {
		case !ok:
		case e.Deleted:
			w.s.replica.Remove(team, e.Pair.Revision)
		default:
			w.s.replica.Offer(team, e.Pair)
		}
	}
	if b.Gap {
		_, ok := w.s.list(ctx)
		return ok
	}
	return true
}
