package platform

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
)

// Faults are what goes wrong at the platform. The fields up to Restore last
// until they are changed; the others happen once.
type Faults struct {
	// Outage refuses every call of the key-value service without effect.
	Outage bool `json:"outage"`
	// Hang keeps calls waiting, without effect, until it is lifted.
	Hang bool `json:"hang"`
	// SlowMillis delays every call of the key-value service, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseReply is the share of calls that take effect but whose answer is
	// lost.
	LoseReply float64 `json:"lose_reply"`
	// LoseReplyNext is the number of next writes whose answer is lost.
	LoseReplyNext int `json:"lose_reply_next"`
	// LoseCall is the share of calls that are lost before they take effect.
	LoseCall float64 `json:"lose_call"`
	// LoseCallNext is the number of next writes that are lost.
	LoseCallNext int `json:"lose_call_next"`
	// StallWatches holds back all events of watches until it is lifted.
	StallWatches bool `json:"stall_watches"`
	// ListOutage refuses reads of the list of instances.
	ListOutage bool `json:"list_outage"`
	// ListLagMillis delays what the list of instances shows, in milliseconds.
	ListLagMillis int `json:"list_lag_ms"`

	// Restore puts back an old value as a new version.
	Restore *Restore `json:"restore,omitempty"`
	// DropWatches breaks the connections of all watches.
	DropWatches bool `json:"drop_watches,omitempty"`
	// Compact forgets the history, so that a watch that was behind, or comes
	// back behind, is told of a gap.
	Compact bool `json:"compact,omitempty"`
}

// Restore names the value that an operator puts back from a backup.
type Restore struct {
	Key      string `json:"key"`
	Revision Int64  `json:"revision"`
}

// faultState holds the lasting faults and the random source that picks calls.
type faultState struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	changed chan struct{} // closed at the next change
}

func newFaultState(seed uint64, initial Faults) *faultState {
	return &faultState{
		current: initial,
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// get returns the faults with a channel that is closed when they change.
func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// set replaces the lasting faults.
func (f *faultState) set(next Faults) {
	next.Restore, next.DropWatches, next.Compact = nil, false, false
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// merge reads data over the standing faults, so that absent fields stay.
func (f *faultState) merge(data []byte) (Faults, error) {
	next, _ := f.get()
	err := json.Unmarshal(data, &next)
	return next, err
}

// callOutcome tells what happens to one call.
type callOutcome int

const (
	answered  callOutcome = iota
	lostCall              // no effect, no answer
	lostReply             // effect, no answer
)

// nextOutcome decides the fate of a call. The counts are for writes, so that reads
// that go on in the background don't use them up.
func (f *faultState) nextOutcome(write bool) callOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write && f.current.LoseCallNext > 0 {
		f.current.LoseCallNext--
		return lostCall
	}
	if write && f.current.LoseReplyNext > 0 {
		f.current.LoseReplyNext--
		return lostReply
	}
	if f.current.LoseCall > 0 && f.random.Float64() < f.current.LoseCall {
		return lostCall
	}
	if f.current.LoseReply > 0 && f.random.Float64() < f.current.LoseReply {
		return lostReply
	}
	return answered
}
