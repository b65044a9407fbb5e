package daemon

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

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
	Replace(ctx context.Context, key string, value []byte, revision kv.Revision, lease kv.Lease) kv.Result
	Delete(ctx context.Context, key string, revision kv.Revision) kv.Result
}

// convictions keeps the records of requests, or of parts of prompts, that crash endpoints in
// the platform's store, so that they outlast the routers that saw the crashes: all may be
// killed at once. Each record is written by its gate, again after each trial, and removed with
// its lease, or by its gate when it is cleared. All routers read it with their copy of the
// store.
type convictions struct {
	guard   *sharedGuard
	keyOf   func(fingerprint string) string
	isKey   func(key string) bool
	store   convictionStore
	mirror  *mirror.Mirror
	log     event.Log
	changed chan struct{}
	stored  map[suspicion.Fingerprint]storedRecord // used by the loop only

	// storeRestored reports that the store may have lost what is in stored.
	storeRestored atomic.Bool

	mu     sync.Mutex
	listed map[string]suspicion.Fingerprint // records in the copy of the store, by key
	gone   []suspicion.Fingerprint          // of records that were removed from it since the last look
}

// storeRetryPause is the mean time between two attempts to write while the store is not
// available.
const storeRetryPause = time.Second

// storedRecord is what the store has of a record.
type storedRecord struct {
	expires time.Time
	trials  int
	// renewAt is when this router has to write the record again, as its lease ends before
	// it expires. Zero if it need not.
	renewAt time.Time
}

// due reports whether the record has to be written again.
func (r storedRecord) due(now time.Time) bool { return !r.renewAt.IsZero() && !now.Before(r.renewAt) }

// renewShare is the share of a lease's time after which its record is written again.
const renewShare = 2.0 / 3

// convictionStores holds the convictions of each guard.
type convictionStores struct{ requests, parts *convictions }

func newConvictions(i do.Injector) (*convictionStores, error) {
	s := do.MustInvoke[*crashSuspicion](i)
	return &convictionStores{
		requests: storeConvictions(i, s.sharedGuard, platform.CrashingKey, platform.IsCrashing),
		parts:    storeConvictions(i, s.parts, platform.CrashingPartKey, platform.IsCrashingPart),
	}, nil
}

func storeConvictions(i do.Injector, g *sharedGuard, keyOf func(string) string, isKey func(string) bool) *convictions {
	c := &convictions{
		guard:   g,
		keyOf:   keyOf,
		isKey:   isKey,
		store:   do.MustInvoke[*platform.Store](i),
		mirror:  do.MustInvoke[*mirror.Mirror](i),
		log:     logOf(i),
		changed: make(chan struct{}, 1),
		stored:  make(map[suspicion.Fingerprint]storedRecord),
		listed:  make(map[string]suspicion.Fingerprint),
	}
	c.mirror.Observe(c.applyChanges)
	g.guard.OnChange(c.signalChange)
	c.signalChange() // rumors may have arrived before
	ctx, cancel := context.WithCancel(context.Background())
	go c.loop(ctx)
	onStop(i, cancel)
	return c
}

// applyChanges takes over the records that other routers have written. A router that has
// read them from the store itself need not wait for other routers.
func (c *convictions) applyChanges(n mirror.Changes) {
	if n.Restored {
		c.storeRestored.Store(true)
		c.signalChange()
	}
	for _, item := range n.Items {
		if !c.isKey(item.Key) {
			continue
		}
		c.list(item)
		if item.Deleted {
			continue
		}
		if err := c.guard.takeOver(item.Value); err != nil {
			c.log.Emit(event.SettingsInvalid, event.F("key", item.Key), event.F("revision", item.Revision.Number()), event.F("error", err.Error()))
		}
	}
	if n.From == "" {
		c.guard.guard.EndCatchUp()
	}
}

// list notes whether the store has a record. One that is malformed has been written by
// something else, and is left alone.
func (c *convictions) list(item mirror.Item) {
	r, err := suspicion.DecodeRecord(item.Value)
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.listed[item.Key]; ok && item.Deleted {
		// Its lease may have ended early, and the router that wrote it with it.
		c.gone = append(c.gone, f)
		c.signalChange()
	}
	delete(c.listed, item.Key)
	if !item.Deleted && err == nil {
		c.listed[item.Key] = r.Fingerprint
		c.signalChange()
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
		case <-c.nextRenewal():
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

// nextRenewal returns a channel that receives when a record has to be written again.
func (c *convictions) nextRenewal() <-chan time.Time {
	var next time.Time
	for _, r := range c.stored {
		if !r.renewAt.IsZero() && (next.IsZero() || r.renewAt.Before(next)) {
			next = r.renewAt
		}
	}
	if next.IsZero() {
		return nil
	}
	return time.After(time.Until(next))
}

// writeAll writes the records that the store lacks and reports whether it has all of them
// now.
func (c *convictions) writeAll(ctx context.Context) bool {
	if c.storeRestored.Swap(false) {
		clear(c.stored)
	}
	c.mu.Lock()
	listed, gone := maps.Clone(c.listed), c.gone
	c.gone = nil
	c.mu.Unlock()
	for _, f := range gone {
		delete(c.stored, f)
	}
	now := time.Now()
	for f, r := range c.stored {
		if !now.Before(r.expires) {
			delete(c.stored, f)
		}
	}
	complete := true
	own := c.guard.guard.OwnConvictions()
	for _, r := range own {
		last, ok := c.stored[r.Fingerprint]
		if (!ok || last.trials < r.Trials || last.due(now)) && !c.write(ctx, r, last.due(now)) {
			complete = false
		}
	}
	c.forgetOthers(now, own)
	for key, f := range listed {
		if c.guard.guard.OwnsCleared(f) && !c.remove(ctx, key, f) {
			complete = false
		}
	}
	return complete
}

// forgetOthers forgets the records that are due but are not among this router's own any more.
func (c *convictions) forgetOthers(now time.Time, own []suspicion.Record) {
	mine := lo.KeyBy(own, func(r suspicion.Record) suspicion.Fingerprint { return r.Fingerprint })
	maps.DeleteFunc(c.stored, func(f suspicion.Fingerprint, r storedRecord) bool { return r.due(now) && !lo.HasKey(mine, f) })
}

// remove removes the record of a fingerprint that has been cleared, and reports whether the
// store does not have it any more.
func (c *convictions) remove(ctx context.Context, key string, f suspicion.Fingerprint) bool {
	delete(c.stored, f)
	item, ok := c.mirror.Find(key)
	if !ok {
		return true
	}
	res := c.store.Delete(ctx, key, item.Revision)
	if res.Status != kv.Applied && res.Status != kv.Conflict {
		c.log.Emit(event.ConvictionNotStored, event.F("fingerprint", f.String()), event.F("removed", true), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
		return false
	}
	c.log.Emit(event.ConvictionStored, event.F("fingerprint", f.String()), event.F("removed", true), event.F("revision", res.Revision.Number()), event.F("status", res.Status.String()))
	return true
}

// write writes one record, also one that the store has if its lease has to be renewed, and
// reports whether the store has it.
func (c *convictions) write(ctx context.Context, r suspicion.Record, renew bool) bool {
	key := c.keyOf(r.Fingerprint.String())
	expires := r.Expires.Time()
	written := storedRecord{expires: expires, trials: r.Trials}
	item, ok := c.mirror.Find(key)
	if ok && !renew && c.hasTrials(item, r) {
		c.stored[r.Fingerprint] = written
		return true
	}
	var revision kv.Revision // of the record that is replaced; zero if there is none
	if ok {
		revision = item.Revision
	}
	start := time.Now()
	lease, res := c.store.Grant(ctx, min(time.Until(expires), platform.MaxLease))
	if ends := start.Add(res.TTL); res.Status == kv.Applied && ends.Before(expires) {
		written.renewAt = start.Add(time.Duration(renewShare * float64(res.TTL)))
	}
	if res.Status == kv.Applied {
		res = c.store.Replace(ctx, key, r.Encode(), revision, lease)
	}
	if res.Status != kv.Applied && res.Status != kv.Conflict {
		c.log.Emit(event.ConvictionNotStored, event.F("fingerprint", r.Fingerprint.String()), event.F("status", res.Status.String()), event.F("error", errorText(res.Err)))
		return false
	}
	c.stored[r.Fingerprint] = written
	c.log.Emit(event.ConvictionStored, event.F("fingerprint", r.Fingerprint.String()), event.F("trials", r.Trials), event.F("revision", res.Revision.Number()), event.F("status", res.Status.String()))
	return true
}

// hasTrials reports whether a record in the store counts all trials of r, or is not a record.
func (c *convictions) hasTrials(item mirror.Item, r suspicion.Record) bool {
	known, err := suspicion.DecodeRecord(item.Value)
	return err != nil || known.Trials >= r.Trials
}

// errorText returns the text of an error for a log line.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
