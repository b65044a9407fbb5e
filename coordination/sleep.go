package coordination

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is not done.
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

// Jitter returns a random duration between half of d and one and a half times
// d, so that clients that failed together do not retry together. It panics if d
// is not positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

const (
	cooldownFactor = 20
	maxCooldown    = 200 * time.Millisecond
)

// Cooldown returns how long to wait after work that took some time before
// repeating it, so that the work takes at most one twentieth of the time,
// unless the wait reaches its limit of 200 ms. It is meant for work whose cost
// grows with the fleet and that every change triggers: while a large fleet
// starts, hundreds of changes arrive within seconds. In a small fleet the wait
// is negligible.
func Cooldown(took time.Duration) time.Duration { return min(cooldownFactor*took, maxCooldown) }
