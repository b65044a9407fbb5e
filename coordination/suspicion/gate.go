package suspicion

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Gate serialises the copies of suspects whose fingerprints all routers place
// on this router.
type Gate struct {
	cfg   Config
	table *Table

	mu               sync.Mutex
	membersChangedAt time.Time
	running          map[Fingerprint]map[Copy]time.Time // until when
}

// NewGate returns the gate of a router with this table.
func NewGate(table *Table) *Gate {
	return &Gate{
		cfg:     table.cfg,
		table:   table,
		running: make(map[Fingerprint]map[Copy]time.Time),
	}
}

// MembersChanged tells that the list of routers has changed, so that this gate may have
// got fingerprints of another one. It lets no suspect start until the entries
// that run copies have had time to claim them.
func (g *Gate) MembersChanged(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membersChangedAt = now
}

// InstanceDied drops the copies of an instance that has died. Endpoints cancel an
// attempt that nobody reads, but not at once, so the copies hold their place a
// while longer.
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

// cancelDelay is how long an endpoint may go on with an attempt that has lost
// its reader.
const cancelDelay = 15 * time.Second

// Handle takes a step of a copy. If the record has changed, it returns it for
// spreading.
func (g *Gate) Handle(now time.Time, m GateRequest) (GateReply, *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Step {
	case Enter:
		return g.enter(now, m), nil
	case Claim:
		g.trackCopy(now, m)
		return g.verdict(now, m), nil
	case Crashed:
		g.untrackCopy(m)
		return g.recordCrash(now, m)
	case Finished:
		g.untrackCopy(m)
		return g.clearFinished(now, m)
	default:
		g.untrackCopy(m)
		return GateReply{}, nil
	}
}

// enter lets a copy run unless its content is convicted, or a suspect of which
// another copy runs.
func (g *Gate) enter(now time.Time, m GateRequest) GateReply {
	v := g.verdict(now, m)
	if v.Verdict == AllowedAlone || v.Verdict == Allowed {
		g.trackCopy(now, m)
	}
	return v
}

// verdict returns what is known against a copy.
func (g *Gate) verdict(now time.Time, m GateRequest) GateReply {
	r, state := g.table.Find(now, m.Fingerprint)
	switch state {
	case Convicted:
		return GateReply{Verdict: Poison, RetryAfter: millis(r.Expires.Time().Sub(now))}
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

// otherCopyRunning reports whether another copy runs.
func (g *Gate) otherCopyRunning(now time.Time, m GateRequest) bool {
	copies := g.running[m.Fingerprint]
	for c, until := range copies {
		if !now.Before(until) {
			delete(copies, c)
		}
	}
	return lo.SomeBy(lo.Keys(copies), func(c Copy) bool { return c != m.Copy })
}

// trackCopy notes that a copy runs.
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

// prune drops the copies whose time is up.
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

// untrackCopy notes that a copy runs no more.
func (g *Gate) untrackCopy(m GateRequest) {
	copies := g.running[m.Fingerprint]
	delete(copies, m.Copy)
	if len(copies) == 0 {
		delete(g.running, m.Fingerprint)
	}
}

// recordCrash takes the death of a copy's endpoint.
func (g *Gate) recordCrash(now time.Time, m GateRequest) (GateReply, *Record) {
	if m.Crash == nil {
		return GateReply{}, nil
	}
	r, _ := g.table.addCrash(now, m.Fingerprint, *m.Crash)
	return g.verdict(now, m), &r
}

// clearFinished clears a suspect: it has run to its end and its endpoint lives.
func (g *Gate) clearFinished(now time.Time, m GateRequest) (GateReply, *Record) {
	if _, state := g.table.Find(now, m.Fingerprint); state != Suspect {
		return GateReply{}, nil
	}
	r, _ := g.table.clearCrashes(now, m.Fingerprint)
	return GateReply{}, &r
}
