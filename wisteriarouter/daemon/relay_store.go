package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// storeTimeout bounds a call to the platform's store, which answers in some
// milliseconds; a slow one takes 60 times as long.
const storeTimeout = time.Second

func newStore(i do.Injector) (*platform.Store, error) {
	cfg := settingsOf(i).Relay
	observe := newStoreMetrics(do.MustInvoke[*prometheus.Registry](i))
	s, cleanup := platform.NewStore(platform.StoreConfig{Address: cfg.Store, Timeout: storeTimeout, OnCall: observe})
	onStop(i, cleanup)
	return s, nil
}

// newMirror makes the router's copy of what the store holds, which the parts
// that go by it observe.
func newMirror(do.Injector) (*mirror.Mirror, error) { return mirror.New(), nil }

// feed starts to feed the mirror, whose observers are set by then, from the
// store and from other routers.
func feed(i do.Injector, m *mirror.Mirror, asked *mirror.CallLog) {
	node := do.MustInvoke[*peer.Node](i)
	away := do.MustInvoke[*peer.FailureDetector](i)
	f := mirror.NewFeed(mirror.FeedConfig{
		Self:          node.Self().Instance,
		Prefix:        platform.Prefix,
		Mirror:        m,
		Store:         do.MustInvoke[*platform.Store](i),
		Transport:     away,
		Routers:       do.MustInvoke[*fleet](i).routers,
		OnState:       storeLogger{logOf(i)}.told,
		CallLog:       asked,
		OnHintFailure: untoldLogger{logOf(i)}.told,
	})
	node.Handle(mirror.Topic, f.Handle)
	node.Handle(mirror.TopicHint, func(_ context.Context, from coordination.Instance, payload []byte) ([]byte, error) {
		return nil, f.HandleHint(from, payload)
	})
	away.Watch(f.RecheckStore)
	onStop(i, f.Start())
}

// storeLogger logs that the store is lost or back.
type storeLogger struct{ log event.Log }

func (s storeLogger) told(err error) {
	if err == nil {
		s.log.Emit(event.PlatformBack)
		return
	}
	s.log.Emit(event.PlatformLost, event.F("error", err.Error()))
}

// untoldLogger logs hints that could not be sent or followed.
type untoldLogger struct{ log event.Log }

func (u untoldLogger) told(id coordination.Instance, err error) {
	u.log.Emit(event.HintFailed, event.F("peer", id), event.F("error", err.Error()))
}
