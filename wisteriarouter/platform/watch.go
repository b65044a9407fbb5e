package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriaspool/coordination/kv"
)

// Watches that break are opened again after a wait that doubles from the first
// to the longest; after some failures in a row the channel is closed.
const (
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay    = 2 * time.Second
	maxReopenAttempts     = 6
)

// watch is one watch, over all its connections.
type watch struct {
	client   *Client
	prefix   string
	revision kv.Revision // last one reported or read past
	gap      bool        // a gap is to be reported with the next batch
	out      chan kv.Batch
	body     io.ReadCloser
	stream   *json.Decoder
	cancel   context.CancelFunc // ends the present connection
}

// Watch implements kv.Store. A broken connection is opened again behind the
// last revision seen; the channel is closed when that fails several times in a
// row. From zero, which asks for no history, starts with a gap.
func (c *Client) Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result) {
	w := &watch{client: c, prefix: prefix, revision: from, gap: from == 0, out: make(chan kv.Batch)}
	res := w.open(ctx)
	if res.Status != kv.Applied {
		return nil, res
	}
	go w.run(ctx)
	return w.out, res
}

// open makes a connection and waits until the service has taken the watch.
func (w *watch) open(ctx context.Context) kv.Result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	// The timeout covers the opening only; the stream lasts as long as ctx.
	timer := time.AfterFunc(w.client.cfg.Timeout, cancel)
	defer timer.Stop()
	res := w.connect(ctx)
	w.client.observe(OpWatch, res.Status, start)
	if res.Status != kv.Applied {
		cancel()
		return res
	}
	w.cancel = cancel
	return res
}

func (w *watch) connect(ctx context.Context) kv.Result {
	req := watchRequest{Create: watchCreate{Key: []byte(w.prefix), RangeEnd: prefixEnd(w.prefix)}}
	if w.revision > 0 {
		req.Create.StartRevision = int64(w.revision) + 1
	}
	body, err := json.Marshal(req)
	if err != nil {
		panic(fmt.Sprintf("platform: encoding a watch: %v", err))
	}
	resp, res := w.postRequest(ctx, body)
	if res.Status != kv.Applied {
		return res
	}
	w.body = resp.Body
	w.stream = json.NewDecoder(resp.Body)
	first, err := w.next()
	if err != nil {
		_ = w.body.Close()
		return kv.Result{Status: kv.Unknown, Err: err}
	}
	w.updateRevision(first)
	return kv.Result{Status: kv.Applied, Revision: kv.Revision(first.Header.Revision)}
}

// postRequest sends the request to the first endpoint that takes it.
func (w *watch) postRequest(ctx context.Context, body []byte) (resp *http.Response, res kv.Result) {
	c := w.client
	first := c.current.Load()
	n := uint32(len(c.endpoints))
	for i := range n {
		resp, res = c.send(ctx, c.endpoints[(first+i)%n]+watchPath, body)
		if res.Status == kv.Applied || ctx.Err() != nil {
			return resp, res
		}
	}
	return resp, res
}

var errWatchEnded = errors.New("platform: the service ended the watch")

// next reads one message of the stream.
func (w *watch) next() (*watchResult, error) {
	var msg watchResponse
	if err := w.stream.Decode(&msg); err != nil {
		return nil, fmt.Errorf("platform: watch broken: %w", err)
	}
	if msg.Result == nil {
		return nil, errWatchEnded
	}
	if msg.Result.Canceled && msg.Result.CompactRevision == 0 {
		return nil, errWatchEnded
	}
	return msg.Result, nil
}

// updateRevision applies what a message says about revisions. After a compaction the
// revisions in between are gone for good: the watcher must read again, and the
// watch goes on from what the service still has.
func (w *watch) updateRevision(r *watchResult) {
	if r.CompactRevision > 0 {
		w.gap = true
		w.revision = max(w.revision, kv.Revision(r.CompactRevision)-1)
		return
	}
	if n := len(r.Events); n > 0 {
		// The header may be ahead of events that are still to come.
		w.revision = kv.Revision(r.Events[n-1].KV.ModRevision)
		return
	}
	if r.Created && w.revision > 0 {
		return // history behind w.revision is still to come
	}
	w.revision = max(w.revision, kv.Revision(r.Header.Revision))
}

// run delivers batches until ctx ends or the watch cannot be opened again.
func (w *watch) run(ctx context.Context) {
	defer close(w.out)
	for {
		w.deliver(ctx)
		w.cancel()
		_ = w.body.Close()
		if !w.reopen(ctx) {
			return
		}
	}
}

// deliver hands on what the present connection brings until it breaks.
func (w *watch) deliver(ctx context.Context) {
	if w.gap && !w.send(ctx, kv.Batch{Revision: w.revision, Gap: true}) {
		return
	}
	for {
		r, err := w.next()
		if err != nil {
			return
		}
		w.updateRevision(r)
		if r.Canceled {
			return
		}
		b := kv.Batch{Events: events(r.Events), Revision: w.revision, Gap: w.gap}
		if (b.Gap || len(b.Events) > 0) && !w.send(ctx, b) {
			return
		}
	}
}

func (w *watch) send(ctx context.Context, b kv.Batch) bool {
	select {
	case w.out <- b:
		w.gap = false
		return true
	case <-ctx.Done():
		return false
	}
}

// reopen opens the watch again, with jitter so that all the watchers of an
// outage do not come back at one moment.
func (w *watch) reopen(ctx context.Context) bool {
	wait := minReopenDelay
	for range maxReopenAttempts {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait/2 + rand.N(wait)):
		}
		if w.open(ctx).Status == kv.Applied {
			return true
		}
		wait = min(2*wait, maxReopenDelay)
	}
	return false
}

func events(in []watchEvent) []kv.Event {
	out := make([]kv.Event, 0, len(in))
	for _, e := range in {
		out = append(out, kv.Event{Pair: e.KV.pair(), Deleted: e.Type == "DELETE"})
	}
	return out
}
