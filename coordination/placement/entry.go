package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination"
)

// LoadReader reads the load that an endpoint reports.
type LoadReader interface {
	// ReadLoad requests the report of an endpoint.
	ReadLoad(ctx context.Context, endpoint coordination.Endpoint) (Report, error)
}

// Entry places the requests of one router: it asks the owners of candidate
// endpoints for grants and keeps those that it holds, so that it can register them
// with a new owner. [Start] calls [Entry.Tick] when there is something to send.
type Entry struct {
	id        EntryID
	transport Transport
	local     *Owner
	loads     LoadReader
	cfg       atomic.Pointer[Config]
	view      atomic.Pointer[view]
	held      grantTable
	avoided   avoidTable
	fallback  fallbackTable
	known     knownTable
}

// view is a consistent pair of endpoint and router lists.
type view struct {
	set     *Set
	routers *Routers
	removed map[coordination.Endpoint]removal // kept by owners only
}

// NewEntry returns the entry of a router whose own endpoints are counted by local.
// Other owners are reached through t. If loads is not nil, its reports are used to
// decide without an owner that cannot be reached.
func NewEntry(id EntryID, local *Owner, t Transport, loads LoadReader, cfg Config) *Entry {
	e := &Entry{id: id, transport: t, local: local, loads: loads}
	e.held.grants = make(map[Sequence]*Grant)
	e.held.releases = make(map[coordination.Instance][]Release)
	e.held.lastContact = make(map[coordination.Instance]time.Time)
	e.held.releasesDropped = make(map[coordination.Instance]bool)
	e.held.wake = make(chan struct{}, 1)
	e.view.Store(&view{set: NewSet(nil), routers: NewRouters(nil, 0)})
	e.Configure(cfg)
	return e
}

// Configure replaces the settings. Zero fields get their defaults.
func (e *Entry) Configure(cfg Config) {
	cfg = cfg.withDefaults()
	e.cfg.Store(&cfg)
}

// Update replaces the lists of endpoints and routers. If the routers have changed,
// owners may have too, so the next [Entry.Tick] registers the held grants.
func (e *Entry) Update(set *Set, routers *Routers) {
	if old := e.view.Swap(&view{set: set, routers: routers}); old.routers != routers {
		e.held.requestRegistration()
	}
}

// Acquire asks for a grant at the best endpoint that takes the request. If there is
// none, it returns a nil grant and the refusal. The caller must call
// [Grant.Release] once the request no longer runs at the endpoint.
func (e *Entry) Acquire(ctx context.Context, req Request) (*Grant, Refusal) {
	cfg, v := e.cfg.Load(), e.view.Load()
	g := e.held.open(e, req.Isolated)
	w := newWalk(time.Now(), req, cfg, v.set, v.routers)
	w.latest, w.avoided = e.view.Load, &e.avoided
	for {
		coordination.Sleep(ctx, w.pause(time.Now()))
		q, refusal, ok := w.nextQuery(time.Now())
		if !ok && refusal.Code == NotOwner && w.awaitHandover(ctx) {
			continue
		}
		if !ok {
			e.held.close(g, e.id.Instance)
			return nil, refusal
		}
		g.Warm, g.Rank = q.endpoint == w.warm, slices.Index(w.list, q.endpoint)
		r := e.sendQuery(ctx, g, req, q, cfg)
		if r.Code == Outlier {
			e.avoided.add(time.Now(), avoidKey{pool: req.Pool, endpoint: q.endpoint.ID, nonRetryable: req.NonRetryable}, r.RetryAfter.Duration())
		}
		if !w.handleReply(q, r) {
			continue
		}
		if r.Decision == Granted && ctx.Err() == nil {
			g.Lost, g.Cold = w.lost, r.Cold
			return g, Refusal{}
		}
		if r.Decision == Granted {
			g.Release()
			return nil, Refusal{Code: Cancelled}
		}
		e.held.close(g, e.id.Instance)
		return nil, Refusal{Code: r.Code, RetryAfter: r.RetryAfter.Duration()}
	}
}

// sendQuery sends one query to one owner, or decides without it if it is unreachable.
func (e *Entry) sendQuery(ctx context.Context, g *Grant, req Request, q ownerQuery, cfg *Config) AdmitReply {
	e.held.recordQuery(time.Now(), g, q)
	m := newAdmitRequest(e.id, g.sequence, req, q)
	if q.owner == e.id.Instance {
		r := e.local.Admit(ctx, m)
		e.recordReply(g, q, r)
		return r
	}
	if q.owner == "" || e.fallback.backingOff(time.Now(), q.owner) {
		return e.decideWithoutOwner(ctx, g, q, cfg)
	}
	m.Releases = e.held.takeReleases(q.owner)
	r, err := e.call(ctx, q, m, cfg)
	if err != nil {
		// The owner may have granted the request, so a release is queued. The next query
		// needs another sequence number, or the owner would take it for the released one.
		e.held.requeueReleases(q.owner, m.Releases)
		e.held.requeueReleases(q.owner, []Release{{Endpoint: q.endpoint.ID, Sequence: g.sequence}})
		e.held.renumber(g)
		if ctx.Err() != nil {
			return AdmitReply{Decision: Refused, Code: Cancelled}
		}
		e.fallback.recordFailure(time.Now(), q.owner)
		return e.decideWithoutOwner(ctx, g, q, cfg)
	}
	e.fallback.recordAnswer(q.owner)
	if r.Code == EndpointLost {
		e.fallback.markDead(time.Now(), lostOf(q.endpoint), cfg.LostTTL)
	}
	e.recordReply(g, q, r)
	return r
}

// recordReply records the limit and the grant in an owner's reply.
func (e *Entry) recordReply(g *Grant, q ownerQuery, r AdmitReply) {
	if r.Limit > 0 {
		e.fallback.recordLimit(time.Now(), q.endpoint.Pool, r.Limit)
	}
	e.known.record(time.Now(), q.endpoint, r)
	if r.Decision == Granted {
		e.held.markGranted(time.Now(), g, q.owner)
	}
}

// call sends a query to a remote owner. Its timeout is the time for which the owner
// may hold the request back plus admitTimeout.
func (e *Entry) call(ctx context.Context, q ownerQuery, m AdmitRequest, cfg *Config) (AdmitReply, error) {
	wait := q.wait.Duration()
	if q.final {
		wait = cfg.MaxWait
	}
	if q.final && q.deadline > 0 {
		wait = min(wait, q.deadline.Duration())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+admitTimeout)
	defer cancel()
	b, err := e.transport.Call(ctx, q.owner, TopicAdmit, m.Encode())
	if err != nil {
		return AdmitReply{}, err
	}
	return DecodeAdmitReply(b)
}

// admitTimeout is how long an owner has for its reply. It adds to the time to the
// first token, so it limits what a frozen owner costs.
const admitTimeout = 100 * time.Millisecond

// ReportLost tells the owner of an endpoint that this router has found it dead, so
// that other requests avoid it before the instance lists show it.
func (e *Entry) ReportLost(ctx context.Context, d Descriptor) {
	lost := lostOf(&d)
	e.fallback.markDead(time.Now(), lost, e.cfg.Load().LostTTL)
	b := ReleaseBatch{Entry: e.id, Lost: []LostEndpoint{lost}}
	to := e.view.Load().routers.Owner(d.ID, d.Zone)
	if to == e.id.Instance {
		e.local.Release(b)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// If the message is lost, the instance list tells the owner a little later.
	_, _ = e.transport.Call(ctx, to, TopicRelease, b.Encode())
}

// sendNotice tells one owner what a request shows of its endpoint, and reports
// whether the endpoint is ejected. It reports false if the owner does not reply.
func (e *Entry) sendNotice(ctx context.Context, owner coordination.Instance, n Notice) (ejected bool) {
	b := ReleaseBatch{Entry: e.id, Notices: []Notice{n}}
	if owner == e.id.Instance {
		return slices.Contains(e.local.Release(b).Ejected, n.Endpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	raw, err := e.transport.Call(ctx, owner, TopicRelease, b.Encode())
	if err != nil {
		return false
	}
	r, err := DecodeReleaseReply(raw)
	return err == nil && slices.Contains(r.Ejected, n.Endpoint)
}

// Tick sends the queued releases, and registers the held grants when the router
// list has changed or a third of the entry's lease has passed.
func (e *Entry) Tick(ctx context.Context) {
	cfg, v := e.cfg.Load(), e.view.Load()
	var wg sync.WaitGroup
	now := time.Now()
	for _, m := range e.held.pendingMessages(now, e.id, v, &e.known, cfg) {
		m.entry = e
		wg.Go(func() { m.send(ctx) })
	}
	wg.Wait()
}

// outboundMessage is one message to an owner: releases or a registration.
type outboundMessage struct {
	entry    *Entry
	to       coordination.Instance
	releases []Release
	register *Register
}

// send sends the message. Releases that may not have arrived are queued again.
func (m outboundMessage) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if m.register != nil {
		m.sendRegister(ctx)
		return
	}
	b := ReleaseBatch{Entry: m.entry.id, Releases: m.releases}
	if m.to == m.entry.id.Instance {
		m.entry.local.Release(b)
		return
	}
	if _, err := m.entry.transport.Call(ctx, m.to, TopicRelease, b.Encode()); err != nil {
		m.entry.held.requeueReleases(m.to, m.releases)
	}
}

// sendTimeout limits the call for a release or a registration.
const sendTimeout = time.Second

// sendRegister sends the registration. If that fails, another one is requested.
func (m outboundMessage) sendRegister(ctx context.Context) {
	if m.to == m.entry.id.Instance {
		m.entry.local.Register(*m.register)
		return
	}
	if _, err := m.entry.transport.Call(ctx, m.to, TopicRegister, m.register.Encode()); err != nil {
		m.entry.held.requestRegistration()
	}
}
