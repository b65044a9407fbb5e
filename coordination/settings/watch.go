package settings

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// watcher watches the platform while its router is selected as a watcher.
type watcher struct {
	s      *Sync
	cancel context.CancelFunc
}

// run lists and watches the settings until ctx ends, with backoff between
// attempts.
func (w *watcher) run(ctx context.Context) {
	defer w.s.group.Done()
	wait := initialBackoff
	for ctx.Err() == nil {
		if w.listAndWatch(ctx) {
			wait = initialBackoff
		}
		if !coordination.Sleep(ctx, coordination.Jitter(wait)) {
			return
		}
		wait = min(2*wait, 2*time.Second)
	}
}

// listAndWatch lists all settings and watches from the revision of the list until
// the watch fails. It reports whether the watch was opened.
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

// consume applies batches until the watch fails. An open watch can miss changes
// without an error, for instance if its connection is broken; a periodic list
// limits how long that goes undetected.
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

// confirm probes the platform and, if it responds, announces a confirmation. An
// idle watch looks the same whether nothing changes or the platform does not
// respond. Without the probe, the fleet would consider settings as confirmed that
// nobody had checked, and no other router would list them. It reports whether the
// watch is still usable.
func (w *watcher) confirm(ctx context.Context, revision kv.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w.s.count(func(st *Stats) { st.Probes++ })
	switch w.s.store.Get(ctx, Prefix).Status {
	case kv.Applied:
		w.s.confirm(revision)
		return true
	case kv.Throttled: // rate limited: the probe shows nothing about the watch
		return true
	default:
		return false
	}
}

// nextConfirmDelay returns the randomized delay before the next confirmation. The
// jitter lets most watchers find that another one has just confirmed.
func nextConfirmDelay() time.Duration { return confirmInterval + rand.N(confirmInterval) }

// applyBatch offers the events of a batch to the replica and lists all settings
// after a gap. It reports whether the watch is still usable.
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
