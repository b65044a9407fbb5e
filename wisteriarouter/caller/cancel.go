package caller

import (
	"context"
	"errors"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
)

// cancel stops an attempt that nobody reads. It goes on beside the request,
// for an endpoint that is frozen may answer only later.
func (a *answer) cancel(ctx context.Context, at *attempt) {
	c := &cancellation{Server: a.Server, id: at.id, address: at.place.Address, delivered: a.offset}
	go c.run(context.WithoutCancel(ctx))
}

// cancellation tries to cancel one attempt for a while.
type cancellation struct {
	*Server
	id        coordination.Attempt
	address   string
	delivered int
}

// cancelPause is the wait between tries.
const cancelPause = 500 * time.Millisecond

func (c *cancellation) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, c.Limits.CancelFor)
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
		case <-time.After(cancelPause):
		}
	}
}
