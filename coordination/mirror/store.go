package mirror

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Store is the part of the platform's store that a mirror needs.
type Store interface {
	// List reads all keys that start with prefix.
	List(ctx context.Context, prefix string) kv.Result
	// Watch waits up to wait for changes after a revision. The batch has a gap
	// if the store no longer has some of the changes.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result)
	// Ping checks whether the store replies, and returns its revision, which any
	// change of a key advances and which may be seconds old. It costs a small part
	// of the price of a watch.
	Ping(ctx context.Context) kv.Result
	// Revision returns the revision of the store at some moment of the call.
	Revision(ctx context.Context) kv.Result
}

var (
	// ErrSilent means that the store did not reply to a ping during a watch.
	ErrSilent = Errors.NewType("silent")
	// errOverdue means that the store has a later revision than a watch that
	// still waits.
	errOverdue = Errors.NewType("overdue")
)

// StoreSource is a Source that fetches from the store.
type StoreSource struct {
	Store  Store
	Prefix string
	Wait   func() time.Duration // how long the next watch waits
	// OnOverdue, if set, is called when a ping shows that a watch should have
	// ended.
	OnOverdue func(Overdue)
}

// Overdue describes a watch that still waits although the store has a later
// revision.
type Overdue struct {
	Watched kv.Revision // the watch waits for changes after it
	Store   kv.Revision // as of the ping
	Waited  time.Duration
}

// Fetch implements Source. The error is [ErrSilent] if the store stopped
// replying during a watch, or that of the call.
func (s StoreSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	if after == 0 {
		return s.list(ctx)
	}
	b, err := s.watch(ctx, after)
	switch {
	case errorx.IsOfType(err, errOverdue):
		return s.catchUp(ctx, after)
	case err != nil:
		return Update{}, err
	case b.Gap:
		return s.list(ctx)
	}
	return batchUpdate(b), nil
}

func batchUpdate(b kv.Batch) Update {
	u := Update{AsOf: b.Revision}
	for _, e := range b.Events {
		u.Items = append(u.Items, Item{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.Revision, Deleted: e.Deleted})
	}
	return u
}

// watch waits for changes. A ping that fails, or that shows a change that the watch
// has not reported, ends it.
func (s StoreSource) watch(ctx context.Context, after kv.Revision) (kv.Batch, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := pinger{store: s.Store, after: after, start: time.Now(), cancel: cancel, onOverdue: s.OnOverdue}
	go p.run(ctx)
	b, res := s.Store.Watch(ctx, s.Prefix, after, s.Wait())
	cause := context.Cause(ctx)
	switch {
	case res.Status == kv.Applied:
		return b, nil
	case errorx.IsOfType(cause, ErrSilent), errorx.IsOfType(cause, errOverdue):
		return kv.Batch{}, cause
	}
	return kv.Batch{}, res.Err
}

// catchUp fetches the changes that a watch has not reported. A list, which may
// take several calls, is needed only if a new watch does not report them either.
func (s StoreSource) catchUp(ctx context.Context, after kv.Revision) (Update, error) {
	watchCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	b, res := s.Store.Watch(watchCtx, s.Prefix, after, catchUpWait)
	if res.Status != kv.Applied || b.Gap || len(b.Events) == 0 {
		return s.list(ctx)
	}
	return batchUpdate(b), nil
}

// catchUpWait is the wait of a watch that should have changes to report at once.
const catchUpWait = 50 * time.Millisecond

// A watch that waits looks the same whether nothing changes or the store has
// stopped replying to this router. Routers that wait at this one would learn of
// no change before the watch times out, after up to three seconds, and none
// would if all watchers were cut off at once. With these values the others
// notice after pingInterval + pingTimeout and watch in place of this router.
//
// Nor does a watch show whether it will report a change: the store may not, or
// its reply may be lost. The revision in the reply to a ping shows the change.
const (
	pingInterval = 500 * time.Millisecond
	// pingTimeout allows for a store that takes 50 times the usual few
	// milliseconds, and for a packet that is sent again.
	pingTimeout = 400 * time.Millisecond
)

// overdueGrace is how long the reply of a watch may take beyond that of a ping
// that was sent later. It allows for a packet that is sent again.
const overdueGrace = 250 * time.Millisecond

// pinger pings the store during a watch.
type pinger struct {
	store     Store
	after     kv.Revision             // the watch waits for changes after it
	start     time.Time               // of the watch
	cancel    context.CancelCauseFunc // ends the watch
	onOverdue func(Overdue)           // may be nil
}

func (p pinger) run(ctx context.Context) {
	for {
		if !coordination.Sleep(ctx, pingInterval) {
			return
		}
		revision, err := p.ping(ctx)
		switch {
		case err != nil:
			p.cancel(ErrSilent.Wrap(err, "no reply to a ping during a watch"))
			return
		case revision > p.after && coordination.Sleep(ctx, overdueGrace):
			p.reportOverdue(revision)
			p.cancel(errOverdue.New("watch of changes after %d still waits at revision %d", p.after, revision))
			return
		}
	}
}

// ping returns the revision of the store.
func (p pinger) ping(ctx context.Context) (kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	res := p.store.Ping(ctx)
	if res.Status != kv.Applied {
		return 0, res.Err
	}
	return res.Revision, nil
}

func (p pinger) reportOverdue(revision kv.Revision) {
	if p.onOverdue != nil {
		p.onOverdue(Overdue{Watched: p.after, Store: revision, Waited: time.Since(p.start)})
	}
}

func (s StoreSource) list(ctx context.Context) (Update, error) {
	res := s.Store.List(ctx, s.Prefix)
	if res.Status != kv.Applied {
		return Update{}, res.Err
	}
	u := Update{Full: true, AsOf: res.Revision}
	for _, p := range res.Pairs {
		u.Items = append(u.Items, Item{Key: p.Key, Value: p.Value, Revision: p.Revision})
	}
	return u, nil
}
