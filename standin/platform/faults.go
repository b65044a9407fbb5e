package platform

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
)

// Faults configures fault injection. The fields before Restore stay in effect
// until they are changed; Restore and the fields after it are one-time actions.
type Faults struct {
	// Outage rejects every call to the key-value service without applying it.
	Outage bool `json:"outage"`
	// Hang blocks calls to the key-value service, without applying them, until
	// it is cleared.
	Hang bool `json:"hang"`
	// SlowMillis delays every call to the key-value service and every read of
	// the instance list, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseReply is the fraction of calls, from 0 to 1, that are applied but whose
	// response is lost.
	LoseReply float64 `json:"lose_reply"`
	// LoseReplyNext is the number of upcoming writes that are applied but whose
	// response is lost.
	LoseReplyNext int `json:"lose_reply_next"`
	// LoseCall is the fraction of calls, from 0 to 1, that are lost before they
	// are applied.
	LoseCall float64 `json:"lose_call"`
	// LoseCallNext is the number of upcoming writes that are lost before they
	// are applied.
	LoseCallNext int `json:"lose_call_next"`
	// StallWatches withholds all watch events until it is cleared.
	StallWatches bool `json:"stall_watches"`
	// ListOutage rejects reads of the instance list.
	ListOutage bool `json:"list_outage"`
	// ListLagMillis is the age of the instance list that reads return, in
	// milliseconds.
	ListLagMillis int `json:"list_lag_ms"`

	// Restore writes an old value of a key as a new version.
	Restore *Restore `json:"restore,omitempty"`
	// DropWatches closes the connections of all watches.
	DropWatches bool `json:"drop_watches,omitempty"`
	// Compact discards the event history, so that a watch at an older revision,
	// open or resumed, is canceled with the compaction revision.
	Compact bool `json:"compact,omitempty"`
}

// Restore identifies the value to write back: the value of Key at Revision.
type Restore struct {
	Key      string `json:"key"`
	Revision Int64  `json:"revision"`
}

// faultState holds the persistent faults and the random source that selects the
// calls to lose.
type faultState struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	changed chan struct{} // closed when current is replaced
}

func newFaultState(seed uint64, initial Faults) *faultState {
	return &faultState{
		current: initial,
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// get returns the persistent faults and a channel that is closed when they are
// replaced.
func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// set replaces the persistent faults; one-time actions in next are ignored.
func (f *faultState) set(next Faults) {
	next.Restore, next.DropWatches, next.Compact = nil, false, false
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// merge decodes the JSON in data on top of the current faults, so that absent
// fields keep their values. It doesn't store the result.
func (f *faultState) merge(data []byte) (Faults, error) {
	next, _ := f.get()
	err := json.Unmarshal(data, &next)
	return next, err
}

// callOutcome says whether a call is applied and whether it gets a response.
type callOutcome int

const (
	answered  callOutcome = iota
	lostCall              // not applied, no response
	lostReply             // applied, no response
)

// nextOutcome decides the outcome of a call. LoseCallNext and LoseReplyNext
// apply to writes only, so that background reads don't use them up.
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
