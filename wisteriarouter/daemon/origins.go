package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/relay"
)

// origins implements relay.Origins. Streams of pools with several versions are written to the
// platform's store as well, so that they outlast all routers.
type origins struct {
	keeper  *origin.Keeper
	writer  *origin.Writer
	witness *origin.Witness
	history *versionHistory
	mirror  *mirror.Mirror
	log     event.Log
	// recent lists the routers that may have begun streams, and replying those that reply.
	recent, replying func() []placement.Router
	// joined is when the router knows the others at the latest, if it joins a fleet.
	joined time.Time
	// loadedBy is when the router gives up waiting for the streams in the store, and loaded
	// is closed when it has them.
	loadedBy time.Time
	loaded   chan struct{}

	mu       sync.Mutex
	loading  chan struct{} // closed when the latest read of the store ends; nil before the first
	loadedAt time.Time     // when that read began
}

const (
	// originJoinWait is how long after its start a router that joins a fleet asks again for
	// a stream that no router knows: it may not have met those that know it yet.
	originJoinWait = 500 * time.Millisecond
	// originAskPause is the time between two such attempts.
	originAskPause = 50 * time.Millisecond
	// originLoadWait is how long after its start a router lets streams that no router knows
	// wait for what the store has of them.
	originLoadWait = 2 * time.Second
	// originLoadInterval is the least time between two reads of the store for streams that no
	// router knows.
	originLoadInterval = time.Second
	// originLoadTimeout bounds such a read.
	originLoadTimeout = time.Second
	// originLoadPause is the mean time between two attempts to read the store.
	originLoadPause = 200 * time.Millisecond
)

func newOrigins(i do.Injector) (*origins, error) {
	node := do.MustInvoke[*peer.Node](i)
	detector := do.MustInvoke[*peer.FailureDetector](i)
	keeper, stop := origin.NewKeeper(origin.Config{
		Self:      node.Self().Instance,
		Transport: detector,
		Routers:   responsiveRouters{detector}.list,
		OnFailure: keepFailureLogger{logOf(i)}.logFailure,
	})
	node.Handle(origin.TopicRecord, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return nil, keeper.HandleRecord(payload)
	})
	node.Handle(origin.TopicFind, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return keeper.HandleFind(payload)
	})
	node.OnChange(func([]membership.Member) { keeper.RoutersChanged() })
	detector.Watch(keeper.RoutersChanged)
	onStop(i, stop)
	log := logOf(i)
	writer, stopWriter := origin.NewWriter(origin.WriterConfig{
		Self:      node.Self().Instance,
		Transport: detector,
		Routers:   responsiveRouters{detector}.list,
		Store:     do.MustInvoke[*platform.Store](i),
		Prefix:    platform.StreamsPrefix,
		OnWrite:   streamWriteLogger{log}.logResult,
	})
	node.Handle(origin.TopicWrite, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return nil, writer.HandleWrite(payload)
	})
	onStop(i, stopWriter)
	o := &origins{
		keeper: keeper, writer: writer, witness: newWitness(i), history: do.MustInvoke[*versionHistory](i), mirror: do.MustInvoke[*mirror.Mirror](i), log: log,
		recent: do.MustInvoke[*recentRouters](i).list, replying: responsiveRouters{detector}.list,
		loadedBy: stateOf(i).started.Add(originLoadWait), loaded: make(chan struct{}),
	}
	o.history.onMixed(o.poolMixed)
	ctx, cancel := context.WithCancel(context.Background())
	onStop(i, cancel)
	go o.run(ctx)
	if len(configOf(i).Peers.Seeds) > 0 {
		o.joined = stateOf(i).started.Add(originJoinWait)
	}
	return o, nil
}

// newWitness creates what finds out whether a pool has one version of its software.
func newWitness(i do.Injector) *origin.Witness {
	node := do.MustInvoke[*peer.Node](i)
	history := do.MustInvoke[*versionHistory](i)
	w := origin.NewWitness(origin.WitnessConfig{
		Self:      node.Self().Instance,
		Transport: do.MustInvoke[*peer.FailureDetector](i),
		Recent:    do.MustInvoke[*recentRouters](i).list,
		Confirm:   do.MustInvoke[*mirror.Feed](i).Confirm,
		View:      history.view,
		Recently:  history.recent,
		Alone:     len(configOf(i).Peers.Seeds) == 0,
	})
	node.Handle(origin.TopicView, func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return w.HandleView(ctx, payload)
	})
	return w
}

// responsiveRouters lists the routers that reply, with their incarnations.
type responsiveRouters struct{ detector *peer.FailureDetector }

func (r responsiveRouters) list() []placement.Router {
	return lo.Map(r.detector.Responsive(), func(m membership.Member, _ int) placement.Router {
		return placement.Router{ID: m.Instance, Incarnation: m.Incarnation, Zone: m.Zone}
	})
}

// keepFailureLogger logs routers that could not be told of streams.
type keepFailureLogger struct{ log event.Log }

func (l keepFailureLogger) logFailure(id coordination.Instance, streams int, err error) {
	l.log.Emit(event.OriginNotKept, event.F("peer", id), event.F("streams", streams), event.F("error", err.Error()))
}

// streamWriteLogger logs streams that could not be written to the store.
type streamWriteLogger struct{ log event.Log }

func (l streamWriteLogger) logResult(streams int, res kv.Result) {
	if res.Status != kv.Applied {
		l.log.Emit(event.StreamsNotWritten, event.F("streams", streams), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
	}
}

// run reads the streams in the store once the router has heard from it.
func (o *origins) run(ctx context.Context) {
	o.mirror.Wait(ctx, 0, nil)
	for ctx.Err() == nil {
		if o.load(ctx) {
			close(o.loaded)
			return
		}
		coordination.Sleep(ctx, coordination.Jitter(originLoadPause))
	}
}

// load reads the streams in the store and reports whether it could.
func (o *origins) load(ctx context.Context) bool {
	records, res := o.writer.Load(ctx)
	o.log.Emit(event.StreamsLoaded, event.F("streams", len(records)), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
	o.keeper.Learn(records)
	return res.Status == kv.Applied
}

// reload reads the streams in the store again, unless that was done lately, and returns when
// the latest read has ended. This router may live on while all that knew a stream were killed.
func (o *origins) reload(ctx context.Context) {
	o.mu.Lock()
	if time.Since(o.loadedAt) > originLoadInterval {
		o.loading, o.loadedAt = make(chan struct{}), time.Now()
		go reading{o, o.loading}.run()
	}
	loading := o.loading
	o.mu.Unlock()
	select {
	case <-loading:
	case <-ctx.Done():
	}
}

// reading is a read of the streams in the store. It goes on if the request that asked for it
// ends, as others may wait for it.
type reading struct {
	origins *origins
	done    chan<- struct{}
}

func (r reading) run() {
	ctx, cancel := context.WithTimeout(context.Background(), originLoadTimeout)
	defer cancel()
	defer close(r.done)
	r.origins.load(ctx)
}

// mayLearn reports whether this router may soon know more streams, as it has just started.
func (o *origins) mayLearn() bool {
	now := time.Now()
	select {
	case <-o.loaded:
		return now.Before(o.joined)
	default:
		return now.Before(o.loadedBy)
	}
}

// Record implements relay.Origins.
func (o *origins) Record(s relay.StreamID, p coordination.Pool, v coordination.SoftwareVersion, left time.Duration) {
	left = min(max(left, 0), maxStreamAge)
	r := origin.Record{Attempt: s.Attempt, Pool: p, Version: v, LeftMs: uint32(min(left.Milliseconds(), math.MaxUint32)), Content: s.Content}
	o.keeper.Record(r)
	if o.history.Single(p) {
		return
	}
	o.writer.Write(r)
	for _, each := range origin.ByContent([]origin.Record{r}) {
		o.keeper.Record(each)
		o.writer.Write(each)
	}
}

// poolMixed is called with a pool that has become mixed. Its streams are from now on known by
// their content as well, which tells nothing in a pool of one version.
func (o *origins) poolMixed(p coordination.Pool) {
	own := o.keeper.Own(p)
	o.writer.Write(append(own, origin.ByContent(own)...)...)
	o.keeper.KeepByContent(p)
}

// Find implements relay.Origins. It asks also if the pool has one version, as far as this
// router knows: it may not have heard of another one yet.
func (o *origins) Find(ctx context.Context, s relay.StreamID, p coordination.Pool) relay.Origin {
	f := o.find(ctx, s, p)
	if f.Known {
		return knownOrigin(f)
	}
	t := o.witness.Ask(ctx, p)
	if t.Single {
		return relay.Origin{Single: true, Version: t.Version, Confirmed: t.Confirmed, Asked: f.Asked() + t.Asked, Silent: f.Silent + t.Silent}
	}
	// A router that cannot tell whether its pool has one version does not reach the store.
	readable := !o.history.Single(p)
	for !f.Known && !f.Several && o.mayLearn() && coordination.Sleep(ctx, originAskPause) {
		f = o.find(ctx, s, p)
	}
	if !f.Known && !f.Several && readable {
		o.reload(ctx)
		f = o.find(ctx, s, p)
	}
	result := knownOrigin(f)
	result.Asked, result.Silent = result.Asked+t.Asked, result.Silent+t.Silent
	return result
}

// find searches for a stream by the attempt that its caller names, or by its content.
func (o *origins) find(ctx context.Context, s relay.StreamID, p coordination.Pool) origin.Found {
	if s.Attempt != "" {
		return o.keeper.Find(ctx, s.Attempt, p)
	}
	// A router that does not reply may have begun another stream of this content, at another
	// version.
	f := o.keeper.FindByContent(ctx, s.Content)
	f.Known = f.Known && f.Silent == 0 && o.allReply()
	return f
}

// allReply reports whether all routers that may have begun streams reply to this one.
func (o *origins) allReply() bool {
	replying := lo.SliceToMap(o.replying(), func(r placement.Router) (coordination.Instance, bool) { return r.ID, true })
	return lo.EveryBy(o.recent(), func(r placement.Router) bool { return replying[r.ID] })
}

func knownOrigin(f origin.Found) relay.Origin {
	return relay.Origin{Known: f.Known, Version: f.Version, From: f.From, Asked: f.Asked(), Silent: f.Silent}
}

// handOverTimeout limits how long a router that stops tells others of streams.
const handOverTimeout = 300 * time.Millisecond

// handOver tells the other routers of the streams that this one knows.
func (o *origins) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	o.keeper.HandOver(ctx)
}
