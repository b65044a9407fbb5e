package coordination

import (
	"sync/atomic"
	"time"
)

// processStart is the reference from which monotonic times are measured.
var processStart = time.Now()

// MonotonicTime is a time on the monotonic clock that several goroutines may
// set and read. The wall clock may jump by hours, which would make everything
// that is monitored appear silent, or alive indefinitely. The zero value is the
// start of the process.
type MonotonicTime struct{ offset atomic.Int64 } // nanoseconds since processStart

// Set sets m and returns the time elapsed since the previous value.
func (m *MonotonicTime) Set(at time.Time) (since time.Duration) {
	offset := at.Sub(processStart)
	return offset - time.Duration(m.offset.Swap(int64(offset)))
}

// Ago returns the time elapsed from m to now.
func (m *MonotonicTime) Ago(now time.Time) time.Duration {
	return now.Sub(processStart) - m.Offset()
}

// Offset returns the time from the start of the process to m. Equal offsets are
// equal times.
func (m *MonotonicTime) Offset() time.Duration { return time.Duration(m.offset.Load()) }
