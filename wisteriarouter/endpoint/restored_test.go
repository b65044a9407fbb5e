package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
	"wisteriaspool/wisteriarouter/platform"
)

func sequencedChange(id string, state platform.State, sequence int64) Change {
	c := entryChange(id, state)
	c.Sequence = sequence
	return c
}

// Guards against an older state of endpoints that comes back with a restored store.
func TestRestoredEntries(t *testing.T) {
	tests := []struct {
		name     string
		before   []Change
		restored []Change
		after    []Change // a second later
		at       time.Duration
		listed   bool
		leaving  bool
	}{
		{
			name:     "an endpoint that has left",
			before:   []Change{sequencedChange("x", platform.Live, 3), removalChange("x")},
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			at:       4 * time.Second,
		},
		{
			name:     "one that has left and is live after all",
			before:   []Change{sequencedChange("x", platform.Live, 3), removalChange("x")},
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			after:    []Change{sequencedChange("x", platform.Live, 4)},
			at:       2 * time.Second, listed: true,
		},
		{
			name:     "one that has left and whose entry stays",
			before:   []Change{sequencedChange("x", platform.Live, 3), removalChange("x")},
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			at:       6 * time.Second, listed: true,
		},
		{
			name:     "one that has left and whose entry is removed again",
			before:   []Change{sequencedChange("x", platform.Live, 3), removalChange("x")},
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			after:    []Change{removalChange("x")},
			at:       6 * time.Second,
		},
		{
			name:     "one that is leaving",
			before:   []Change{sequencedChange("x", platform.Leaving, 3)},
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			at:       6 * time.Second, listed: true, leaving: true,
		},
		{
			name:     "one that has begun to leave since",
			before:   []Change{sequencedChange("x", platform.Live, 3)},
			restored: []Change{sequencedChange("x", platform.Leaving, 4)},
			at:       time.Second, listed: true, leaving: true,
		},
		{
			name:     "one that has started since the copy",
			before:   []Change{sequencedChange("x", platform.Live, 3)},
			restored: []Change{removalChange("x")},
			after:    []Change{sequencedChange("x", platform.Live, 4)},
			at:       3 * time.Second, listed: true,
		},
		{
			name:     "one that has started since and ended meanwhile",
			before:   []Change{sequencedChange("x", platform.Live, 3)},
			restored: []Change{removalChange("x")},
			at:       2 * time.Second,
		},
		{
			name:     "one that nobody knows",
			restored: []Change{sequencedChange("x", platform.Live, 2)},
			at:       time.Millisecond, listed: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTracker(9)
				time.Sleep(time.Minute)
				r.Apply(test.before)
				time.Sleep(time.Second)
				r.ApplyRestored(test.restored)
				if len(test.after) > 0 {
					time.Sleep(time.Second)
					r.Apply(test.after)
					time.Sleep(test.at - time.Second)
				} else {
					time.Sleep(test.at)
				}
				synctest.Wait()
				info, ok := r.Directory.Find("x")
				assert.Equal(t, ok, test.listed)
				assert.Equal(t, ok && info.Leaving(), test.leaving)
			})
		})
	}
}
