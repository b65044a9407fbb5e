package daemon

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/peer"
)

// placing joins the decisions of placement with what the router knows of
// endpoints and of other routers.
type placing struct {
	self      coordination.Instance
	fleet     *fleet
	directory *endpoint.Directory
	node      *peer.Node
	reach     *peer.Reach
	owner     *placement.Owner
	entry     *placement.Entry
	changes   chan struct{} // a sign that lists have changed
	polls     chan struct{} // a sign to read the loads at once; nil if they are not read
	view      atomic.Pointer[placement.Routers]
	tuning    atomic.Pointer[tuning]
	reports   sync.Map // by endpoint, the last load that each owned endpoint reported
	lives     lives
	losses    losses
	started   time.Time
	alone     bool // it had to meet the other routers first

	updating  sync.Mutex       // held by update; guards the fields below
	roster    placement.Roster // damps endpoints that come and go
	owned     map[coordination.Endpoint]bool
	listed    []endpoint.Info // the list of the last update
	observers []func(all []endpoint.Info)
}

func newPlacing(i do.Injector) (*placing, error) {
	cfg := settingsOf(i)
	engines := do.MustInvoke[*engine.Client](i)
	loads := loadReader{directory: do.MustInvoke[*endpoint.Directory](i), engines: engines}
	p := buildPlacing(i, loads, placement.Config{})
	p.polls = make(chan struct{}, 1)
	p.alone = len(cfg.Peers.Seeds) > 0
	p.watch()
	p.poll(i, engines, cfg.Limits.LoadInterval)
	p.drive(i)
	return p, nil
}

// buildPlacing makes placing with the lists as they are now. Loads may be nil,
// if endpoints are not asked for theirs.
func buildPlacing(i do.Injector, loads placement.LoadReader, tuned placement.Config) *placing {
	cfg := settingsOf(i)
	st := stateOf(i)
	p := &placing{
		self:      cfg.Instance,
		fleet:     do.MustInvoke[*fleet](i),
		directory: do.MustInvoke[*endpoint.Directory](i),
		node:      do.MustInvoke[*peer.Node](i),
		reach:     do.MustInvoke[*peer.Reach](i),
		owner:     placement.NewOwner(cfg.Instance, tuned),
		changes:   make(chan struct{}, 1),
		lives:     lives{},
		started:   st.started,
	}
	id := placement.EntryID{Instance: cfg.Instance, Incarnation: st.incarnation}
	p.owner.OnOutlier(outlierLogger{logOf(i)}.tell)
	p.entry = placement.NewEntry(id, p.owner, p.reach, loads, tuned)
	p.tuning.Store(newTuning(nil))
	do.MustInvoke[*prometheus.Registry](i).MustRegister(&placementCollector{owner: p.owner})
	p.handle()
	p.update()
	return p
}

// watch has placing follow the lists.
func (p *placing) watch() {
	p.node.OnChange(func([]membership.Member) { p.changed() })
	p.reach.Watch(p.changed)
	p.directory.Watch(p.changed)
}

// poll has placing follow the loads that endpoints report.
func (p *placing) poll(i do.Injector, engines *engine.Client, interval time.Duration) {
	poller := &endpoint.Poller{
		Directory: p.directory,
		Loads:     engines,
		Interval:  interval,
		Trigger:   p.polls,
		Owned:     p.owns,
		OnLoad:    p.report,
	}
	onStop(i, poller.Start(context.Background()))
}

// drive has placing do what changes and time bring about.
func (p *placing) drive(i do.Injector) {
	ctx, cancel := context.WithCancel(context.Background())
	go p.loop(ctx)
	onStop(i, cancel)
	onStop(i, placement.Start(p.owner, p.entry))
}

// handle registers the owner's part of the protocol between routers.
func (p *placing) handle() {
	own := func(fn func(context.Context, []byte) ([]byte, error)) peer.Handler {
		return func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
			return fn(ctx, payload)
		}
	}
	p.node.Handle(placement.TopicAdmit, own(p.owner.HandleAdmit))
	p.node.Handle(placement.TopicRelease, own(p.owner.HandleRelease))
	p.node.Handle(placement.TopicRegister, own(p.owner.HandleRegister))
	p.node.Handle(placement.TopicSum, own(p.owner.HandleSum))
}

// changed notes that a list has changed. Many changes at once lead to one
// update.
func (p *placing) changed() {
	select {
	case p.changes <- struct{}{}:
	default:
	}
}

func (p *placing) loop(ctx context.Context) {
	t := time.NewTicker(steadyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changes:
		case <-t.C:
		}
		begun := time.Now()
		p.update()
		coordination.Sleep(ctx, coordination.Cooldown(time.Since(begun)))
	}
}

// steadyInterval is how often it is looked whether an endpoint that came and
// went has been steady for long enough to get its share of chats again.
const steadyInterval = 15 * time.Second

// observe has fn called with the list of endpoints now and, before requests are
// placed by it, with each that differs.
func (p *placing) observe(fn func(all []endpoint.Info)) {
	p.updating.Lock()
	defer p.updating.Unlock()
	p.observers = append(p.observers, fn)
	fn(p.listed)
}

// tell tells the observers of a list that differs from the last one. The caller
// holds p.updating.
func (p *placing) tell(all []endpoint.Info) {
	if slices.Equal(all, p.listed) {
		return
	}
	p.listed = all
	for _, fn := range p.observers {
		fn(all)
	}
}

// update takes the lists in. Requests are placed by them once it returns.
func (p *placing) update() {
	p.updating.Lock()
	defer p.updating.Unlock()
	all := p.directory.All()
	routers := p.fleet.owners()
	p.tell(all)
	p.view.Store(routers)
	p.owner.Update(placement.NewSet(p.served(all)), routers)
	p.pollNew(all)
	p.entry.Update(p.roster.Update(lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor {
		return p.tuning.Load().descriptor(k.Descriptor)
	})), routers)
}

// pollNew has the loads read at once if this router has become the owner of an
// endpoint: it grants nothing there until it knows what the endpoint runs.
func (p *placing) pollNew(all []endpoint.Info) {
	if p.polls == nil {
		return
	}
	owned := make(map[coordination.Endpoint]bool)
	fresh := false
	for _, k := range all {
		if p.owns(k) {
			owned[k.ID] = true
			fresh = fresh || !p.owned[k.ID]
		}
	}
	p.owned = owned
	if !fresh {
		return
	}
	select {
	case p.polls <- struct{}{}:
	default:
	}
}

// meetTime is how long a router that has seeds waits for the others before it
// reads the loads of endpoints: until it has met them it takes all for its own.
const meetTime = time.Second

func (p *placing) owns(k endpoint.Info) bool {
	if p.alone && time.Since(p.started) < meetTime {
		return false
	}
	return p.view.Load().Owner(k.ID, k.Zone) == p.self
}

// running returns what an endpoint that this router owns last reported to run.
func (p *placing) running(id coordination.Endpoint) int {
	if l, ok := p.reports.Load(id); ok {
		return l.(engine.Load).Running
	}
	return 0
}

func (p *placing) report(k endpoint.Info, l engine.Load) {
	if p.reported(k.ID) != l.Incarnation {
		p.changed()
	}
	p.reports.Store(k.ID, l)
	p.owner.Report(reportOf(k.ID, l))
}

func reportOf(id coordination.Endpoint, l engine.Load) placement.Report {
	return placement.Report{
		Endpoint:    id,
		Incarnation: l.Incarnation,
		Running:     l.Running + l.Waiting,
		Capacity:    l.Capacity,
		Leaving:     l.Leaving(),
		Observed:    l.ObservedAt,
	}
}

// loadReader reads an endpoint's own report for a decision without its owner.
type loadReader struct {
	directory *endpoint.Directory
	engines   *engine.Client
}

// ReadLoad implements placement.LoadReader.
func (r loadReader) ReadLoad(ctx context.Context, id coordination.Endpoint) (placement.Report, error) {
	k, ok := r.directory.Find(id)
	if !ok {
		return placement.Report{}, engine.ErrNotFound
	}
	l, err := r.engines.Load(ctx, k.Address)
	return reportOf(id, l), err
}

// Place implements caller.Placer.
func (p *placing) Place(ctx context.Context, w caller.Want) (caller.Place, *outcome.Refusal) {
	req := placement.Request{
		Pool:     w.Pool,
		Key:      keyOf(w),
		Hint:     placement.ParseHint(w.Hint),
		Account:  w.Account,
		Priority: w.Priority,
		Alone:    w.Alone,
		Avoid:    w.Exclude,
	}
	g, k, refusal := p.acquire(ctx, req, w.Deadline)
	if refusal != nil {
		return caller.Place{}, refusal
	}
	return caller.Place{
		Endpoint:    k.ID,
		Incarnation: g.Endpoint.Incarnation,
		Address:     k.Address,
		Hint:        g.Hint().String(),
		Release:     g.Release,
		Lost:        lo.Map(g.Lost, func(l placement.LostEndpoint, _ int) coordination.Endpoint { return l.Endpoint }),
	}, nil
}

// acquire asks for a grant for a request that has to start by a time, which may
// be zero, and finds the endpoint that it is for. Placement learns of a change of
// the list behind the directory, so that a grant may be for one that has gone.
func (p *placing) acquire(ctx context.Context, req placement.Request, by time.Time) (*placement.Grant, endpoint.Info, *outcome.Refusal) {
	for {
		if !by.IsZero() {
			req.Deadline = max(time.Until(by), time.Millisecond)
		}
		g, refusal := p.entry.Acquire(ctx, req)
		if g == nil {
			return nil, endpoint.Info{}, refusalOf(refusal)
		}
		if k, ok := p.directory.Find(g.Endpoint.ID); ok {
			return g, k, nil
		}
		g.Release()
		req.Avoid = append(slices.Clip(req.Avoid), g.Endpoint.ID)
	}
}

// keyOf returns what leads a chat to its endpoint; a request without a chat
// goes by its content.
func keyOf(w caller.Want) placement.Key {
	if w.Chat == "" {
		return placement.Key(w.Fingerprint)
	}
	return placement.KeyOf(coordination.Chat(string(w.Account) + "/" + string(w.Chat)))
}

// refusalOf words a refusal of placement for callers. The request has reached
// no endpoint; the caller package corrects the outcome if earlier attempts did.
func refusalOf(r placement.Refusal) *outcome.Refusal {
	code := outcome.Overloaded
	switch r.Code {
	case placement.Deadline:
		code = outcome.Deadline
	case placement.Poison:
		code = outcome.Poison
	}
	return &outcome.Refusal{
		Code:       code,
		Message:    "no endpoint can take the request now: " + r.Code.String(),
		Outcome:    outcome.NotRun,
		RetryAfter: r.RetryAfter,
	}
}

// Adopt implements caller.Placer. The attempt already runs at its endpoint and
// counts there through the endpoint's own report, so it needs no new grant.
func (p *placing) Adopt(id coordination.Endpoint) (caller.Place, bool) {
	k, ok := p.directory.Find(id)
	if !ok {
		return caller.Place{}, false
	}
	return caller.Place{
		Endpoint:    id,
		Incarnation: k.Incarnation,
		Address:     k.Address,
		Hint:        placement.HintOf(id, k.Incarnation).String(),
		Release:     func() {},
	}, true
}

// Leaving implements caller.Placer.
func (p *placing) Leaving(id coordination.Endpoint, n coordination.Incarnation) {
	p.directory.RecordLeaving(id, n)
	p.owner.MarkLeaving(id, n)
}
