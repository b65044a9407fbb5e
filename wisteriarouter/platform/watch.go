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

// A watch whose connection breaks is reopened with exponential backoff. Its
// channel is closed after maxReopenAttempts consecutive failures.
const (
	minReopenDelay    = 100 * time.Millisecond
	maxReopenDelay    = 2 * time.Second
	maxReopenAttempts = 6
)

// maxMessageBytes limits what is read for one message of a watch. A watch that gets a longer
// one breaks off; its keys are read again when it cannot be reopened.
const maxMessageBytes = 16 << 20

// watch is the state of a watch across its connections.
type watch struct {
	client   *Client
	prefix   string
	revision kv.Revision // last revision delivered or skipped
	gap      bool        // whether the next batch reports a gap
	out      chan kv.Batch
	body     io.ReadCloser
	limit    *io.LimitedReader  // reads from body
	stream   *json.Decoder      // reads from limit
	cancel   context.CancelFunc // closes the current connection
}

// Watch implements kv.Store. If the connection breaks, the watch is reopened
// after the last revision seen; the channel is closed after several consecutive
// attempts have failed. A watch from revision zero gets no history, so its first
// batch reports a gap.
func (c *Client) Watch(ctx context.Context, prefix string, from kv.Revision) (<-chan kv.Batch, kv.Result) {
	w := &watch{client: c, prefix: prefix, revision: from, gap: from == 0, out: make(chan kv.Batch)}
	res := w.open(ctx)
	if res.Status != kv.Applied {
		return nil, res
	}
	go w.run(ctx)
	return w.out, res
}

// open connects and waits until the service has confirmed the watch.
func (w *watch) open(ctx context.Context) kv.Result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	// The timeout applies only to opening the watch; the stream may last as
	// long as ctx.
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

// connect sends the request, reads the first message and sets the stream.
func (w *watch) connect(ctx context.Context) kv.Result {
	req := watchRequest{Create: watchCreate{Key: []byte(w.prefix), RangeEnd: prefixEnd(w.prefix)}}
	if w.revision > 0 {
		req.Create.StartRevision = int64(w.revision) + 1
	}
	body, err := json.Marshal(req)
	if err != nil {
		panic(fmt.Sprintf("platform: encoding watch request: %v", err))
	}
	resp, res := w.postRequest(ctx, body)
	if res.Status != kv.Applied {
		return res
	}
	w.body = resp.Body
	w.limit = &io.LimitedReader{R: resp.Body}
	w.stream = json.NewDecoder(w.limit)
	first, err := w.next()
	if err != nil {
		_ = w.body.Close()
		return kv.Result{Status: kv.Unknown, Err: err}
	}
	w.updateRevision(first)
	return kv.Result{Status: kv.Applied, Revision: kv.Revision(first.Header.Revision)}
}

// postRequest tries the endpoints in turn until one accepts the request.
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

var errWatchEnded = errors.New("platform: watch ended by the service")

// next reads one message from the stream. It returns an error if the service
// ended the watch, unless it did so because of a compaction.
func (w *watch) next() (*watchResult, error) {
	var msg watchResponse
	w.limit.N = maxMessageBytes
	if err := w.stream.Decode(&msg); err != nil {
		return nil, fmt.Errorf("platform: reading watch stream: %w", err)
	}
	if msg.Result == nil {
		return nil, errWatchEnded
	}
	if msg.Result.Canceled && msg.Result.CompactRevision == 0 {
		return nil, errWatchEnded
	}
	if err := msg.Result.check(); err != nil {
		return nil, fmt.Errorf("platform: watch stream: %w", err)
	}
	return msg.Result, nil
}

// updateRevision advances w.revision to what r covers. After a compaction the
// revisions in between are lost: the watcher must read the keys again, and the
// watch resumes at the oldest revision that the service still has.
func (w *watch) updateRevision(r *watchResult) {
	if r.CompactRevision > 0 {
		w.gap = true
		w.revision = max(w.revision, kv.Revision(r.CompactRevision)-1)
		return
	}
	if n := len(r.Events); n > 0 {
		// The header's revision may be later than that of events not sent yet.
		w.revision = kv.Revision(r.Events[n-1].KV.ModRevision)
		return
	}
	if r.Created && w.revision > 0 {
		return // the events after w.revision have not been sent yet
	}
	w.revision = max(w.revision, kv.Revision(r.Header.Revision))
}

// run delivers batches until ctx ends or the watch cannot be reopened.
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

// deliver sends the events of the current connection to the channel until the
// connection breaks, the service cancels the watch or ctx ends.
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

// send delivers b, and reports false if ctx ends first.
func (w *watch) send(ctx context.Context, b kv.Batch) bool {
	select {
	case w.out <- b:
		w.gap = false
		return true
	case <-ctx.Done():
		return false
	}
}

// reopen opens the watch again and reports whether that succeeded. The backoff
// has jitter, so that the watchers do not all reconnect at once after an outage.
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
