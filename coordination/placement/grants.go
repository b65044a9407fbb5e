package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/outlier"
)

// Grant is the right to run one request at one endpoint. The request counts there
// until [Grant.Release].
type Grant struct {
	Endpoint Descriptor
	Warm     bool // the hint named this endpoint
	Rank     int  // index of the endpoint among the request's candidates
	Cold     bool // the endpoint is cold, so that it crashes more often than others

	// Lost lists the candidates that turned out to have died. The cause is unknown
	// and may have been another attempt of this request.
	Lost []LostEndpoint

	entry    *Entry
	sequence Sequence
	isolated bool

	// The fields below are guarded by grantTable.mu.
	granted  bool
	evidence outlier.Weight // of the endpoint's health, from this request
	rejected bool           // the endpoint rejected the request
	work     capacity.Observation
	start    time.Time
	owners   []coordination.Instance // that count this grant
}

// ID returns the identifier by which owners know the grant.
func (g *Grant) ID() GrantID { return GrantID{Entry: g.entry.id, Sequence: g.sequence} }

// Release ends the grant. It may be called more than once.
func (g *Grant) Release() {
	e := g.entry
	if local := e.held.close(g, e.id.Instance); local != nil {
		e.local.Release(ReleaseBatch{Entry: e.id, Releases: []Release{*local}})
	}
}

// RecordEvidence sets what the request showed of its endpoint's health. The
// release reports it to the owner.
func (g *Grant) RecordEvidence(w outlier.Weight) {
	t := &g.entry.held
	t.mu.Lock()
	defer t.mu.Unlock()
	g.evidence = w
}

// RecordRejection records that the endpoint rejected the request for want of room. The
// release reports it to the owner.
func (g *Grant) RecordRejection() {
	t := &g.entry.held
	t.mu.Lock()
	defer t.mu.Unlock()
	g.rejected = true
}

// ReportEvidence reports to the owners at once what the request shows of its
// endpoint while it still runs there; zero only queries the state. It reports
// whether the endpoint is ejected for its failures.
func (g *Grant) ReportEvidence(ctx context.Context, w outlier.Weight) (ejected bool) {
	e := g.entry
	n := Notice{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Evidence: w}
	for _, o := range e.held.ownersOf(g) {
		ejected = e.sendNotice(ctx, o, n) || ejected
	}
	return ejected
}

// Hint returns the hint that directs the next request of the chat to this endpoint.
func (g *Grant) Hint() Hint { return HintOf(g.Endpoint.ID, g.Endpoint.Incarnation) }

// grantTable holds the grants of an entry and the releases to be sent.
type grantTable struct {
	mu             sync.Mutex
	lastSequence   Sequence
	grants         map[Sequence]*Grant
	releases       map[coordination.Instance][]Release
	lastRegistered time.Time // zero if owners may have changed

	// lastContact is when each owner was last asked or registered with. When owners
	// may have changed, a registration goes to all recently asked, even an empty one.
	lastContact map[coordination.Instance]time.Time

	// releasesDropped holds the owners for which releases were dropped. The next
	// registration that reaches them has the same effect.
	releasesDropped map[coordination.Instance]bool

	wake chan struct{} // capacity 1; signals that there is something to send
}

// notify signals that there is something to send.
func (t *grantTable) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// maxPendingReleases is the number of releases kept for an owner that cannot be
// reached. The next registration makes up for those that are dropped.
const maxPendingReleases = 4096

// open adds a grant that is still pending. It is numbered and added in one step, so
// that no registration can omit the number and thereby report it as ended.
func (t *grantTable) open(e *Entry, isolated bool) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &Grant{entry: e, isolated: isolated}
	t.assignSequence(g)
	return g
}

// assignSequence gives g the next sequence number and adds it. t.mu must be held.
func (t *grantTable) assignSequence(g *Grant) {
	t.lastSequence++
	g.sequence = t.lastSequence
	t.grants[g.sequence] = g
}

// renumber gives a pending grant another sequence number.
func (t *grantTable) renumber(g *Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.grants, g.sequence)
	t.assignSequence(g)
}

// recordQuery records the owner and the endpoint of the query for a pending grant.
func (t *grantTable) recordQuery(now time.Time, g *Grant, q ownerQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.Endpoint = *q.endpoint
	g.owners = g.owners[:0]
	if q.owner != "" {
		g.owners = append(g.owners, q.owner)
		t.lastContact[q.owner] = now
	}
}

// markGranted records that the owner has granted g.
func (t *grantTable) markGranted(now time.Time, g *Grant, owner coordination.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.granted, g.start = true, now
	if !slices.Contains(g.owners, owner) {
		g.owners = append(g.owners, owner)
	}
}

// close ends a grant and queues the releases to all owners that count it. It returns
// the release to self, which needs no message.
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
		r := Release{Endpoint: g.Endpoint.ID, Sequence: g.sequence, Evidence: g.evidence, Ran: millis(time.Since(g.start)), Rejected: g.rejected, Work: g.work}
		if o == self {
			local = &r
			continue
		}
		t.addRelease(o, r)
	}
	return local
}

// ownersOf returns the owners that count g, or nil if g is not granted or has ended.
func (t *grantTable) ownersOf(g *Grant) []coordination.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants[g.sequence] != g || !g.granted {
		return nil
	}
	return slices.Clone(g.owners)
}

// addRelease queues a release. t.mu must be held.
func (t *grantTable) addRelease(o coordination.Instance, r Release) {
	r.Queued = time.Now()
	if len(t.releases[o]) < maxPendingReleases {
		t.releases[o] = append(t.releases[o], r)
	} else {
		t.releasesDropped[o] = true
	}
	t.notify()
}

// takeReleases removes and returns the releases for an owner. The caller sends them.
func (t *grantTable) takeReleases(o coordination.Instance) []Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.releases[o]
	delete(t.releases, o)
	ageReports(time.Now(), rs)
	return rs
}

// ageReports adds the time that releases were queued to the ages of their reports. A tick
// that waits for the reply of one owner delays the releases to all others.
func ageReports(now time.Time, rs []Release) {
	for i := range rs {
		if w := &rs[i].Work; w.Reported > 0 {
			w.ReportAge += max(now.Sub(rs[i].Queued), 0)
		}
	}
}

// requeueReleases queues releases that may not have arrived again.
func (t *grantTable) requeueReleases(o coordination.Instance, rs []Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		r.Work.Reported = 0 // outdated by the time it arrives
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

// pendingMessages returns the messages that have to be sent now.
func (t *grantTable) pendingMessages(now time.Time, id EntryID, v *view, known *knownTable, cfg *Config) []outboundMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []outboundMessage
	for o, rs := range t.releases {
		if _, live := v.routers.Find(o); live {
			ageReports(now, rs)
			all = append(all, outboundMessage{to: o, releases: rs})
		} else {
			t.releasesDropped[o] = true
		}
	}
	clear(t.releases)
	if now.Sub(t.lastRegistered) < cfg.EntryLease/registrationsPerLease {
		return all
	}
	var heard map[coordination.Instance][]KnownCapacity
	if t.lastRegistered.IsZero() {
		heard = known.byOwner(now, v)
	}
	for o, m := range t.registrations(now, id, v, heard, cfg) {
		m.Known = heard[o]
		all = append(all, outboundMessage{to: o, register: m})
		t.lastContact[o] = now
		delete(t.releasesDropped, o)
	}
	t.lastRegistered = now
	return all
}

// registrations returns the registration for each owner that needs one. A grant is
// listed for the current owner of its endpoint and for the owners that granted it:
// while router lists differ, each of them may count the endpoint. Owners of the endpoints
// in heard get one in any case: a new owner may have been asked for nothing yet.
func (t *grantTable) registrations(now time.Time, id EntryID, v *view, heard map[coordination.Instance][]KnownCapacity, cfg *Config) map[coordination.Instance]*Register {
	all := make(map[coordination.Instance]*Register)
	for _, o := range append(t.ownersToReconcile(now, v, cfg), lo.Keys(heard)...) {
		all[o] = &Register{Entry: id, UpTo: t.lastSequence}
	}
	for _, seq := range sortedKeys(t.grants) {
		g := t.grants[seq]
		t.updateOwners(g, v)
		for _, o := range g.owners {
			if all[o] == nil {
				all[o] = &Register{Entry: id, UpTo: t.lastSequence}
			}
			all[o].addGrant(now, g)
		}
	}
	return lo.OmitBy(all, func(o coordination.Instance, _ *Register) bool { return t.recentlyContacted(now, o, cfg) })
}

// ownersToReconcile returns the owners that may count grants that have ended.
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

// updateOwners adds the current owner of the grant's endpoint and removes owners
// that are gone.
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

// recentlyContacted reports whether an owner has heard from this entry within half a
// registration interval, so that its lease needs no renewal before the next one. Each
// admission renews the lease, and most requests have ended by the next registration.
func (t *grantTable) recentlyContacted(now time.Time, o coordination.Instance, cfg *Config) bool {
	return !t.lastRegistered.IsZero() && !t.releasesDropped[o] && now.Sub(t.lastContact[o]) < cfg.EntryLease/(2*registrationsPerLease)
}

// sortedKeys returns the keys of m in ascending order.
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
	if g.isolated {
		h.Flags |= HeldIsolated
	}
	i := slices.IndexFunc(m.Held, func(h HeldGrants) bool { return h.Endpoint == g.Endpoint.ID })
	if i < 0 {
		i = len(m.Held)
		m.Held = append(m.Held, HeldGrants{Endpoint: g.Endpoint.ID, Incarnation: g.Endpoint.Incarnation})
	}
	m.Held[i].Grants = append(m.Held[i].Grants, h)
}
