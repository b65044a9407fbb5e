package coordination

import (
	"sync/atomic"
	"time"
)

// steadyStart is the time from which moments are counted.
var steadyStart = time.Now()

// Moment is a time on the steady clock that several goroutines set and read. The
// time of day may jump by hours, and would have all that is watched look silent, or
// alive for good. The zero value is the start of the process.
type Moment struct{ behind atomic.Int64 } // nanoseconds behind steadyStart

// Set sets m, and returns how long the former value was before that.
func (m *Moment) Set(at time.Time) (since time.Duration) {
	behind := at.Sub(steadyStart)
	return behind - time.Duration(m.behind.Swap(int64(behind)))
}

// Ago returns how long m was before now.
func (m *Moment) Ago(now time.Time) time.Duration {
	return now.Sub(steadyStart) - m.Offset()
}

// Offset returns m by the process's start; two equal ones are the same moment.
func (m *Moment) Offset() time.Duration { return time.Duration(m.behind.Load()) }
