package mirror

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// hintFetchTimeout bounds a fetch from a router that has told of a change; another
// one has told too, and is asked next.
const hintFetchTimeout = 300 * time.Millisecond

// fetcher fetches what other routers have told of and this one still lacks.
type fetcher struct {
	feed    *Feed
	pending chan struct{} // holds one if there is something to fetch

	mu     sync.Mutex
	hinted map[coordination.Instance]kv.Revision // who has told of what
}

func newFetcher(f *Feed) *fetcher {
	return &fetcher{feed: f, pending: make(chan struct{}, 1), hinted: make(map[coordination.Instance]kv.Revision)}
}

func (f *fetcher) add(from coordination.Instance, asOf kv.Revision) {
	if f.feed.cfg.Mirror.AsOf() >= asOf {
		return
	}
	f.mu.Lock()
	f.hinted[from] = asOf
	f.mu.Unlock()
	signal(f.pending)
}

func (f *fetcher) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-f.pending:
		case <-ctx.Done():
			return
		}
		coordination.Sleep(ctx, hintFetchDelay)
		for ctx.Err() == nil {
			from, ok := f.nextSource()
			if !ok {
				break
			}
			f.fetch(ctx, from)
		}
	}
}

// nextSource takes a router that has told of more than the mirror holds, and forgets
// those that have not.
func (f *fetcher) nextSource() (from coordination.Instance, ok bool) {
	asOf := f.feed.cfg.Mirror.AsOf()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.hinted {
		delete(f.hinted, id)
		if n > asOf {
			return id, true
		}
	}
	return "", false
}

// fetch asks one router for what it has, without waiting there. If it does not
// answer, another one has told too, and the usual call goes on meanwhile.
func (f *fetcher) fetch(ctx context.Context, from coordination.Instance) {
	cfg := f.feed.cfg
	source := PeerSource{
		Transport:      cfg.Transport,
		Choose:         func() (coordination.Instance, bool) { return from, true },
		Prefix:         cfg.Prefix,
		Wait:           func() time.Duration { return 0 },
		Timeout:        hintFetchTimeout,
		OnReachability: f.feed.recordReachability,
		CallLog:        cfg.CallLog,
	}
	u, err := source.Fetch(ctx, cfg.Mirror.AsOf())
	switch {
	case err == nil:
		cfg.Mirror.Apply(u)
	case ctx.Err() == nil:
		f.feed.reportHintFailure(from, err)
	}
}
