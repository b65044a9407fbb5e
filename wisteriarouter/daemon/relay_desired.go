package daemon

import (
	"context"
	"sync"
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

// desiredState holds the desired state in force. It implements
// relay.DesiredState.
type desiredState struct {
	log         event.Log
	table       atomic.Pointer[route.Table]
	placer      *placer
	history     *versionHistory
	mirror      *mirror.Mirror
	callLog     *mirror.CallLog
	evacuations *evacuations
	relay       atomic.Pointer[config.Relay]
	keys        *keyUse
	ready       chan struct{}   // closed with the first desired state
	asked       <-chan struct{} // closed when other routers have been asked for a later one

	mu sync.Mutex // held while a table is put in force
	// latest is the newest table, which is not in force yet if it has no client accounts and
	// other routers have not been asked whether earlier ones had.
	latest   *route.Table
	hasAsked bool
}

func newDesiredState(i do.Injector) (*desiredState, error) {
	d := &desiredState{
		log:     logOf(i),
		placer:  do.MustInvoke[*placer](i),
		history: do.MustInvoke[*versionHistory](i),
		callLog: do.MustInvoke[*mirror.CallLog](i),
		keys:    do.MustInvoke[*keyUse](i),
		ready:   make(chan struct{}),
	}
	d.evacuations = newEvacuations(d.placer, d.log)
	d.relay.Store(configOf(i).Relay)
	m := do.MustInvoke[*mirror.Mirror](i)
	d.mirror = m
	m.Observe(restoreLogger{d.log}.applyChanges)
	// Endpoints and crashing requests are read before the desired state: requests
	// that wait for it would otherwise find their pools empty, or crash endpoints.
	do.MustInvoke[*endpoint.EntryTracker](i)
	do.MustInvoke[*convictionStores](i)
	do.MustInvoke[*origins](i).writer.OnMalformed(malformedBatchLogger{d.log}.logBatch) // with the versions of pools
	m.Observe(d.applyChanges)
	d.keys.observe(d.update)
	m.Observe(newBehindMetric(do.MustInvoke[*prometheus.Registry](i)))
	d.asked = startFeed(i)
	ctx, cancel := context.WithCancel(context.Background())
	go d.run(ctx)
	onStop(i, cancel)
	return d, nil
}

// run puts a table in force that waits for the answers of other routers.
func (d *desiredState) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.asked:
	}
	d.recordAsked()
	d.update()
}

func (d *desiredState) recordAsked() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasAsked = true
}

// Table implements relay.DesiredState.
func (d *desiredState) Table() *route.Table { return d.table.Load() }

// Known implements relay.DesiredState.
func (d *desiredState) Known() <-chan struct{} { return d.ready }

// Age implements relay.DesiredState.
func (d *desiredState) Age() time.Duration { return d.mirror.Age() }

// applyChanges puts a new desired state in force. A state that cannot be
// decoded, or that is not newer than the one in force, is ignored. Evacuations come
// first: requests that wait for the first desired state must respect them.
func (d *desiredState) applyChanges(n mirror.Changes) {
	d.evacuations.applyChanges(n)
	for _, item := range n.Items {
		if item.Key == platform.StateKey && !item.Deleted {
			d.apply(item, n)
		}
	}
}

func (d *desiredState) apply(item mirror.Item, n mirror.Changes) {
	s, err := platform.DecodeState(item.Value)
	if err != nil {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision.Number()), event.F("error", err.Error()))
		return
	}
	old := d.newest()
	if old != nil && s.Version <= old.Version {
		d.log.Emit(event.SettingsInvalid, event.F("revision", item.Revision.Number()), event.F("version", s.Version), event.F("in-force", old.Version))
		return
	}
	table := route.NewTable(s)
	d.history.applyRoutes(old, table)
	d.setNewest(table)
	d.placer.applyBounds(s, d.relay.Load())
	if s.Accounts != nil {
		d.keys.record()
	}
	d.update()
	d.log.Emit(event.SettingsApplied,
		event.F("version", s.Version),
		event.F("revision", item.Revision.Number()),
		event.F("routes", len(s.Routes)),
		event.F("keys-in-use", d.keys.known()),
		event.F("from", sourceName(n.From)),
		event.F("behind-ms", n.Behind.Milliseconds()),
		event.F("unconfirmed-ms", n.Unconfirmed.Milliseconds()),
	)
	if old == nil {
		return
	}
	d.logLate(s.Version, n)
}

// newest returns the newest table, which may not be in force yet, or nil if there is none.
func (d *desiredState) newest() *route.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

func (d *desiredState) setNewest(t *route.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest = t
}

// update puts the latest table in force, unless it is not known yet whether callers may send
// API keys.
func (d *desiredState) update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	inUse := d.keys.known()
	if d.latest == nil || !inUse && !d.hasAsked {
		return
	}
	if d.latest.KeysInUse != inUse {
		table := *d.latest
		table.KeysInUse = inUse
		d.latest = &table
	}
	if d.table.Swap(d.latest) == nil {
		d.placer.update()
		close(d.ready)
	}
}

// lateThreshold is the delay after the first router from which a change is
// logged as late: a quarter of the 2 s within which it has to be in force.
const lateThreshold = 500 * time.Millisecond

// logLate logs a version that reached this router late, with the routers that
// it asked meanwhile.
func (d *desiredState) logLate(v route.Version, n mirror.Changes) {
	if n.Behind < lateThreshold {
		return
	}
	d.log.Emit(event.SettingsLate,
		event.F("version", v),
		event.F("from", sourceName(n.From)),
		event.F("behind-ms", n.Behind.Milliseconds()),
		event.F("asked", d.callLog.String()),
	)
}

// sourceName returns the log name of a mirror's source.
func sourceName(from coordination.Instance) string {
	if from == "" {
		return "store"
	}
	return string(from)
}

// configure applies reloaded settings of this router.
func (d *desiredState) configure(cfg config.Relay) {
	d.relay.Store(&cfg)
	if t := d.newest(); t != nil {
		d.placer.applyBounds(t.State, &cfg)
	}
}
