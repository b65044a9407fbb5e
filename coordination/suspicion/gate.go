package suspicion

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Gate serializes the copies of suspects whose fingerprints are assigned to
// this router.
type Gate struct {
	cfg   Config
	table *Table

	mu               sync.Mutex
	membersChangedAt time.Time
	running          map[Fingerprint]map[Copy]time.Time // expiry of each copy's claim
}

// NewGate returns the gate of the router that owns table.
func NewGate(table *Table) *Gate {
	return &Gate{
		cfg:     table.cfg,
		table:   table,
		running: make(map[Fingerprint]map[Copy]time.Time),
	}
}

// MembersChanged records a change of the list of routers, after which this gate
// may be responsible for fingerprints of another one. No suspect is admitted
// for Config.Hold, so that routers that are running copies have time to claim
// them.
func (g *Gate) MembersChanged(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membersChangedAt = now
}

// InstanceDied shortens the claims of a dead instance's copies to cancelDelay:
// endpoints cancel an attempt whose reader is gone, but not at once.
func (g *Gate) InstanceDied(now time.Time, id coordination.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := now.Add(cancelDelay)
	for _, copies := range g.running {
		for c, old := range copies {
			if c.Instance == id && until.Before(old) {
				copies[c] = until
			}
		}
	}
}

// cancelDelay is how long an endpoint may continue an attempt after its reader
// is gone.
const cancelDelay = 15 * time.Second

// Handle processes a step of a copy. If the record of the fingerprint has
// changed, Handle returns it for gossiping; otherwise the record is nil.
func (g *Gate) Handle(now time.Time, m GateRequest) (GateReply, *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Step {
	case Enter:
		return g.enter(now, m)
	case Claim:
		g.trackCopy(now, m)
		return g.verdict(now, m), nil
	case Crashed:
		g.untrackCopy(m)
		return g.recordCrash(now, m)
	case Finished:
		g.untrackCopy(m)
		return g.clearFinished(now, m)
	case Answering:
		return g.clearFinished(now, m)
	case PoolServes:
		return g.recordServed(now, m)
	case ClearedByOperator:
		r, _ := g.table.clearCrashes(now, m.Fingerprint)
		return GateReply{}, &r
	default:
		g.untrackCopy(m)
		return GateReply{}, nil
	}
}

// trialHold is how long after a change of the list of routers a gate lets no trial through:
// several routers may take themselves for the gate, or not know of earlier trials yet.
const trialHold = 3 * time.Second

// enter admits a copy unless its verdict is Poison or Busy. A copy that is let through as
// a trial changes the record.
func (g *Gate) enter(now time.Time, m GateRequest) (GateReply, *Record) {
	v := g.verdict(now, m)
	switch v.Verdict {
	case AllowedAlone, Allowed:
		g.trackCopy(now, m)
	case Poison:
		if now.Sub(g.membersChangedAt) < trialHold {
			break
		}
		if r, ok := g.table.beginTrial(now, m.Fingerprint); ok {
			g.trackCopy(now, m)
			return GateReply{Verdict: AllowedAlone, Trial: true}, &r
		}
	}
	return v, nil
}

// verdict returns the decision on a copy.
func (g *Gate) verdict(now time.Time, m GateRequest) GateReply {
	r, state := g.table.Find(now, m.Fingerprint)
	switch state {
	case Convicted:
		return GateReply{Verdict: Poison, RetryAfter: millis(g.table.refusedUntil(r).Sub(now))}
	case Clear:
		return GateReply{Verdict: Allowed}
	}
	ready := r.Crashes[len(r.Crashes)-1].At.Time().Add(g.cfg.Hold)
	if after := g.membersChangedAt.Add(g.cfg.Hold); after.After(ready) {
		ready = after
	}
	if now.Before(ready) {
		return GateReply{Verdict: Busy, RetryAfter: millis(ready.Sub(now))}
	}
	if g.otherCopyRunning(now, m) {
		return GateReply{Verdict: Busy, RetryAfter: millis(g.cfg.Hold)}
	}
	return GateReply{Verdict: AllowedAlone}
}

// otherCopyRunning reports whether another copy of the request is running.
func (g *Gate) otherCopyRunning(now time.Time, m GateRequest) bool {
	copies := g.running[m.Fingerprint]
	for c, until := range copies {
		if !now.Before(until) {
			delete(copies, c)
		}
	}
	return lo.SomeBy(lo.Keys(copies), func(c Copy) bool { return c != m.Copy })
}

// trackCopy registers a copy as running for Config.MaxRun.
func (g *Gate) trackCopy(now time.Time, m GateRequest) {
	copies := g.running[m.Fingerprint]
	if copies == nil {
		if len(g.running) >= g.cfg.Limit {
			g.prune(now)
		}
		copies = make(map[Copy]time.Time)
		g.running[m.Fingerprint] = copies
	}
	copies[m.Copy] = now.Add(g.cfg.MaxRun)
}

// prune removes copies whose claims have expired.
func (g *Gate) prune(now time.Time) {
	for f, copies := range g.running {
		for c, until := range copies {
			if !now.Before(until) {
				delete(copies, c)
			}
		}
		if len(copies) == 0 {
			delete(g.running, f)
		}
	}
}

// untrackCopy removes a copy that is no longer running.
func (g *Gate) untrackCopy(m GateRequest) {
	copies := g.running[m.Fingerprint]
	delete(copies, m.Copy)
	if len(copies) == 0 {
		delete(g.running, m.Fingerprint)
	}
}

// recordCrash records the death of the endpoint that ran a copy.
func (g *Gate) recordCrash(now time.Time, m GateRequest) (GateReply, *Record) {
	if m.Crash == nil {
		return GateReply{}, nil
	}
	r, _ := g.table.addReported(now, m)
	return g.verdict(now, m), &r
}

// recordServed records that other requests of the pool of a suspect complete.
func (g *Gate) recordServed(now time.Time, m GateRequest) (GateReply, *Record) {
	r, state := g.table.Find(now, m.Fingerprint)
	served := m.servedAt(now)
	if state != Suspect || r.poolServes() || served <= r.Crashes[0].At {
		return GateReply{}, nil
	}
	g.table.Merge(now, Record{Fingerprint: m.Fingerprint, Served: served, Expires: r.Expires})
	r, _ = g.table.Find(now, m.Fingerprint)
	return GateReply{}, &r
}

// servedAt returns Record.Served by the clock of the gate, zero if it is not known.
func (m GateRequest) servedAt(now time.Time) UnixMillis {
	if m.ServedAgo == 0 {
		return 0
	}
	return unixMillis(now.Add(-m.ServedAgo.Duration()))
}

// clearFinished clears a request that is not convicted of its crashes: it has run
// to completion and its endpoint is alive. A part of prompts is cleared even if it is
// convicted, as no request with a part that crashes endpoints completes.
func (g *Gate) clearFinished(now time.Time, m GateRequest) (GateReply, *Record) {
	if r, state := g.table.Find(now, m.Fingerprint); state == Convicted && !g.cfg.Parts || len(r.Crashes) == 0 {
		return GateReply{}, nil
	}
	r, _ := g.table.clearCrashes(now, m.Fingerprint)
	return GateReply{}, &r
}
