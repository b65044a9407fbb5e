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

	mu      sync.Mutex
	moved   time.Time
	running map[Fingerprint]map[Copy]time.Time // until when
}

// NewGate returns the gate of a router with this table.
func NewGate(table *Table) *Gate {
	return &Gate{
		cfg:     table.cfg,
		table:   table,
		running: make(map[Fingerprint]map[Copy]time.Time),
	}
}

// Moved tells that the list of routers has changed, so that this gate may have
// got fingerprints of another one. It lets no suspect start until the entries
// that run copies have had time to claim them.
func (g *Gate) Moved(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moved = now
}

// Dead drops the copies of an instance that has died. Endpoints cancel an
// attempt that nobody reads, but not at once, so the copies hold their place a
// while longer.
func (g *Gate) Dead(now time.Time, id coordination.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := now.Add(abandonedRun)
	for _, copies := range g.running {
		for c, old := range copies {
			if c.Instance == id && until.Before(old) {
				copies[c] = until
			}
		}
	}
}

// abandonedRun is how long an endpoint may go on with an attempt that has lost
// its reader.
const abandonedRun = 15 * time.Second

// Handle takes a step of a copy. If the record has changed, it returns it for
// spreading.
func (g *Gate) Handle(now time.Time, m GateRequest) (GateReply, *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Step {
	case Enter:
		return g.enter(now, m), nil
	case Claim:
		g.hold(now, m)
		return g.verdict(now, m), nil
	case Crashed:
		g.drop(m)
		return g.crashed(now, m)
	case Finished:
		g.drop(m)
		return g.finished(now, m)
	default:
		g.drop(m)
		return GateReply{}, nil
	}
}

// enter lets a copy run unless its content is convicted, or a suspect of which
// another copy runs.
func (g *Gate) enter(now time.Time, m GateRequest) GateReply {
	v := g.verdict(now, m)
	if v.Verdict == Alone || v.Verdict == Free {
		g.hold(now, m)
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
		return GateReply{Verdict: Free}
	}
	ready := r.Crashes[len(r.Crashes)-1].At.Time().Add(g.cfg.Hold)
	if after := g.moved.Add(g.cfg.Hold); after.After(ready) {
		ready = after
	}
	if now.Before(ready) {
		return GateReply{Verdict: Busy, RetryAfter: millis(ready.Sub(now))}
	}
	if g.others(now, m) {
		return GateReply{Verdict: Busy, RetryAfter: millis(g.cfg.Hold)}
	}
	return GateReply{Verdict: Alone}
}

// others reports whether another copy runs.
func (g *Gate) others(now time.Time, m GateRequest) bool {
	copies := g.running[m.Fingerprint]
	for c, until := range copies {
		if !now.Before(until) {
			delete(copies, c)
		}
	}
	return lo.SomeBy(lo.Keys(copies), func(c Copy) bool { return c != m.Copy })
}

// hold notes that a copy runs.
func (g *Gate) hold(now time.Time, m GateRequest) {
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

// drop notes that a copy runs no more.
func (g *Gate) drop(m GateRequest) {
	copies := g.running[m.Fingerprint]
	delete(copies, m.Copy)
	if len(copies) == 0 {
		delete(g.running, m.Fingerprint)
	}
}

// crashed takes the death of a copy's endpoint.
func (g *Gate) crashed(now time.Time, m GateRequest) (GateReply, *Record) {
	if m.Crash == nil {
		return GateReply{}, nil
	}
	r, _ := g.table.crash(now, m.Fingerprint, *m.Crash)
	return g.verdict(now, m), &r
}

// finished clears a suspect: it has run to its end and its endpoint lives.
func (g *Gate) finished(now time.Time, m GateRequest) (GateReply, *Record) {
	if _, state := g.table.Find(now, m.Fingerprint); state != Suspect {
		return GateReply{}, nil
	}
	r, _ := g.table.clear(now, m.Fingerprint)
	return GateReply{}, &r
}
