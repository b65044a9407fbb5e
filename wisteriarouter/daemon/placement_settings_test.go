package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/placement"
	"wisteriaspool/coordination/settings"
)

func snapshot(t *testing.T, text string) *settings.Snapshot {
	team, problems := settings.Parse("test.ini", []byte(text))
	assert.Equal(t, len(problems), 0, "%v", problems)
	return &settings.Snapshot{Settings: team}
}

// Two teams share a pool and set different limits for it. The stricter one must
// apply: an endpoint has one load, so the looser limit would break the stricter
// one.
func TestStrictestSettingApplies(t *testing.T) {
	got := newPlacementSettings([]*settings.Snapshot{
		snapshot(t, "[service \"order-desk\"]\ncapacity = 4\n[account \"label\"]\nweight = 3\n"),
		snapshot(t, "[model \"m\"]\nload-bound = 1.5\nqueue = 9\nwarm-wait = 20ms\ncapacity = 8\n"),
		snapshot(t, "[model \"m\"]\nload-bound = 1.2\nqueue = 30\nwarm-wait = 40ms\n"),
	})
	assert.Equal(t, got.placement.Bound, 1.2)
	assert.Equal(t, got.placement.QueueLimit, 9)
	assert.Equal(t, got.placement.WarmWait, 20*time.Millisecond)
	assert.Equal(t, got.placement.AccountWeights["label"], 3.0)
	assert.Equal(t, got.descriptor(placement.Descriptor{Pool: "m", Capacity: 16}).Capacity, 8)
	assert.Equal(t, got.descriptor(placement.Descriptor{Pool: "order-desk"}).Capacity, 4)
	assert.Equal(t, got.descriptor(placement.Descriptor{Pool: "other", Capacity: 5}).Capacity, 5)
}
