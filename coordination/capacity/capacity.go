// Package capacity estimates how much load an endpoint handles well: how long work takes
// there compared with the rest of its pool, and beyond which number of concurrent requests
// more of them bring no more throughput. It decides without I/O; callers pass in the time.
package capacity

import (
	"time"

	"wisteriaspool/coordination"
)

// Pace is how long work takes at an endpoint, as a multiple of what it usually takes in
// the endpoint's pool.
type Pace float64

// Mode selects the pools in which capacity is measured.
type Mode uint8

// The modes.
const (
	Slots    Mode = iota // nowhere: endpoints take as many requests as they have slots
	Reported             // in pools whose endpoints report their pace
	Measured             // in all pools
)

var modeNames = [...]string{Slots: "slots", Reported: "reported", Measured: "measured"}

// String returns the name of m in settings.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "unknown"
}

// ParseMode returns the mode with a name.
func ParseMode(s string) (Mode, bool) {
	for m, name := range modeNames {
		if name == s {
			return Mode(m), true
		}
	}
	return Slots, false
}

// Observation is what one completed request shows of its endpoint.
type Observation struct {
	Pace      Pace          // measured; zero if unknown
	Reported  Pace          // what the endpoint reported; zero if nothing
	ReportAge time.Duration // age of that report
}

// Work describes a completed piece of work, for comparison with similar ones.
type Work struct {
	Pool   coordination.Pool
	Kind   string // requests of one kind take similar times, such as those of a route
	Tokens int    // size of the prompt; zero if there is none
}

// Snapshot is what an Estimator knows, for another owner of the endpoint.
type Snapshot struct {
	Pace  Pace
	Limit int           // zero for none
	Age   time.Duration // since the latest observation; a minute if there was none for that long
}
