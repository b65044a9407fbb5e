package mirror

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// hintFetchTimeout bounds a fetch from a router that has sent a hint. It is
// short because another router has usually sent a hint too and is asked next.
const hintFetchTimeout = 300 * time.Millisecond

// fetcher fetches the changes that other routers have announced and that this
// one still lacks.
type fetcher struct {
	feed    *Feed
	pending chan struct{} // buffered; holds a value if there is something to fetch

	mu     sync.Mutex
	hinted map[coordination.Instance]kv.Revision // the revision that each router announced
}

func newFetcher(f *Feed) *fetcher {
	return &fetcher{feed: f, pending: make(chan struct{}, 1), hinted: make(map[coordination.Instance]kv.Revision)}
}

// add schedules a fetch if the mirror has not reached the announced revision.
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

// nextSource removes and returns a router that announced a later revision than
// the mirror has. It drops those that did not.
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

// fetch asks one router for its changes without waiting there for new ones. If
// that router does not reply, another one has sent a hint too, and the regular
// peer fetches continue meanwhile.
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
	start := time.Now()
	u, err := source.Fetch(ctx, cfg.Mirror.AsOf())
	switch {
	case err == nil:
		f.feed.peers.apply(u, start)
	case ctx.Err() == nil:
		f.feed.reportHintFailure(from, err)
	}
}
