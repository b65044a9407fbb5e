package daemon

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/route"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
)

// desired holds the desired state in force.
type desired struct {
	log    event.Log
	table  atomic.Pointer[route.Table]
	place  *placing
	mirror *mirror.Mirror
	asked  *mirror.CallLog
	relay  atomic.Pointer[config.Relay]
	ready  chan struct{} // closed with the first desired state
}

func newDesired(i do.Injector) (*desired, error) {
	d := &desired{
		log:   logOf(i),
		place: do.MustInvoke[*placing](i),
		asked: new(mirror.CallLog),
		ready: make(chan struct{}),
	}
	d.relay.Store(settingsOf(i).Relay)
	m := do.MustInvoke[*mirror.Mirror](i)
	d.mirror = m
	// Endpoints are taken in before the desired state: requests that wait for
	// it would otherwise find their pools empty.
	do.MustInvoke[*endpoint.EntryTracker](i)
	m.Observe(d.take)
	m.Observe(newBehindMetric(do.MustInvoke[*prometheus.Registry](i)))
	feed(i, m, d.asked)
	return d, nil
}

// Table implements relay.Desired.
func (d *desired) Table() *route.Table { return d.table.Load() }

// Known implements relay.Desired.
func (d *desired) Known() <-chan struct{} { return d.ready }

// Age implements relay.Desired.
func (d *desired) Age() time.Duration { return d.mirror.Age() }

// take puts a new desired state in force. One that cannot be read, or that is
// older than the one in force, changes nothing.
func (d *desired) take(n mirror.Changes) {
	for _, item := range n.Items {
		if item.Key == platform.StateKey && !item.Deleted {
			d.apply(item, n)
		}
	}
}

func (d *desired) apply(item mirror.Item, n mirror.Changes) {
	s, err := platform.DecodeState(item.Value)
	if err != nil {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision), event.F("error", err.Error()))
		return
	}
	old := d.table.Load()
	if old != nil && s.Version <= old.Version {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision), event.F("version", s.Version), event.F("in-force", old.Version))
		return
	}
	d.table.Store(route.NewTable(s))
	d.place.bounds(s, d.relay.Load())
	d.log.Emit(event.SettingsApplied,
		event.F("version", s.Version),
		event.F("revision", item.Revision),
		event.F("routes", len(s.Routes)),
		event.F("from", sourceName(n.From)),
		event.F("behind-ms", n.Behind.Milliseconds()),
		event.F("unconfirmed-ms", n.Unconfirmed.Milliseconds()),
	)
	if old == nil {
		d.place.update()
		close(d.ready)
		return
	}
	d.warnLate(s.Version, n)
}

// lateAfter is how long behind the first router a change is logged as late: a
// quarter of the two seconds in which it has to be in force.
const lateAfter = 500 * time.Millisecond

// warnLate logs a version that other routers have had for long, with whom this
// router asked meanwhile.
func (d *desired) warnLate(v route.Version, n mirror.Changes) {
	if n.Behind < lateAfter {
		return
	}
	d.log.Emit(event.SettingsLate,
		event.F("version", v),
		event.F("from", sourceName(n.From)),
		event.F("behind-ms", n.Behind.Milliseconds()),
		event.F("asked", d.asked.String()),
	)
}

// sourceName is the name of a mirror's source in the log.
func sourceName(from coordination.Instance) string {
	if from == "" {
		return "store"
	}
	return string(from)
}

// configure takes in new settings of this router.
func (d *desired) configure(cfg config.Relay) {
	d.relay.Store(&cfg)
	if t := d.table.Load(); t != nil {
		d.place.bounds(t.State, &cfg)
	}
}
