package caller

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// cancel cancels an attempt whose output is no longer needed. It runs in the
// background, because a frozen endpoint may respond only later.
func (a *chatRun) cancel(ctx context.Context, at *attempt) {
	c := &cancellation{Server: a.Server, id: at.id, address: at.placement.Address, delivered: a.offset}
	go c.run(context.WithoutCancel(ctx))
}

// cancellation cancels one attempt, with retries until it succeeds, the
// endpoint no longer has the attempt, or CancelTimeout has passed.
type cancellation struct {
	*Server
	id        coordination.Attempt
	address   string
	delivered int
}

// cancelRetryDelay is the wait between two tries.
const cancelRetryDelay = 500 * time.Millisecond

func (c *cancellation) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, c.Limits.CancelTimeout)
	defer stop()
	for {
		generated, err := c.Engines.Cancel(ctx, c.address, c.id)
		if err == nil || errors.Is(err, engine.ErrNotFound) {
			c.Metrics.cancelled.Inc()
			c.Metrics.wasted.Add(float64(max(0, generated-c.delivered)))
			return
		}
		select {
		case <-ctx.Done():
			c.Log.Emit(event.CancelFailed, event.F("attempt", c.id), event.F("error", err))
			return
		case <-time.After(cancelRetryDelay):
		}
	}
}
