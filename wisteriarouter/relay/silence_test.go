package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A response must become overdue while there is still time for another attempt.
func TestOverdueDelay(t *testing.T) {
	tests := []struct {
		name             string
		patience, target time.Duration
		want             time.Duration
	}{
		{"nothing is known", 0, 0, 0},
		{"others answer soon", 200 * time.Millisecond, time.Second, 200 * time.Millisecond},
		{"others take long", 3 * time.Second, time.Second, 500 * time.Millisecond},
		{"no target", 3 * time.Second, 0, 3 * time.Second},
		{"others are not known", 0, time.Second, 500 * time.Millisecond},
	}
	for _, test := range tests {
		assert.Equal(t, overdueDelay(test.patience, test.target), test.want, test.name)
	}
}
