package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/calls"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// storeTimeout limits a call to the platform's store, which answers within a
// few milliseconds; a slow store takes 60 times as long.
const storeTimeout = time.Second

func newStore(i do.Injector) (*platform.Store, error) {
	cfg := configOf(i).Relay
	registry := do.MustInvoke[*prometheus.Registry](i)
	s, cleanup := platform.NewStore(platform.StoreConfig{Address: cfg.Store, Timeout: storeTimeout, MinLease: cfg.MinLease, OnCall: newStoreMetrics(registry, do.MustInvoke[*calls.Watcher](i))})
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wisteria_store_era",
		Help: "The era of the platform's store as last told to this router. It rises each time the store is restored from a copy.",
	}, func() float64 { return float64(s.Era()) }))
	onStop(i, cleanup)
	return s, nil
}

// newMirror creates the router's copy of the store's data. The parts that use
// the data observe it.
func newMirror(do.Injector) (*mirror.Mirror, error) {
	m := mirror.New()
	m.Ignore(platform.StreamsPrefix) // read by routers that start only
	return m, nil
}

// newFeed creates the feed of the mirror, which answers other routers until it is started.
func newFeed(i do.Injector) (*mirror.Feed, error) {
	node := do.MustInvoke[*peer.Node](i)
	keys := do.MustInvoke[*keyUse](i)
	f := mirror.NewFeed(mirror.FeedConfig{
		Self:          node.Self().Instance,
		Prefix:        platform.WatchPrefix,
		Mirror:        do.MustInvoke[*mirror.Mirror](i),
		Store:         do.MustInvoke[*platform.Store](i),
		Transport:     do.MustInvoke[*peer.FailureDetector](i),
		Routers:       do.MustInvoke[*fleet](i).routers,
		OnState:       storeLogger{logOf(i)}.logStatus,
		OnOverdue:     newOverdueReporter(i).report,
		CallLog:       do.MustInvoke[*mirror.CallLog](i),
		Alone:         len(configOf(i).Peers.Seeds) == 0,
		OnHintFailure: hintFailureLogger{logOf(i)}.logFailure,
		Marks:         keys.marks,
		OnMarks:       keys.applyMarks,
	})
	node.Handle(mirror.Topic, f.Handle)
	node.Handle(mirror.TopicHint, func(_ context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
		return nil, f.HandleHint(from, payload)
	})
	node.Handle(mirror.TopicRetained, func(_ context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
		return f.HandleRetained(payload)
	})
	return f, nil
}

// startFeed starts to feed the mirror from the store and from other routers.
// All observers of the mirror have to be set before. The returned channel is closed when
// this router has asked the others what they knew before a restore of the store.
func startFeed(i do.Injector) <-chan struct{} {
	f := do.MustInvoke[*mirror.Feed](i)
	do.MustInvoke[*peer.FailureDetector](i).Watch(f.RecheckStore)
	onStop(i, f.Start())
	return f.Started()
}

// restoreLogger logs that the store has been restored from a copy.
type restoreLogger struct{ log event.Log }

func (l restoreLogger) applyChanges(n mirror.Changes) {
	if !n.Restored {
		return
	}
	gone := lo.CountBy(n.Items, func(item mirror.Item) bool { return item.Deleted })
	l.log.Emit(event.StoreRestored,
		event.F("era", n.AsOf.Era()), event.F("revision", n.AsOf.Number()),
		event.F("era-before", n.Before.Era()), event.F("revision-before", n.Before.Number()),
		event.F("keys-differ", len(n.Items)-gone), event.F("keys-gone", gone),
		event.F("from", sourceName(n.From)),
	)
}

// storeLogger logs that the store has become unavailable or available again.
type storeLogger struct{ log event.Log }

func (l storeLogger) logStatus(err error) {
	if err == nil {
		l.log.Emit(event.PlatformBack)
		return
	}
	l.log.Emit(event.PlatformLost, event.F("error", err.Error()))
}

// hintFailureLogger logs hints that could not be sent or processed.
type hintFailureLogger struct{ log event.Log }

func (l hintFailureLogger) logFailure(id coordination.Instance, err error) {
	l.log.Emit(event.HintFailed, event.F("peer", id), event.F("error", err.Error()))
}

// overdueReporter logs and counts watches that should have ended.
type overdueReporter struct {
	log     event.Log
	watches prometheus.Counter
}

func newOverdueReporter(i do.Injector) overdueReporter {
	r := overdueReporter{log: logOf(i), watches: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wisteria_store_watches_overdue_total",
		Help: "Watches that still waited although the platform's store had a later revision.",
	})}
	do.MustInvoke[*prometheus.Registry](i).MustRegister(r.watches)
	return r
}

func (r overdueReporter) report(o mirror.Overdue) {
	r.watches.Inc()
	r.log.Emit(event.WatchOverdue,
		event.F("era", o.Store.Era()),
		event.F("watched-revision", o.Watched.Number()),
		event.F("store-revision", o.Store.Number()),
		event.F("waited-ms", o.Waited.Milliseconds()),
	)
}
