package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outlier"
)

// Grant is the right to run one request at one endpoint. The request counts
// there until Release.
type Grant struct {
	Endpoint Descriptor
	Warm     bool // the endpoint is the one that the hint named
	Rank     int  // the endpoint's place among the request's candidates, from 0

	// Lost lists the candidates that turned out to have died. Something took
	// them, and it may have been a copy of this very request.
	Lost []LostEndpoint

	entry    *Entry
	sequence Sequence
	alone    bool

	// The grantTable's lock guards what follows.
	granted bool
	seen    outlier.Weight // what the request showed of the endpoint
	start   time.Time
	owners  []coordination.Instance // that count it
}

// ID returns the name under which owners know the grant.
func (g *Grant) ID() GrantID { return GrantID{Entry: g.entry.id, Sequence: g.sequence} }

// Release ends the grant. It may be called more than once.
func (g *Grant) Release() {
	e := g.entry
	if local := e.held.close(g, e.id.Instance); local != nil {
		e.local.Release(ReleaseBatch{Entry: e.id, Releases: []Release{*local}})
	}
}

// Saw notes what the request showed of its endpoint, which the release tells the
// owner.
func (g *Grant) Saw(w outlier.Weight) {
	t := &g.entry.held
	t.mu.Lock()
	defer t.mu.Unlock()
	g.seen = w
}

// Tell tells the owner at once what the request shows of its endpoint while it
// runs on there; zero only asks. It reports whether the endpoint is taken out for
// its failures.
func (g *Grant) Tell(ctx context.Context, w outlier.Weight) (out bool) {
	e := g.entry
	n := Notice{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Evidence: w}
	for _, o := range e.held.ownersOf(g) {
		out = e.tell(ctx, o, n) || out
	}
	return out
}

// Hint returns the hint that leads the next request of the chat back here.
func (g *Grant) Hint() Hint { return HintOf(g.Endpoint.ID, g.Endpoint.Incarnation) }

// grantTable holds the grants of an entry, and the releases to be sent.
type grantTable struct {
	mu         sync.Mutex
	last       Sequence
	grants     map[Sequence]*Grant
	releases   map[coordination.Instance][]Release
	registered time.Time // zero when owners may have changed

	// asked tells when each owner was last asked, or registered with. When owners
	// may have changed, a registration goes to all asked of late, also when it has
	// nothing to list.
	asked map[coordination.Instance]time.Time

	// owed holds the owners to which releases were dropped. The next registration
	// that reaches them says the same.
	owed map[coordination.Instance]bool

	due chan struct{} // holds one if there is something to send
}

// notify notes that there is something to send.
func (t *grantTable) notify() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// releaseLimit bounds the releases kept for an owner that cannot be reached.
// The next registration says the same as those that are dropped.
const releaseLimit = 4096

// open starts a grant that is not granted yet. Numbering and entering it are
// one step, so that a registration never seems to say that it has ended.
func (t *grantTable) open(e *Entry, alone bool) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &Grant{entry: e, alone: alone}
	t.number(g)
	return g
}

// number gives a grant the next sequence number. The caller holds t.mu.
func (t *grantTable) number(g *Grant) {
	t.last++
	g.sequence = t.last
	t.grants[g.sequence] = g
}

// renew gives a grant that is not granted another sequence number.
func (t *grantTable) renew(g *Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.grants, g.sequence)
	t.number(g)
}

// aim notes which owner is asked for the grant, and for which endpoint.
func (t *grantTable) aim(now time.Time, g *Grant, a ask) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.Endpoint = *a.endpoint
	g.owners = g.owners[:0]
	if a.owner != "" {
		g.owners = append(g.owners, a.owner)
		t.asked[a.owner] = now
	}
}

// grant notes that the owner has granted.
func (t *grantTable) grant(now time.Time, g *Grant, owner coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.granted, g.start = true, now
	if !slices.Contains(g.owners, owner) {
		g.owners = append(g.owners, owner)
	}
}

// close ends a grant and prepares the releases to all owners that count it. It
// returns the one for self, which needs no message.
func (t *grantTable) close(g *Grant, self coordination.Instance) (local *Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants[g.sequence] != g {
		return nil
	}
	delete(t.grants, g.sequence)
	if !g.granted {
		return nil
	}
	for _, o := range g.owners {
		r := Release{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Evidence: g.seen}
		if o == self {
			local = &r
			continue
		}
		t.add(o, r)
	}
	return local
}

// ownersOf returns the owners that count a grant.
func (t *grantTable) ownersOf(g *Grant) []coordination.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants[g.sequence] != g || !g.granted {
		return nil
	}
	return slices.Clone(g.owners)
}

// add appends a release. The caller holds t.mu.
func (t *grantTable) add(o coordination.Instance, r Release) {
	if len(t.releases[o]) < releaseLimit {
		t.releases[o] = append(t.releases[o], r)
	} else {
		t.owed[o] = true
	}
	t.notify()
}

// take returns the releases for an owner, which are then the caller's to send.
func (t *grantTable) take(o coordination.Instance) []Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.releases[o]
	delete(t.releases, o)
	return rs
}

// giveBack keeps releases that may not have arrived.
func (t *grantTable) giveBack(o coordination.Instance, rs []Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		t.add(o, r)
	}
}

// registerAgain makes the next Tick register.
func (t *grantTable) registerAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = time.Time{}
	t.notify()
}

// registerIn returns the time until the next registration, which renews the
// entry's lease.
func (t *grantTable) registerIn(now time.Time, cfg *Config) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.registered.Add(cfg.EntryLease/leaseParts).Sub(now), releaseInterval)
}

// messages returns those that have to be sent now.
func (t *grantTable) messages(now time.Time, id EntryID, v *view, cfg *Config) []dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []dispatch
	for o, rs := range t.releases {
		if _, live := v.routers.Find(o); live {
			all = append(all, dispatch{to: o, releases: rs})
		} else {
			t.owed[o] = true
		}
	}
	clear(t.releases)
	if now.Sub(t.registered) < cfg.EntryLease/leaseParts {
		return all
	}
	for o, m := range t.registers(now, id, v, cfg) {
		all = append(all, dispatch{to: o, register: m})
		t.asked[o] = now
		delete(t.owed, o)
	}
	t.registered = now
	return all
}

// registers returns what each owner is to know that does not know it already. A
// grant is listed for the owner of its endpoint by the present lists and for those
// that gave it: while lists differ, each of them may count the endpoint.
func (t *grantTable) registers(now time.Time, id EntryID, v *view, cfg *Config) map[coordination.Instance]*Register {
	all := make(map[coordination.Instance]*Register)
	for _, o := range t.uncertain(now, v, cfg) {
		all[o] = &Register{Entry: id, UpTo: t.last}
	}
	for _, seq := range sortedKeys(t.grants) {
		g := t.grants[seq]
		t.follow(g, v)
		for _, o := range g.owners {
			if all[o] == nil {
				all[o] = &Register{Entry: id, UpTo: t.last}
			}
			all[o].list(now, g)
		}
	}
	return lo.OmitBy(all, func(o coordination.Instance, _ *Register) bool { return t.renewed(now, o, cfg) })
}

// uncertain returns the owners that may hold for granted what has ended.
func (t *grantTable) uncertain(now time.Time, v *view, cfg *Config) []coordination.Instance {
	live := func(o coordination.Instance, _ bool) bool {
		_, ok := v.routers.Find(o)
		return ok
	}
	all := lo.Keys(lo.PickBy(t.owed, live))
	for o, at := range t.asked {
		switch {
		case !live(o, true) || now.Sub(at) > cfg.EntryLease:
			delete(t.asked, o)
		case t.registered.IsZero():
			all = append(all, o)
		}
	}
	return all
}

// follow has the owner of a grant's endpoint by the present lists count it, and
// forgets owners that are gone.
func (t *grantTable) follow(g *Grant, v *view) {
	owner := v.routers.Owner(g.Endpoint.ID, g.Endpoint.Zone)
	if g.granted && owner != "" && !slices.Contains(g.owners, owner) {
		g.owners = append(g.owners, owner)
	}
	g.owners = lo.Filter(g.owners, func(o coordination.Instance, _ int) bool {
		_, live := v.routers.Find(o)
		return live
	})
}

// renewed reports whether an owner has heard from this entry within half a turn, so
// that its lease needs no renewal before the next one. Each admission renews it, and
// most requests have ended by then.
func (t *grantTable) renewed(now time.Time, o coordination.Instance, cfg *Config) bool {
	return !t.registered.IsZero() && !t.owed[o] && now.Sub(t.asked[o]) < cfg.EntryLease/(2*leaseParts)
}

func sortedKeys(m map[Sequence]*Grant) []Sequence {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

// list adds a grant to the registration.
func (m *Register) list(now time.Time, g *Grant) {
	h := HeldGrant{Sequence: g.sequence}
	if g.granted {
		h.Age = millis(now.Sub(g.start))
	} else {
		h.Flags |= HeldPending
	}
	if g.alone {
		h.Flags |= HeldIsolated
	}
	i := slices.IndexFunc(m.Held, func(h HeldGrants) bool { return h.Endpoint == g.Endpoint.ID })
	if i < 0 {
		i = len(m.Held)
		m.Held = append(m.Held, HeldGrants{Endpoint: g.Endpoint.ID, Incarnation: g.Endpoint.Incarnation})
	}
	m.Held[i].Grants = append(m.Held[i].Grants, h)
}
