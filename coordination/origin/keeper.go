package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
)

// Transport sends calls to other routers.
type Transport interface {
	// Call sends a call and returns its reply.
	Call(ctx context.Context, to coordination.Instance, topic string, payload []byte) ([]byte, error)
}

// Config configures a Keeper.
type Config struct {
	Self      coordination.Instance
	Transport Transport
	// Routers returns the routers that are alive, as far as this one knows, including
	// this one, with their incarnations: one that has started again knows nothing.
	Routers func() []placement.Router
	// OnFailure, if set, is called with a router that could not be told of streams.
	OnFailure func(id coordination.Instance, streams int, err error)
}

// Keeper knows the streams that this router forwards and those that others have told it
// of. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	ctx     context.Context // until the keeper is stopped
	table   table
	pending chan struct{} // buffered; holds a value if there is something to send
	changed chan struct{} // buffered; holds a value if routers have come or gone

	mu       sync.Mutex
	outgoing map[coordination.Instance][]Record
}

const (
	// batchDelay is how long records are collected before they are sent.
	batchDelay = 10 * time.Millisecond
	// changeDelay is how long changes of the list of routers are collected before
	// records are sent to new keepers.
	changeDelay = 250 * time.Millisecond
	// recordTimeout bounds a call that hands over records, findTimeout one that asks
	// for a stream.
	recordTimeout = time.Second
	findTimeout   = 300 * time.Millisecond
)

// NewKeeper returns a Keeper, and a function that stops it.
func NewKeeper(cfg Config) (*Keeper, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		cfg:      cfg,
		ctx:      ctx,
		pending:  make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		outgoing: make(map[coordination.Instance][]Record),
	}
	go k.run(ctx)
	go k.loop(ctx, cfg.Routers())
	return k, cancel
}

// Record records the beginning of a stream that this router forwards, and tells its
// keepers. It does not block.
func (k *Keeper) Record(r Record) {
	k.table.put(time.Now(), r, true)
	k.enqueue(keepersOf(r.Attempt, k.cfg.Routers(), k.cfg.Self), r)
}

// Learn adds records that come from another router or from the store.
func (k *Keeper) Learn(records []Record) {
	now := time.Now()
	for _, r := range records {
		k.table.put(now, r, false)
	}
}

// Own returns the records of the streams of a pool that this router forwards, or has
// forwarded and that may still be taken up.
func (k *Keeper) Own(pool coordination.Pool) []Record {
	return lo.FilterMap(k.table.all(time.Now()), func(r known, _ int) (Record, bool) {
		return r.Record, r.own && r.Pool == pool
	})
}

// KeepByContent makes the streams of a pool that this router knows known by their content
// as well, here and soon at the keepers of each content. It does not block.
func (k *Keeper) KeepByContent(pool coordination.Pool) {
	var records []Record
	for _, r := range k.table.all(time.Now()) {
		if r.Pool == pool {
			records = append(records, r.Record)
		}
	}
	records = ByContent(records)
	for _, r := range records {
		k.table.put(time.Now(), r, false)
	}
	go announcement{keeper: k, records: records}.run()
}

// announcement tells the keepers of some records. To order the routers of a large fleet for
// each of many records takes seconds, so that it leaves time for other work.
type announcement struct {
	keeper  *Keeper
	records []Record
}

const (
	// announceTime is how long an announcement works at once, and announcePause how many times
	// as long it then pauses.
	announceTime  = 5 * time.Millisecond
	announcePause = 3
)

func (a announcement) run() {
	cfg, begun := a.keeper.cfg, time.Now()
	for _, r := range a.records {
		a.keeper.enqueue(keepersOf(r.Attempt, cfg.Routers(), cfg.Self), r)
		took := time.Since(begun)
		if took < announceTime {
			continue
		}
		if !coordination.Sleep(a.keeper.ctx, announcePause*took) {
			return
		}
		begun = time.Now()
	}
}

func (k *Keeper) enqueue(to []placement.Router, r Record) {
	k.mu.Lock()
	for _, keeper := range to {
		k.outgoing[keeper.ID] = append(k.outgoing[keeper.ID], r)
	}
	k.mu.Unlock()
	signal(k.pending)
}

// RoutersChanged makes the keeper tell new keepers of the streams that it knows.
func (k *Keeper) RoutersChanged() { signal(k.changed) }

func (k *Keeper) run(ctx context.Context) {
	for {
		select {
		case <-k.pending:
		case <-ctx.Done():
			return
		}
		coordination.Sleep(ctx, batchDelay)
		for to, records := range k.takeOutgoing() {
			go delivery{keeper: k, to: to, records: records}.run(ctx)
		}
	}
}

func (k *Keeper) takeOutgoing() map[coordination.Instance][]Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.outgoing
	k.outgoing = make(map[coordination.Instance][]Record)
	return all
}

// delivery hands records to one router. Each runs in its own goroutine, so that a router
// that does not reply does not delay the records of others.
type delivery struct {
	keeper  *Keeper
	to      coordination.Instance
	records []Record
}

// run hands the records over. If the router does not take them, the next one in the order
// of each stream gets them.
func (d delivery) run(ctx context.Context) {
	err := d.send(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	cfg := d.keeper.cfg
	if cfg.OnFailure != nil {
		cfg.OnFailure(d.to, len(d.records), err)
	}
	for to, records := range d.substitutes() {
		second := delivery{keeper: d.keeper, to: to, records: records}
		if err := second.send(ctx); err != nil && ctx.Err() == nil && cfg.OnFailure != nil {
			cfg.OnFailure(to, len(records), err)
		}
	}
}

// substitutes returns the records by the router that gets each one in place of d.to: the
// next one in the order of the stream.
func (d delivery) substitutes() map[coordination.Instance][]Record {
	cfg := d.keeper.cfg
	routers := slices.DeleteFunc(slices.Clone(cfg.Routers()), func(r placement.Router) bool { return r.ID == d.to })
	all := make(map[coordination.Instance][]Record)
	for _, r := range d.records {
		if keepers := keepersOf(r.Attempt, routers, cfg.Self); len(keepers) > 0 {
			last := keepers[len(keepers)-1].ID
			all[last] = append(all[last], r)
		}
	}
	return all
}

func (d delivery) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := d.keeper.cfg.Transport.Call(ctx, d.to, TopicRecord, encode(recordBatch{Records: d.records}))
	return err
}

// HandleRecord handles a message of another router on [TopicRecord]. The error is
// [ErrMalformed] if it cannot be decoded.
func (k *Keeper) HandleRecord(payload []byte) error {
	var b recordBatch
	if err := cbor.Unmarshal(payload, &b); err != nil {
		return ErrMalformed.Wrap(err, "records")
	}
	k.Learn(b.Records)
	return nil
}

// HandleFind answers a question of another router on [TopicFind]. The error is
// [ErrMalformed] if it cannot be decoded.
func (k *Keeper) HandleFind(payload []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, ErrMalformed.Wrap(err, "question")
	}
	v, ok := k.table.find(time.Now(), streamID{q.Attempt, q.Pool})
	return encode(answer{Known: ok, Version: v}), nil
}

// Found is the result of a search for a stream.
type Found struct {
	Known   bool
	Version coordination.SoftwareVersion
	From    coordination.Instance // the router that knew the stream
	Several bool                  // the streams with the content began at several versions
	Replied int                   // other routers that replied
	Silent  int                   // routers that did not reply
}

// Asked returns how many routers were asked.
func (f Found) Asked() int { return f.Replied + f.Silent }

// FindByContent searches for the streams with a content, here and at the routers that may keep
// them. They are known only if all began at one version.
func (k *Keeper) FindByContent(ctx context.Context, c Content) Found {
	if c == 0 {
		return Found{}
	}
	own := Found{From: k.cfg.Self}
	own.Version, own.Known = k.table.find(time.Now(), streamID{attempt: c.attempt()})
	replies, n := k.inquire(ctx, c.attempt(), "")
	return mergeFound(own, replies, n)
}

// mergeFound returns what n replies and this router's own knowledge tell together of streams
// with the same content.
func mergeFound(own Found, replies <-chan Found, n int) Found {
	result := own
	for range n {
		f := <-replies
		result.Replied += f.Replied
		result.Silent += f.Silent
		switch {
		case !f.Known:
		case !result.Known:
			result.Known, result.Version, result.From = true, f.Version, f.From
		case result.Version != f.Version:
			result.Version = severalVersions
		}
	}
	result.Several = result.Known && result.Version == severalVersions
	result.Known = result.Known && !result.Several
	return result
}

// Find searches for a stream, here and at the routers that may keep it.
func (k *Keeper) Find(ctx context.Context, attempt coordination.Attempt, pool coordination.Pool) Found {
	if attempt == "" {
		return Found{}
	}
	if v, ok := k.table.find(time.Now(), streamID{attempt, pool}); ok {
		return Found{Known: true, Version: v, From: k.cfg.Self}
	}
	replies, n := k.inquire(ctx, attempt, pool)
	var result Found
	for range n {
		f := <-replies
		result.Replied += f.Replied
		result.Silent += f.Silent
		if f.Known {
			f.Replied, f.Silent = result.Replied, result.Silent
			return f
		}
	}
	return result
}

// inquire asks the routers that may keep a stream, and returns a channel that gets the n replies.
func (k *Keeper) inquire(ctx context.Context, attempt coordination.Attempt, pool coordination.Pool) (replies <-chan Found, n int) {
	asked := firstOthers(order(attempt, k.cfg.Routers()), k.cfg.Self, askedCount)
	c := make(chan Found, len(asked))
	for _, r := range asked {
		go inquiry{transport: k.cfg.Transport, to: r.ID, question: question{attempt, pool}, replies: c}.run(ctx)
	}
	return c, len(asked)
}

// inquiry asks one router for a stream.
type inquiry struct {
	transport Transport
	to        coordination.Instance
	question  question
	replies   chan<- Found // buffered
}

func (q inquiry) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	b, err := q.transport.Call(ctx, q.to, TopicFind, encode(q.question))
	var a answer
	if err != nil || cbor.Unmarshal(b, &a) != nil {
		q.replies <- Found{Silent: 1}
		return
	}
	q.replies <- Found{Known: a.Known, Version: a.Version, From: q.to, Replied: 1}
}

// loop sends records to new keepers when routers come and go.
func (k *Keeper) loop(ctx context.Context, routers []placement.Router) {
	for {
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
		if !coordination.Sleep(ctx, changeDelay) {
			return
		}
		current := k.cfg.Routers()
		if !slices.Equal(routers, current) {
			k.moveRecords(routers, current)
			routers = current
		}
	}
}

// moveRecords tells other routers of the streams some of whose keepers have gone. Of those
// that know such a stream only one does so: the one that forwards it, or else the first
// that is still there.
func (k *Keeper) moveRecords(before, now []placement.Router) {
	for _, r := range k.table.all(time.Now()) {
		// The forwarding router may be among the first, so that one more is a keeper.
		first := firstOthers(order(r.Attempt, before), "", keeperCount+1)
		left := lo.Intersect(first, now)
		switch {
		case r.own:
			old := keepersOf(r.Attempt, before, k.cfg.Self)
			k.enqueue(lo.Without(keepersOf(r.Attempt, now, k.cfg.Self), old...), r.Record)
		case len(left) < len(first) && len(left) > 0 && left[0].ID == k.cfg.Self:
			k.enqueue(keepersOf(r.Attempt, now, k.cfg.Self), r.Record)
		}
	}
}

// HandOver tells the other routers of all streams that this one knows, before it stops,
// and returns when they have replied or ctx ends.
func (k *Keeper) HandOver(ctx context.Context) {
	k.takeOutgoing() // all records are sent below
	var group sync.WaitGroup
	defer group.Wait()
	batches := make(map[coordination.Instance][]Record)
	for _, r := range k.table.all(time.Now()) {
		for _, keeper := range keepersOf(r.Attempt, k.cfg.Routers(), k.cfg.Self) {
			batches[keeper.ID] = append(batches[keeper.ID], r.Record)
		}
	}
	for to, records := range batches {
		group.Go(func() { delivery{keeper: k, to: to, records: records}.run(ctx) })
	}
}

// signal puts a value into a channel with a buffer of one unless it already holds one.
func signal(pending chan<- struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}
