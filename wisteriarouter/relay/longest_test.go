package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

func TestDurationsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l durationTracker
		for _, tc := range []struct {
			pause time.Duration
			note  time.Duration // duration to record; 0 for none
			want  time.Duration // 0 for unknown
		}{
			{0, 0, 0},
			{0, 3 * time.Second, 3 * time.Second},
			{time.Second, 2 * time.Second, 3 * time.Second},
			{durationWindow, time.Second, 3 * time.Second},
			{durationWindow, 0, time.Second},
			{durationWindow, 0, 0},
			{0, time.Second, time.Second},
			{5 * durationWindow, 0, 0},
		} {
			time.Sleep(tc.pause)
			if tc.note > 0 {
				l.record("stream", tc.note)
			}
			got, known := l.longest("stream")
			assert.Equal(t, got, tc.want)
			assert.Equal(t, known, tc.want > 0)
			_, known = l.longest("other")
			assert.Assert(t, !known)
		}
	})
}
