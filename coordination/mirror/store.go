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
	// Ping checks whether the store replies. It costs a small part of the price
	// of a watch.
	Ping(ctx context.Context) kv.Result
}

// ErrSilent means that the store did not reply to a ping during a watch.
var ErrSilent = Errors.NewType("silent")

// StoreSource is a Source that fetches from the store.
type StoreSource struct {
	Store  Store
	Prefix string
	Wait   func() time.Duration // how long the next watch waits
}

// Fetch implements Source. The error is [ErrSilent] if the store stopped
// replying during a watch, or that of the call.
func (s StoreSource) Fetch(ctx context.Context, after kv.Revision) (Update, error) {
	if after == 0 {
		return s.list(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go pinger{store: s.Store, cancel: cancel}.run(ctx)
	b, res := s.Store.Watch(ctx, s.Prefix, after, s.Wait())
	if res.Status != kv.Applied && errorx.IsOfType(context.Cause(ctx), ErrSilent) {
		return Update{}, context.Cause(ctx)
	}
	if res.Status != kv.Applied {
		return Update{}, res.Err
	}
	if b.Gap {
		return s.list(ctx)
	}
	u := Update{AsOf: b.Revision}
	for _, e := range b.Events {
		u.Items = append(u.Items, Item{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.Revision, Deleted: e.Deleted})
	}
	return u, nil
}

// A watch that waits looks the same whether nothing changes or the store has
// stopped replying to this router. Routers that wait at this one would learn of
// no change before the watch times out, after up to three seconds, and none
// would if all watchers were cut off at once. With these values the others
// notice after pingInterval + pingTimeout and watch in place of this router.
const (
	pingInterval = 600 * time.Millisecond
	// pingTimeout allows for a store that takes 50 times the usual few
	// milliseconds, and for a packet that is sent again.
	pingTimeout = 400 * time.Millisecond
)

// pinger pings the store during a watch.
type pinger struct {
	store  Store
	cancel context.CancelCauseFunc // ends the watch
}

func (p pinger) run(ctx context.Context) {
	for {
		if !coordination.Sleep(ctx, pingInterval) {
			return
		}
		err := p.ping(ctx)
		if err != nil {
			p.cancel(ErrSilent.Wrap(err, "no reply to a ping during a watch"))
			return
		}
	}
}

func (p pinger) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if res := p.store.Ping(ctx); res.Status != kv.Applied {
		return res.Err
	}
	return nil
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
