package placement

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
)

const (
	// tickInterval is how often queues and leases are checked.
	tickInterval = 100 * time.Millisecond

	// releaseInterval is for how long releases are batched. Until they arrive, the
	// owner overestimates the mean.
	releaseInterval = 20 * time.Millisecond

	// registrationsPerLease is how many times an entry registers within its lease.
	registrationsPerLease = 3
)

// driver runs the periodic work of an owner and an entry.
type driver struct {
	owner *Owner
	entry *Entry
	wg    sync.WaitGroup
}

// Start runs the periodic work of o and e in the background until the returned
// function is called. That function waits for the work to end and sends the
// remaining releases.
func Start(o *Owner, e *Entry) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &driver{owner: o, entry: e}
	d.wg.Go(func() { d.loop(ctx, d.tickOwner, nil) })
	d.wg.Go(func() { d.loop(ctx, d.tickEntry, e.held.wake) })
	d.wg.Go(func() { d.loop(ctx, d.exchange, nil) })
	return func() {
		cancel()
		d.wg.Wait()
		e.Tick(context.Background())
	}
}

// loop calls step until ctx ends. A step returns the longest time until the next
// one; a value from due, if not nil, triggers one sooner. Each step has its own loop,
// so that a peer that does not reply delays only the messages to itself.
func (d *driver) loop(ctx context.Context, step func(context.Context) time.Duration, due <-chan struct{}) {
	t := time.NewTimer(step(ctx))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-due:
			coordination.Sleep(ctx, releaseInterval)
		case <-ctx.Done():
			return
		}
		t.Reset(step(ctx))
	}
}

func (d *driver) tickOwner(context.Context) time.Duration {
	d.owner.Tick()
	return tickInterval
}

// tickEntry ticks the entry. The next tick is due with the renewal of its lease,
// unless there is something to send before.
func (d *driver) tickEntry(ctx context.Context) time.Duration {
	d.entry.Tick(ctx)
	return d.entry.held.untilRegistration(time.Now(), d.entry.cfg.Load())
}

func (d *driver) exchange(ctx context.Context) time.Duration {
	d.owner.Exchange(ctx, d.entry.transport)
	return d.owner.untilNextExchange(time.Now())
}
