package daemon

import (
	"context"
	"math"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/origin"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	"wisteriaspool/wisteriarouter/relay"
)

// origins implements relay.Origins.
type origins struct {
	keeper  *origin.Keeper
	history *versionHistory
	// joined is when the router knows the others at the latest, if it joins a fleet.
	joined time.Time
}

const (
	// originJoinWait is how long after its start a router that joins a fleet asks again for
	// a stream that no router knows: it may not have met those that know it yet.
	originJoinWait = 500 * time.Millisecond
	// originAskPause is the time between two such attempts.
	originAskPause = 50 * time.Millisecond
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
	o := &origins{keeper: keeper, history: do.MustInvoke[*versionHistory](i)}
	if len(configOf(i).Peers.Seeds) > 0 {
		o.joined = stateOf(i).started.Add(originJoinWait)
	}
	return o, nil
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

// Record implements relay.Origins.
func (o *origins) Record(a coordination.Attempt, p coordination.Pool, v coordination.SoftwareVersion, left time.Duration) {
	left = min(max(left, 0), maxStreamAge)
	o.keeper.Record(origin.Record{Attempt: a, Pool: p, Version: v, LeftMs: uint32(min(left.Milliseconds(), math.MaxUint32))})
}

// Find implements relay.Origins.
func (o *origins) Find(ctx context.Context, a coordination.Attempt, p coordination.Pool) relay.Origin {
	if o.history.Single(p) {
		return relay.Origin{AnyVersion: true}
	}
	f := o.keeper.Find(ctx, a, p)
	for !f.Known && time.Now().Before(o.joined) && coordination.Sleep(ctx, originAskPause) {
		f = o.keeper.Find(ctx, a, p)
	}
	return relay.Origin{Known: f.Known, Version: f.Version, From: f.From, Silent: f.Silent}
}

// handOverTimeout limits how long a router that stops tells others of streams.
const handOverTimeout = 300 * time.Millisecond

// handOver tells the other routers of the streams that this one knows.
func (o *origins) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	o.keeper.HandOver(ctx)
}
