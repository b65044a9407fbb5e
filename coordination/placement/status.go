package placement

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
)

// decisionCounts counts an owner's decisions by code.
type decisionCounts [Next + 1][len(codeNames)]atomic.Uint64

func (c *decisionCounts) add(r AdmitReply) {
	if int(r.Decision) < len(c) && int(r.Code) < len(codeNames) {
		c[r.Decision][r.Code].Add(1)
	}
}

// DecisionCount is the number of times that an owner made a decision with a
// code.
type DecisionCount struct {
	Decision Decision
	Code     Code
	Count    uint64
}

// Decisions returns how often this owner made each decision. Zero counts are
// omitted.
func (o *Owner) Decisions() []DecisionCount {
	var all []DecisionCount
	for d := range o.decisions {
		for c := range o.decisions[d] {
			if n := o.decisions[d][c].Load(); n > 0 {
				all = append(all, DecisionCount{Decision: Decision(d), Code: Code(c), Count: n})
			}
		}
	}
	return all
}

// LoadStatus is an owner's count of the requests at one endpoint.
type LoadStatus struct {
	Endpoint coordination.Endpoint
	Pool     coordination.Pool
	Count    int // requests that count towards the bound
	Held     int // the part of Count that has grants
	Queued   int // waiting requests
	State    State
}

// Loads returns the load of the owned endpoints, sorted by endpoint.
func (o *Owner) Loads() []LoadStatus {
	now, cfg := time.Now(), o.cfg.Load()
	var all []LoadStatus
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, l := range s.loads {
			st := LoadStatus{
				Endpoint: id, Pool: l.desc.Pool, Count: l.count(now, cfg),
				Held: len(l.grants), Queued: l.queue.size, State: l.desc.State,
			}
			if l.leaving {
				st.State = Leaving
			}
			all = append(all, st)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b LoadStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
