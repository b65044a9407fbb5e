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
	granted  bool
	evidence outlier.Weight // what the request showed of the endpoint
	start    time.Time
	owners   []coordination.Instance // that count it
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

// RecordEvidence notes what the request showed of its endpoint, which the release tells the
// owner.
func (g *Grant) RecordEvidence(w outlier.Weight) {
	t := &g.entry.held
	t.mu.Lock()
	defer t.mu.Unlock()
	g.evidence = w
}

// ReportEvidence tells the owner at once what the request shows of its endpoint while it
// runs on there; zero only asks. It reports whether the endpoint is taken out for
// its failures.
func (g *Grant) ReportEvidence(ctx context.Context, w outlier.Weight) (out bool) {
	e := g.entry
	n := Notice{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Seen: w}
	for _, o := range e.held.ownersOf(g) {
		out = e.sendNotice(ctx, o, n) || out
	}
	return out
}

// Hint returns the hint that leads the next request of the chat back here.
func (g *Grant) Hint() Hint { return HintOf(g.Endpoint.ID, g.Endpoint.Incarnation) }

// grantTable holds the grants of an entry, and the releases to be sent.
type grantTable struct {
	mu             sync.Mutex
	last           Sequence
	grants         map[Sequence]*Grant
	releases       map[coordination.Instance][]Release
	lastRegistered time.Time // zero when owners may have changed

	// lastContact tells when each owner was last lastContact, or registered with. When owners
	// may have changed, a registration goes to all lastContact of late, also when it has
	// nothing to list.
	lastContact map[coordination.Instance]time.Time

	// releasesDropped holds the owners to which releases were dropped. The next registration
	// that reaches them says the same.
	releasesDropped map[coordination.Instance]bool

	wake chan struct{} // holds one if there is something to send
}

// notify notes that there is something to send.
func (t *grantTable) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// maxPendingReleases bounds the releases kept for an owner that cannot be reached.
// The next registration says the same as those that are dropped.
const maxPendingReleases = 4096

// open starts a grant that is not granted yet. Numbering and entering it are
// one step, so that a registration never seems to say that it has ended.
func (t *grantTable) open(e *Entry, alone bool) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &Grant{entry: e, alone: alone}
	t.assignSequence(g)
	return g
}

// assignSequence gives a grant the next sequence assignSequence. The caller holds t.mu.
func (t *grantTable) assignSequence(g *Grant) {
	t.last++
	g.sequence = t.last
	t.grants[g.sequence] = g
}

// renumber gives a grant that is not granted another sequence number.
func (t *grantTable) renumber(g *Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.grants, g.sequence)
	t.assignSequence(g)
}

// recordQuery notes which owner is asked for the grant, and for which endpoint.
func (t *grantTable) recordQuery(now time.Time, g *Grant, a ownerQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.Endpoint = *a.endpoint
	g.owners = g.owners[:0]
	if a.owner != "" {
		g.owners = append(g.owners, a.owner)
		t.lastContact[a.owner] = now
	}
}

// markGranted notes that the owner has granted.
func (t *grantTable) markGranted(now time.Time, g *Grant, owner coordination.Instance) {
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
		r := Release{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Seen: g.evidence}
		if o == self {
			local = &r
			continue
		}
		t.addRelease(o, r)
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

// addRelease appends a release. The caller holds t.mu.
func (t *grantTable) addRelease(o coordination.Instance, r Release) {
	if len(t.releases[o]) < maxPendingReleases {
		t.releases[o] = append(t.releases[o], r)
	} else {
		t.releasesDropped[o] = true
	}
	t.notify()
}

// takeReleases returns the releases for an owner, which are then the caller's to send.
func (t *grantTable) takeReleases(o coordination.Instance) []Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.releases[o]
	delete(t.releases, o)
	return rs
}

// requeueReleases keeps releases that may not have arrived.
func (t *grantTable) requeueReleases(o coordination.Instance, rs []Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		t.addRelease(o, r)
	}
}

// requestRegistration makes the next Tick register.
func (t *grantTable) requestRegistration() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRegistered = time.Time{}
	t.notify()
}

// untilRegistration returns the time until the next registration, which renews the
// entry's lease.
func (t *grantTable) untilRegistration(now time.Time, cfg *Config) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.lastRegistered.Add(cfg.EntryLease/registrationsPerLease).Sub(now), releaseInterval)
}

// pendingMessages returns those that have to be sent now.
func (t *grantTable) pendingMessages(now time.Time, id EntryID, v *view, cfg *Config) []outboundMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []outboundMessage
	for o, rs := range t.releases {
		if _, live := v.routers.Find(o); live {
			all = append(all, outboundMessage{to: o, releases: rs})
		} else {
			t.releasesDropped[o] = true
		}
	}
	clear(t.releases)
	if now.Sub(t.lastRegistered) < cfg.EntryLease/registrationsPerLease {
		return all
	}
	for o, m := range t.registrations(now, id, v, cfg) {
		all = append(all, outboundMessage{to: o, register: m})
		t.lastContact[o] = now
		delete(t.releasesDropped, o)
	}
	t.lastRegistered = now
	return all
}

// registrations returns what each owner is to know that does not know it already. A
// grant is listed for the owner of its endpoint by the present lists and for those
// that gave it: while lists differ, each of them may count the endpoint.
func (t *grantTable) registrations(now time.Time, id EntryID, v *view, cfg *Config) map[coordination.Instance]*Register {
	all := make(map[coordination.Instance]*Register)
	for _, o := range t.ownersToReconcile(now, v, cfg) {
		all[o] = &Register{Entry: id, UpTo: t.last}
	}
	for _, seq := range sortedKeys(t.grants) {
		g := t.grants[seq]
		t.updateOwners(g, v)
		for _, o := range g.owners {
			if all[o] == nil {
				all[o] = &Register{Entry: id, UpTo: t.last}
			}
			all[o].addGrant(now, g)
		}
	}
	return lo.OmitBy(all, func(o coordination.Instance, _ *Register) bool { return t.recentlyContacted(now, o, cfg) })
}

// ownersToReconcile returns the owners that may hold for granted what has ended.
func (t *grantTable) ownersToReconcile(now time.Time, v *view, cfg *Config) []coordination.Instance {
	live := func(o coordination.Instance, _ bool) bool {
		_, ok := v.routers.Find(o)
		return ok
	}
	all := lo.Keys(lo.PickBy(t.releasesDropped, live))
	for o, at := range t.lastContact {
		switch {
		case !live(o, true) || now.Sub(at) > cfg.EntryLease:
			delete(t.lastContact, o)
		case t.lastRegistered.IsZero():
			all = append(all, o)
		}
	}
	return all
}

// updateOwners has the owner of a grant's endpoint by the present lists count it, and
// forgets owners that are gone.
func (t *grantTable) updateOwners(g *Grant, v *view) {
	owner := v.routers.Owner(g.Endpoint.ID, g.Endpoint.Zone)
	if g.granted && owner != "" && !slices.Contains(g.owners, owner) {
		g.owners = append(g.owners, owner)
	}
	g.owners = lo.Filter(g.owners, func(o coordination.Instance, _ int) bool {
		_, live := v.routers.Find(o)
		return live
	})
}

// recentlyContacted reports whether an owner has heard from this entry within half a turn, so
// that its lease needs no renewal before the next one. Each admission renews it, and
// most requests have ended by then.
func (t *grantTable) recentlyContacted(now time.Time, o coordination.Instance, cfg *Config) bool {
	return !t.lastRegistered.IsZero() && !t.releasesDropped[o] && now.Sub(t.lastContact[o]) < cfg.EntryLease/(2*registrationsPerLease)
}

func sortedKeys(m map[Sequence]*Grant) []Sequence {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

// addGrant adds a grant to the registration.
func (m *Register) addGrant(now time.Time, g *Grant) {
	h := HeldGrant{Sequence: g.sequence}
	if g.granted {
		h.Age = millis(now.Sub(g.start))
	} else {
		h.Flags |= HeldPending
	}
	if g.alone {
		h.Flags |= HeldAlone
	}
	i := slices.IndexFunc(m.Held, func(h HeldGrants) bool { return h.Endpoint == g.Endpoint.ID })
	if i < 0 {
		i = len(m.Held)
		m.Held = append(m.Held, HeldGrants{Endpoint: g.Endpoint.ID, Incarnation: g.Endpoint.Incarnation})
	}
	m.Held[i].Grants = append(m.Held[i].Grants, h)
}
