package coordination

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a time between half of d and one and a half of it, so that those
// who failed together do not come back together.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

const (
	cooldownFactor = 20
	maxCooldown    = 200 * time.Millisecond
)

// Cooldown returns for how long to leave off work that has taken some time before it
// begins again, so that it takes one part in twenty of all time at most. It is for
// work that grows with the fleet and that each change asks for: while a large fleet
// starts, hundreds of changes come within seconds. In a small fleet it is nothing.
func Cooldown(took time.Duration) time.Duration { return min(cooldownFactor*took, maxCooldown) }
