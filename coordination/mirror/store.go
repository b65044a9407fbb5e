package mirror

import (
	"context"
	"time"

	"wisteriaspool/coordination/kv"
)

// Store is the part of the platform's store that a mirror needs.
type Store interface {
	// List reads all keys that start with prefix.
	List(ctx context.Context, prefix string) kv.Result
	// Watch waits for changes after a revision. Its batch has a gap if the
	// store has forgotten some of them.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Batch, kv.Result)
}

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
	b, res := s.Store.Watch(ctx, s.Prefix, after, s.Wait())
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
