package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// keyUse knows whether callers may send API keys: a desired state has had client accounts, at
// any time. Callers go on sending their keys to one that has none any more. It is recorded in
// the platform's store, so that routers that start later know it, and they ask others, which may
// not have been able to write it.
type keyUse struct {
	mirror  *mirror.Mirror
	store   keyUseStore
	log     event.Log
	changed chan struct{} // buffered; holds a value if there may be something to write

	mu        sync.Mutex
	inUse     bool
	observers []func()
}

// keyUseStore is the part of the platform's store that keyUse needs.
type keyUseStore interface {
	Create(ctx context.Context, key string, value []byte, lease kv.Lease) kv.Result
}

const (
	// keyUseSpread is the range of the random delay before the record is written. All routers
	// find at one moment that it is missing; few then write it.
	keyUseSpread = 500 * time.Millisecond
	// keyUseInterval is how often a router looks whether the store has the record.
	keyUseInterval = 5 * time.Second
)

func newKeyUse(i do.Injector) (*keyUse, error) {
	k := &keyUse{
		mirror:  do.MustInvoke[*mirror.Mirror](i),
		store:   do.MustInvoke[*platform.Store](i),
		log:     logOf(i),
		changed: make(chan struct{}, 1),
	}
	k.mirror.Observe(k.applyChanges)
	ctx, cancel := context.WithCancel(context.Background())
	go k.loop(ctx)
	onStop(i, cancel)
	return k, nil
}

// observe registers fn to be called when keys have come into use. It must be called before the
// first update.
func (k *keyUse) observe(fn func()) { k.observers = append(k.observers, fn) }

// known reports whether keys are in use as far as this router knows.
func (k *keyUse) known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inUse
}

// record records that keys are in use.
func (k *keyUse) record() {
	k.mu.Lock()
	first := !k.inUse
	k.inUse = true
	k.mu.Unlock()
	if !first {
		return
	}
	k.signalChange()
	for _, fn := range k.observers {
		fn()
	}
}

// applyChanges reads the record. What a restored store does not have any more still holds.
func (k *keyUse) applyChanges(n mirror.Changes) {
	for _, item := range n.Items {
		if item.Key != platform.KeysInUseKey {
			continue
		}
		if item.Deleted {
			k.signalChange()
			continue
		}
		k.record()
	}
}

// marks returns what other routers that start have to know: see mirror.FeedConfig.Marks.
func (k *keyUse) marks() []string {
	if !k.known() {
		return nil
	}
	return []string{platform.KeysInUseKey}
}

// applyMarks takes over what another router knows.
func (k *keyUse) applyMarks(marks []string) {
	if slices.Contains(marks, platform.KeysInUseKey) {
		k.record()
	}
}

// signalChange makes the loop look whether the store has the record. It does not block.
func (k *keyUse) signalChange() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *keyUse) loop(ctx context.Context) {
	t := time.NewTicker(keyUseInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-t.C:
		}
		if k.unrecorded() && coordination.Sleep(ctx, rand.N(keyUseSpread)) && k.unrecorded() {
			k.write(ctx)
		}
	}
}

// unrecorded reports whether keys are in use and the store does not have the record.
func (k *keyUse) unrecorded() bool {
	if !k.known() {
		return false
	}
	_, ok := k.mirror.Find(platform.KeysInUseKey)
	return !ok
}

// write writes the record, unless another router has done so. If that fails, the next look tries
// again.
func (k *keyUse) write(ctx context.Context) {
	res := k.store.Create(ctx, platform.KeysInUseKey, nil, kv.Lease{})
	k.log.Emit(event.KeysRecorded, event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
}
