package daemon

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/platform"
	"wisteriaspool/wisteriarouter/event"
)

// convictionStore is the part of the platform's store that convictions need.
type convictionStore interface {
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result)
	Create(ctx context.Context, key string, value []byte, lease kv.Lease) kv.Result
}

// convictions keeps the records of requests that crash endpoints in the platform's store,
// so that they outlast the routers that saw the crashes: all may be killed at once. Each
// record is written once, by its gate, and removed with its lease. All routers read it
// with their copy of the store.
type convictions struct {
	crashSuspicion *crashSuspicion
	store          convictionStore
	mirror         *mirror.Mirror
	log            event.Log
	changed        chan struct{}
	stored         map[suspicion.Fingerprint]time.Time // expiry of the records that the store has
}

// storeRetryPause is the mean time between two attempts to write while the store is not
// available.
const storeRetryPause = time.Second

func newConvictions(i do.Injector) (*convictions, error) {
	c := &convictions{
		crashSuspicion: do.MustInvoke[*crashSuspicion](i),
		store:          do.MustInvoke[*platform.Store](i),
		mirror:         do.MustInvoke[*mirror.Mirror](i),
		log:            logOf(i),
		changed:        make(chan struct{}, 1),
		stored:         make(map[suspicion.Fingerprint]time.Time),
	}
	c.mirror.Observe(c.applyChanges)
	c.crashSuspicion.guard.OnChange(c.signalChange)
	c.signalChange() // rumors may have arrived before
	ctx, cancel := context.WithCancel(context.Background())
	go c.loop(ctx)
	onStop(i, cancel)
	return c, nil
}

// applyChanges takes over the records that other routers have written. A router that has
// read them from the store itself need not wait for other routers.
func (c *convictions) applyChanges(n mirror.Changes) {
	for _, item := range n.Items {
		if item.Deleted || !platform.IsCrashing(item.Key) {
			continue
		}
		if err := c.crashSuspicion.takeOver(item.Value); err != nil {
			c.log.Emit(event.SettingsInvalid, event.F("key", item.Key), event.F("revision", item.Revision), event.F("error", err.Error()))
		}
	}
	if n.From == "" {
		c.crashSuspicion.guard.EndCatchUp()
	}
}

// signalChange makes the loop look for records to write. It does not block.
func (c *convictions) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *convictions) loop(ctx context.Context) {
	hold := relaySuspicionConfig.Hold
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		c.writeAll(ctx)
		// A request may be convicted only some time after its last crash.
		if !coordination.Sleep(ctx, hold) {
			return
		}
		for !c.writeAll(ctx) {
			if !coordination.Sleep(ctx, coordination.Jitter(storeRetryPause)) {
				return
			}
		}
	}
}

// writeAll writes the records that the store lacks and reports whether it has all of them
// now.
func (c *convictions) writeAll(ctx context.Context) bool {
	now := time.Now()
	for f, expires := range c.stored {
		if !now.Before(expires) {
			delete(c.stored, f)
		}
	}
	complete := true
	for _, r := range c.crashSuspicion.guard.OwnConvictions() {
		if _, ok := c.stored[r.Fingerprint]; !ok && !c.write(ctx, r) {
			complete = false
		}
	}
	return complete
}

// write writes one record and reports whether the store has it.
func (c *convictions) write(ctx context.Context, r suspicion.Record) bool {
	key := platform.CrashingKey(r.Fingerprint.String())
	expires := r.Expires.Time()
	if _, ok := c.mirror.Find(key); ok {
		c.stored[r.Fingerprint] = expires
		return true
	}
	lease, res := c.store.Grant(ctx, min(time.Until(expires), platform.MaxLease))
	if res.Status == kv.Applied {
		res = c.store.Create(ctx, key, r.Encode(), lease)
	}
	if res.Status != kv.Applied && res.Status != kv.Conflict {
		c.log.Emit(event.ConvictionNotStored, event.F("fingerprint", r.Fingerprint.String()), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
		return false
	}
	c.stored[r.Fingerprint] = expires
	c.log.Emit(event.ConvictionStored, event.F("fingerprint", r.Fingerprint.String()), event.F("revision", res.Revision), event.F("status", res.Status.String()))
	return true
}

// errorText returns the text of an error for a log line.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
