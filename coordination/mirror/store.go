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
	// Watch waits for changes after a revision. Its batch has a gap if the
	// store has forgotten some of them.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result)
	// Ping asks for a sign of life, at a small part of the price of a watch.
	Ping(ctx context.Context) kv.Result
}

// ErrSilent says that the store gives no sign of life while a watch waits.
var ErrSilent = Errors.NewType("silent")

// StoreSource is the store as a Source.
type StoreSource struct {
	Store  Store
	Prefix string
	Wait   func() time.Duration // for which the next watch waits
}

// Fetch implements Source.
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
// fallen silent to this router. Those who wait at this router would hear of no
// change before the watch has run out, up to three seconds. If all that watch
// are cut off at once, nobody would; with these figures the others know it
// after pingInterval + pingTimeout and watch in their place.
const (
	pingInterval = 600 * time.Millisecond
	// pingTimeout is enough for a store that takes 50 times as long as the few
	// milliseconds that are usual, and for a packet that is sent again.
	pingTimeout = 400 * time.Millisecond
)

// pinger asks the store for signs of life while a watch waits.
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
			p.cancel(ErrSilent.Wrap(err, "no sign of life while a watch waited"))
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
