package daemon

import (
	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
	instances "wisteriaspool/wisteriarouter/platform"
)

// newStoreDirectory creates a directory for the endpoints listed in the store.
func newStoreDirectory(i do.Injector) (*endpoint.Directory, error) {
	d := &endpoint.Directory{OnLeaving: leavingLogger{logOf(i)}.logLeaving}
	do.MustInvoke[*peer.Node](i).OnRumor(topicLeaving, leavingReceiver{directory: d}.receive)
	return d, nil
}

// newEntryTracker creates the tracker that applies the store's entries to the
// directory.
func newEntryTracker(i do.Injector) (*endpoint.EntryTracker, error) {
	m := do.MustInvoke[*mirror.Mirror](i)
	r := &endpoint.EntryTracker{
		Directory:        do.MustInvoke[*endpoint.Directory](i),
		StoreUnavailable: func() bool { return m.Age() > mirror.OutageThreshold },
		Log:              logOf(i),
	}
	m.OnStoreRecovery(r.StoreRecovered)
	m.Observe(entryReader{tracker: r, log: logOf(i)}.applyChanges)
	return r, nil
}

type leavingLogger struct{ log event.Log }

func (l leavingLogger) logLeaving(id coordination.Endpoint, n coordination.Incarnation) {
	l.log.Emit(event.EndpointLeaving, event.F("endpoint", id), event.F("incarnation", n))
}

// entryReader converts store items into endpoint changes.
type entryReader struct {
	tracker *endpoint.EntryTracker
	log     event.Log
}

func (r entryReader) applyChanges(n mirror.Changes) {
	changes := make([]endpoint.Change, 0, len(n.Items))
	for _, item := range n.Items {
		if !platform.IsEntry(item.Key) {
			continue
		}
		if c, ok := r.decodeChange(item); ok {
			changes = append(changes, c)
		}
	}
	if n.Restored {
		r.tracker.ApplyRestored(changes)
		return
	}
	r.tracker.Apply(changes)
}

func (r entryReader) decodeChange(item mirror.Item) (endpoint.Change, bool) {
	if item.Deleted {
		return endpoint.Change{Entry: instances.Entry{ID: platform.EntryID(item.Key)}, Removed: true}, true
	}
	e, err := platform.DecodeEntry(item.Key, item.Value)
	if err != nil {
		r.log.Emit(event.EndpointMalformed, event.F("key", item.Key), event.F("revision", item.Revision.Number()), event.F("error", err.Error()))
		return endpoint.Change{}, false
	}
	state := instances.Live
	if e.Draining {
		state = instances.Leaving
	}
	return endpoint.Change{Entry: instances.Entry{
		ID:          e.ID,
		Address:     e.Address,
		Zone:        e.Zone,
		Kind:        instances.PlainService,
		Pool:        e.Pool,
		State:       state,
		Incarnation: e.Incarnation,
		Capacity:    e.Slots,
		ColdFor:     e.ColdFor,
		Version:     e.Version,
		Sequence:    e.Sequence,
	}}, true
}
