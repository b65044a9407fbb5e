package coordination_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/synctest"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		assert.Assert(t, coordination.Sleep(ctx, 0))
		assert.Assert(t, coordination.Sleep(ctx, 400*time.Millisecond))
		assert.Equal(t, time.Since(begun), 400*time.Millisecond)
		assert.Assert(t, !coordination.Sleep(ctx, time.Minute))
		assert.Equal(t, time.Since(begun), time.Second)
		assert.Assert(t, !coordination.Sleep(ctx, 0))
	})
}

func TestCooldown(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:                     0,
		time.Millisecond:      20 * time.Millisecond,
		10 * time.Millisecond: 200 * time.Millisecond,
		time.Second:           200 * time.Millisecond,
	} {
		assert.Equal(t, coordination.Cooldown(took), want)
	}
}

func TestJitter(t *testing.T) {
	for range 1000 {
		d := coordination.Jitter(time.Second)
		assert.Assert(t, d >= time.Second/2 && d < 3*time.Second/2)
	}
}
