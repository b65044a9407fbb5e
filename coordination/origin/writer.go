package origin

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/placement"
)

// TopicWrite is the topic of records for a router that writes them to the store.
const TopicWrite = "origin-write"

// Store is the part of the platform's key-value service that a Writer needs.
type Store interface {
	List(ctx context.Context, prefix string) kv.Result
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	Create(ctx context.Context, key string, value []byte, lease kv.Lease) kv.Result
}

// WriterConfig configures a Writer.
type WriterConfig struct {
	Self      coordination.Instance
	Transport Transport
	Routers   func() []placement.Router // as in Config
	Store     Store
	Prefix    string // of the keys of batches
	// OnWrite, if set, is called with the result of each write of a batch.
	OnWrite func(streams int, res kv.Result)
}

// Writer writes records to the platform's store, so that they outlast all routers. The
// routers send their records to a few of them, which write them in batches. A batch ends
// with its lease, when none of its streams can be taken up any more. If the store grants
// shorter leases, the records are written again before.
type Writer struct {
	cfg     WriterConfig
	pending chan struct{} // buffered; holds a value if there are records to send
	queued  chan struct{} // buffered; holds a value if there are records to write

	// Used by loop only.
	lease      kv.Lease
	leaseEnds  time.Time
	leaseTTL   time.Duration  // for which it was granted
	reuseUntil time.Time      // how long it serves batches whose streams outlast it
	outlasting []writtenBatch // in the store, but removed with their leases before their streams end

	mu          sync.Mutex
	outgoing    []Record
	queue       []queuedRecord
	onMalformed func(p kv.Pair, err error) // nil if not set
	// malformed holds the revisions of the batches that could not be decoded at the last
	// read, by key.
	malformed map[string]kv.Revision
}

// queuedRecord is a record that this router is to write.
type queuedRecord struct {
	Record
	expires time.Time
}

// writtenBatch is a batch in the store whose lease ends before the last of its streams.
type writtenBatch struct {
	records []queuedRecord
	due     time.Time // when its records have to be written with another lease
}

const (
	// minSendDelay is how long a small fleet's routers collect records before they send them to
	// a writer, and writeInterval the time between two writes of one. Together they bound how
	// long a stream is not in the store yet. In larger fleets the delay grows to maxSendDelay,
	// so that a writer gets about as many messages.
	minSendDelay  = 20 * time.Millisecond
	maxSendDelay  = 200 * time.Millisecond
	writeInterval = 100 * time.Millisecond
	// routersPerWriter is how many routers share a writer.
	routersPerWriter = 40
	// sendTimeout bounds a call that hands records to a writer.
	sendTimeout = 300 * time.Millisecond
	// writeTimeout bounds a write with the grant of its lease.
	writeTimeout = 2 * time.Second
	// leaseReuse is for how long a lease serves further batches.
	leaseReuse = 5 * time.Second
	// leaseMargin is the share of its time for which a lease that is shorter than asked for
	// serves further batches, and by how much sooner than it ends its batches are written
	// again.
	leaseMargin = 3
	// maxQueue bounds the records that wait to be written, and those that have to be written
	// again. The oldest, whose streams have most likely ended, are dropped.
	maxQueue = 1 << 16
	// maxBatchBytes bounds the value of a batch, which stays well below the platform's limit.
	maxBatchBytes = 1 << 18
	// recordOverhead bounds the bytes of an encoded record besides its texts.
	recordOverhead = 32
	// maxRetryPause bounds the pause between writes while the store takes none.
	maxRetryPause = 2 * time.Second
)

// NewWriter returns a Writer, and a function that stops it.
func NewWriter(cfg WriterConfig) (*Writer, func()) {
	w := &Writer{cfg: cfg, pending: make(chan struct{}, 1), queued: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	go w.run(ctx)
	go w.loop(ctx)
	return w, cancel
}

// Write makes the records reach the store soon. It does not block.
func (w *Writer) Write(records ...Record) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	w.outgoing = append(w.outgoing, records...)
	w.mu.Unlock()
	signal(w.pending)
}

// run sends records to the router that writes them for this one.
func (w *Writer) run(ctx context.Context) {
	for {
		select {
		case <-w.pending:
		case <-ctx.Done():
			return
		}
		if !coordination.Sleep(ctx, sendDelay(len(w.cfg.Routers()))) {
			return
		}
		w.mu.Lock()
		records := w.outgoing
		w.outgoing = nil
		w.mu.Unlock()
		w.send(ctx, records)
	}
}

// sendDelay returns how long each of a number of routers collects records.
func sendDelay(routers int) time.Duration {
	return min(minSendDelay*time.Duration(1+routers/routersPerWriter), maxSendDelay)
}

// send hands records to the router that writes them. If it does not take them, this one
// writes them itself.
func (w *Writer) send(ctx context.Context, records []Record) {
	to := writerOf(w.cfg.Self, w.cfg.Routers())
	if to == w.cfg.Self {
		w.enqueue(records)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err := w.cfg.Transport.Call(callCtx, to, TopicWrite, encode(recordBatch{Records: records})); err != nil {
		w.enqueue(records)
	}
}

// writerOf returns the router that writes the records of a router.
func writerOf(self coordination.Instance, routers []placement.Router) coordination.Instance {
	writers := uint64(1 + len(routers)/routersPerWriter)
	slot := xxhash.Sum64String(string(self)) % writers
	ordered := order(coordination.Attempt("writer-"+strconv.FormatUint(slot, 10)), routers)
	if len(ordered) == 0 {
		return self
	}
	return ordered[0].ID
}

// HandleWrite handles a message of another router on [TopicWrite]. The error is
// [ErrMalformed] if it cannot be decoded.
func (w *Writer) HandleWrite(payload []byte) error {
	var b recordBatch
	if err := cbor.Unmarshal(payload, &b); err != nil {
		return ErrMalformed.Wrap(err, "records to write")
	}
	w.enqueue(b.Records)
	return nil
}

func (w *Writer) enqueue(records []Record) {
	now := time.Now()
	w.mu.Lock()
	for _, r := range records {
		w.queue = append(w.queue, queuedRecord{r, now.Add(r.left())})
	}
	w.queue = w.queue[max(0, len(w.queue)-maxQueue):]
	w.mu.Unlock()
	signal(w.queued)
}

// size bounds the bytes of an encoded record.
func (r queuedRecord) size() int {
	return recordOverhead + len(r.Attempt) + len(r.Pool) + len(r.Version)
}

// takeBatch removes the next records from the queue and returns those that have not expired,
// with the time when the last of them does.
func (w *Writer) takeBatch(now time.Time) (batch []queuedRecord, ends time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for _, r := range w.queue {
		size += r.size()
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
		if r.expires.After(now) && r.size() <= maxBatchBytes {
			batch = append(batch, r)
		}
		if r.expires.After(ends) {
			ends = r.expires
		}
	}
	w.queue = w.queue[n:]
	if len(w.queue) > 0 {
		signal(w.queued)
	}
	return batch, ends
}

// putBack puts a batch that could not be written, or has to be written again, in front of the
// queue.
func (w *Writer) putBack(batch []queuedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(batch, w.queue...)
	w.queue = w.queue[max(0, len(w.queue)-maxQueue):]
	signal(w.queued)
}

// loop writes batches to the store.
func (w *Writer) loop(ctx context.Context) {
	pause := writeInterval
	for {
		select {
		case <-w.queued:
		case <-w.nextDue():
			w.enqueueDue(time.Now())
		case <-ctx.Done():
			return
		}
		batch, ends := w.takeBatch(time.Now())
		if len(batch) == 0 {
			continue
		}
		if w.write(ctx, batch, ends) {
			pause = writeInterval
		} else {
			w.putBack(batch)
			pause = min(2*pause, maxRetryPause)
		}
		if !coordination.Sleep(ctx, pause) {
			return
		}
	}
}

// write writes a batch and reports whether the store has it.
func (w *Writer) write(ctx context.Context, batch []queuedRecord, ends time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := time.Now()
	res := kv.Result{Status: kv.Applied}
	if w.leaseEnds.Before(ends) && !now.Before(w.reuseUntil) {
		res = w.grant(ctx, now, ends.Sub(now)+leaseReuse)
	}
	if res.Status == kv.Applied {
		key := w.cfg.Prefix + strconv.FormatUint(rand.Uint64(), 16)
		res = w.cfg.Store.Create(ctx, key, encodeBatch(now, batch), w.lease)
	}
	if res.Status != kv.Applied {
		w.leaseEnds, w.reuseUntil = time.Time{}, time.Time{} // the store may have lost the lease
	} else if w.leaseEnds.Before(ends) {
		w.keepOutlasting(writtenBatch{records: batch, due: w.leaseEnds.Add(-w.leaseTTL / leaseMargin)})
	}
	if w.cfg.OnWrite != nil {
		w.cfg.OnWrite(len(batch), res)
	}
	return res.Status == kv.Applied
}

// grant replaces the lease by one for ttl, or for as long as the store grants.
func (w *Writer) grant(ctx context.Context, now time.Time, ttl time.Duration) kv.Result {
	lease, res := w.cfg.Store.Grant(ctx, ttl)
	w.lease, w.leaseTTL, w.reuseUntil = lease, ttl, time.Time{}
	if res.TTL > 0 && res.TTL < ttl {
		w.leaseTTL = res.TTL
		w.reuseUntil = now.Add(min(res.TTL/leaseMargin, leaseReuse))
	}
	w.leaseEnds = now.Add(w.leaseTTL)
	return res
}

// keepOutlasting keeps a batch until it has to be written again.
func (w *Writer) keepOutlasting(b writtenBatch) {
	w.outlasting = append(w.outlasting, b)
	total := lo.SumBy(w.outlasting, func(b writtenBatch) int { return len(b.records) })
	for total > maxQueue && len(w.outlasting) > 1 {
		total -= len(w.outlasting[0].records)
		w.outlasting = w.outlasting[1:]
	}
}

// nextDue returns a channel that receives when a batch has to be written again.
func (w *Writer) nextDue() <-chan time.Time {
	if len(w.outlasting) == 0 {
		return nil
	}
	return time.After(time.Until(lo.MinBy(w.outlasting, func(a, b writtenBatch) bool { return a.due.Before(b.due) }).due))
}

// enqueueDue makes the batches that have to be written again wait for that.
func (w *Writer) enqueueDue(now time.Time) {
	due, rest := lo.FilterReject(w.outlasting, func(b writtenBatch, _ int) bool { return !now.Before(b.due) })
	w.outlasting = rest
	for _, b := range due {
		w.putBack(b.records)
	}
}

func encodeBatch(now time.Time, batch []queuedRecord) []byte {
	return encode(recordBatch{Records: lo.Map(batch, func(r queuedRecord, _ int) Record {
		// The record may have expired since it was taken from the queue.
		r.LeftMs = uint32(max(r.expires.Sub(now).Milliseconds(), 0))
		return r.Record
	})})
}

// OnMalformed registers fn to be called by Load with each batch in the store that cannot be
// decoded, once for each of its revisions while it stays there. The error is [ErrMalformed].
// It must be called before the first Load.
func (w *Writer) OnMalformed(fn func(p kv.Pair, err error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onMalformed = fn
}

// Load returns the records of all batches in the store, and reports whether it could be
// read. Batches that cannot be decoded are left out, and reported to the function given to
// OnMalformed.
func (w *Writer) Load(ctx context.Context) ([]Record, kv.Result) {
	res := w.cfg.Store.List(ctx, w.cfg.Prefix)
	var all []Record
	malformed := make(map[string]kv.Revision)
	for _, p := range res.Pairs {
		records, err := decodeBatch(p.Value)
		if err != nil {
			malformed[p.Key] = p.Revision
			w.reportMalformed(p, err)
		}
		all = append(all, records...)
	}
	if res.Status == kv.Applied {
		w.mu.Lock()
		w.malformed = malformed
		w.mu.Unlock()
	}
	return all, res
}

// reportMalformed reports a batch unless the read before has found it as well.
func (w *Writer) reportMalformed(p kv.Pair, err error) {
	w.mu.Lock()
	known, fn := w.malformed[p.Key] == p.Revision, w.onMalformed
	w.mu.Unlock()
	if !known && fn != nil {
		fn(p, err)
	}
}

// decodeBatch decodes a batch. The error is ErrMalformed, also for one without records, which
// no router writes.
func decodeBatch(value []byte) ([]Record, error) {
	var b recordBatch
	if err := cbor.Unmarshal(value, &b); err != nil {
		return nil, ErrMalformed.Wrap(err, "batch of streams")
	}
	if len(b.Records) == 0 {
		return nil, ErrMalformed.New("batch of streams: no records")
	}
	return b.Records, nil
}
