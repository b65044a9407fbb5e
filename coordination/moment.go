package coordination

import (
	"sync/atomic"
	"time"
)

// processStart is the time from which moments are counted.
var processStart = time.Now()

// MonotonicTime is a time on the steady clock that several goroutines set and read. The
// time of day may jump by hours, and would have all that is watched look silent, or
// alive for good. The zero value is the start of the process.
type MonotonicTime struct{ offset atomic.Int64 } // nanoseconds behind steadyStart

// Set sets m, and returns how long the former value was before that.
func (m *MonotonicTime) Set(at time.Time) (since time.Duration) {
	offset := at.Sub(processStart)
	return offset - time.Duration(m.offset.Swap(int64(offset)))
}

// Ago returns how long m was before now.
func (m *MonotonicTime) Ago(now time.Time) time.Duration {
	return now.Sub(processStart) - m.Offset()
}

// Offset returns m by the process's start; two equal ones are the same moment.
func (m *MonotonicTime) Offset() time.Duration { return time.Duration(m.offset.Load()) }
