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
	"wisteriaspool/coordination/evacuated"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/pause"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/caller"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/peer"
)

// placer connects the placement decisions with the directory of endpoints and
// the membership of routers. It implements caller.Placer.
type placer struct {
	self         coordination.Instance
	fleet        *fleet
	directory    *endpoint.Directory
	node         *peer.Node
	detector     *peer.FailureDetector
	owner        *placement.Owner
	entry        *placement.Entry
	zones        evacuated.Zones
	log          event.Log
	changes      chan struct{} // signals that a list has changed
	pollNow      chan struct{} // requests an immediate poll of the loads; nil if loads are not polled
	routers      atomic.Pointer[placement.Routers]
	settings     atomic.Pointer[placementSettings]
	capacity     atomic.Uint32 // capacity.Mode of a relaying router
	lastReports  sync.Map      // the last load reported by each owned endpoint, by endpoint
	incarnations incarnationMap
	recentLosses recentLosses
	pauses       pause.Table
	started      time.Time
	hasSeeds     bool          // the router joins through seeds, so it first has to meet the others
	changed      atomic.Uint64 // number of changes of the lists
	applied      atomic.Uint64 // the value of changed before the lists by which requests are placed were read

	updating  sync.Mutex       // held by update; guards the fields below
	roster    placement.Roster // delays the return of endpoints that come and go
	owned     map[coordination.Endpoint]bool
	lastList  []endpoint.Info // the list at the last update
	observers []func(all []endpoint.Info)
}

func newPlacer(i do.Injector) (*placer, error) {
	cfg := configOf(i)
	engines := do.MustInvoke[*engine.Client](i)
	loads := loadReader{directory: do.MustInvoke[*endpoint.Directory](i), engines: engines}
	p := buildPlacer(i, loads, placement.Config{})
	p.pollNow = make(chan struct{}, 1)
	p.hasSeeds = len(cfg.Peers.Seeds) > 0
	p.watchLists()
	p.startPoller(i, engines, cfg.Limits.LoadInterval)
	p.startLoop(i)
	return p, nil
}

// buildPlacer creates a placer with the present lists. loads is nil if
// endpoints are not asked for their loads.
func buildPlacer(i do.Injector, loads placement.LoadReader, config placement.Config) *placer {
	cfg := configOf(i)
	st := stateOf(i)
	p := &placer{
		self:         cfg.Instance,
		fleet:        do.MustInvoke[*fleet](i),
		directory:    do.MustInvoke[*endpoint.Directory](i),
		node:         do.MustInvoke[*peer.Node](i),
		detector:     do.MustInvoke[*peer.FailureDetector](i),
		owner:        placement.NewOwner(cfg.Instance, config),
		log:          logOf(i),
		changes:      make(chan struct{}, 1),
		incarnations: incarnationMap{},
		started:      st.started,
	}
	id := placement.EntryID{Instance: cfg.Instance, Incarnation: st.incarnation}
	p.owner.OnOutlier(outlierLogger{logOf(i)}.logChange)
	p.owner.OnCapacity(capacityLogger{logOf(i)}.logChange)
	p.entry = placement.NewEntry(id, p.owner, p.detector, loads, config)
	p.settings.Store(newPlacementSettings(nil))
	do.MustInvoke[*prometheus.Registry](i).MustRegister(&placementCollector{owner: p.owner})
	p.registerHandlers()
	p.update()
	return p
}

// watchLists subscribes to changes of the membership, of reachability and of
// the endpoints.
func (p *placer) watchLists() {
	p.node.OnChange(func([]membership.Member) { p.signalChange() })
	p.detector.Watch(p.signalChange)
	p.directory.Watch(p.signalChange)
	p.directory.OnForget(p.forget)
}

// forget drops an endpoint that the directory does not list any more, and what is known of
// its incarnations.
func (p *placer) forget(id coordination.Endpoint) {
	p.updating.Lock() // a list from before must not follow
	defer p.updating.Unlock()
	p.roster.Forget(id)
	p.owner.Forget(id)
}

// startPoller starts to poll the loads of owned endpoints.
func (p *placer) startPoller(i do.Injector, engines *engine.Client, interval time.Duration) {
	poller := &endpoint.Poller{
		Directory: p.directory,
		Loads:     engines,
		Interval:  interval,
		Trigger:   p.pollNow,
		Owned:     p.owns,
		OnLoad:    p.recordLoad,
	}
	onStop(i, poller.Start(context.Background()))
}

// startLoop starts the update loop and the background work of the owner and the
// entry.
func (p *placer) startLoop(i do.Injector) {
	ctx, cancel := context.WithCancel(context.Background())
	go p.loop(ctx)
	onStop(i, cancel)
	onStop(i, placement.Start(p.owner, p.entry))
}

// registerHandlers registers the owner's handlers for messages of other
// routers.
func (p *placer) registerHandlers() {
	own := func(fn func(context.Context, []byte) ([]byte, error)) peer.Handler {
		return func(ctx context.Context, _ coordination.Instance, payload []byte) ([]byte, error) {
			return fn(ctx, payload)
		}
	}
	p.node.Handle(placement.TopicAdmit, own(p.owner.HandleAdmit))
	p.node.Handle(placement.TopicRelease, own(p.owner.HandleRelease))
	p.node.Handle(placement.TopicRegister, own(p.owner.HandleRegister))
	p.node.Handle(placement.TopicSum, own(p.owner.HandleSum))
	p.node.Handle(placement.TopicPreview, own(p.owner.HandlePreview))
}

// signalChange signals that a list has changed. Changes in quick succession
// lead to one update.
func (p *placer) signalChange() {
	p.changed.Add(1)
	select {
	case p.changes <- struct{}{}:
	default:
	}
}

func (p *placer) loop(ctx context.Context) {
	t := time.NewTicker(rosterInterval)
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

// rosterInterval is how often the roster is updated without a change, so that
// an endpoint that came and went gets its share of chats back once it has been
// stable for long enough.
const rosterInterval = 15 * time.Second

// observe calls fn with the present list of endpoints and with each later list
// that differs, before requests are placed by that list.
func (p *placer) observe(fn func(all []endpoint.Info)) {
	p.updating.Lock()
	defer p.updating.Unlock()
	p.observers = append(p.observers, fn)
	fn(p.lastList)
}

// notifyObservers calls the observers if the list differs from the last one.
// The caller holds p.updating.
func (p *placer) notifyObservers(all []endpoint.Info) {
	if slices.Equal(all, p.lastList) {
		return
	}
	p.lastList = all
	for _, fn := range p.observers {
		fn(all)
	}
}

// update reads the present lists. Requests are placed by them once it returns.
func (p *placer) update() {
	p.updating.Lock()
	defer p.updating.Unlock()
	p.applyLists()
}

// catchUp is update if the lists have changed since the last one. It reports whether requests
// are placed by later lists than when applied had the value asked.
func (p *placer) catchUp(asked uint64) bool {
	p.updating.Lock()
	defer p.updating.Unlock()
	if p.applied.Load() != p.changed.Load() {
		p.applyLists()
	}
	return p.applied.Load() != asked
}

// applyLists places requests by the present lists. The caller holds p.updating.
func (p *placer) applyLists() {
	seen := p.changed.Load()
	defer p.applied.Store(seen)
	all := p.listEndpoints()
	routers := p.fleet.owners()
	p.notifyObservers(all)
	p.routers.Store(routers)
	p.owner.Update(placement.NewSet(p.ownerDescriptors(all)), routers)
	p.pollNew(all)
	p.entry.Update(p.roster.Update(lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor {
		return p.settings.Load().descriptor(k.Descriptor)
	})), routers)
}

// listEndpoints returns the endpoints of the directory, with those of evacuated
// availability zones marked.
func (p *placer) listEndpoints() []endpoint.Info {
	if p.zones.Empty() {
		return p.directory.All()
	}
	return lo.Map(p.directory.All(), func(k endpoint.Info, _ int) endpoint.Info {
		k.Descriptor = p.zones.Apply(k.Descriptor)
		return k
	})
}

// countEndpoints returns the number of endpoints in an availability zone. Zero hints
// at a misspelled name.
func (p *placer) countEndpoints(zone coordination.Zone) int {
	return lo.CountBy(p.directory.All(), func(k endpoint.Info) bool { return k.Zone == zone })
}

// pollNew requests an immediate poll if this router has become the owner of an
// endpoint, because it grants nothing there until it knows the endpoint's load.
func (p *placer) pollNew(all []endpoint.Info) {
	if p.pollNow == nil {
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
	case p.pollNow <- struct{}{}:
	default:
	}
}

// joinWait is how long a router with seeds waits for the other routers before
// it polls the loads of endpoints. Until it has met them, it considers itself
// the owner of all endpoints.
const joinWait = time.Second

func (p *placer) owns(k endpoint.Info) bool {
	if p.hasSeeds && time.Since(p.started) < joinWait {
		return false
	}
	return p.routers.Load().Owner(k.ID, k.Zone) == p.self
}

// runningRequests returns the number of running requests in the last load report of
// an endpoint that this router owns.
func (p *placer) runningRequests(id coordination.Endpoint) int {
	if l, ok := p.lastReports.Load(id); ok {
		return l.(engine.Load).Running
	}
	return 0
}

func (p *placer) recordLoad(k endpoint.Info, l engine.Load) {
	if p.reportedIncarnation(k.ID) != l.Incarnation {
		p.signalChange()
	}
	p.lastReports.Store(k.ID, l)
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

// loadReader reads an endpoint's load for a decision that is made without its
// owner.
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
func (p *placer) Place(ctx context.Context, r caller.PlacementRequest) (caller.Placement, *outcome.Refusal) {
	req := placement.Request{
		Pool:     r.Pool,
		Key:      keyOf(r),
		Hint:     placement.ParseHint(r.Hint),
		Account:  r.Account,
		Priority: r.Priority,
		Isolated: r.Isolated,
		Avoid:    r.Exclude,
	}
	g, k, refusal := p.acquire(ctx, req, r.Deadline)
	if refusal != nil {
		return caller.Placement{}, refusal
	}
	return caller.Placement{
		Endpoint:      k.ID,
		Incarnation:   g.Endpoint.Incarnation,
		Address:       k.Address,
		Hint:          g.Hint().String(),
		Release:       g.Release,
		DeadEndpoints: lo.Map(g.Lost, func(l placement.LostEndpoint, _ int) coordination.Endpoint { return l.Endpoint }),
	}, nil
}

// acquire requests a grant for a request that has to start by a time, zero for
// no limit, and looks up its endpoint. Placement learns of a change of the list
// later than the directory, so a grant may be for an endpoint that has gone, leaves or
// pauses, or whose availability zone is evacuated; then another grant is requested. Placement
// may not know any endpoint of a pool yet; then it learns of the change first.
func (p *placer) acquire(ctx context.Context, req placement.Request, by time.Time) (*placement.Grant, endpoint.Info, *outcome.Refusal) {
	caughtUp := false
	for {
		if !by.IsZero() {
			req.Deadline = max(time.Until(by), time.Millisecond)
		}
		avoid, paused := p.avoidPausing(&req)
		if paused != nil {
			return nil, endpoint.Info{}, paused
		}
		asked, lists := req, p.applied.Load()
		asked.Avoid = avoid
		g, refusal := p.entry.Acquire(ctx, asked)
		if g == nil && !caughtUp && (refusal.Code == placement.NoKnownEndpoint || refusal.Code == placement.VersionGone) && p.listed(&req) && p.catchUp(lists) {
			caughtUp = true
			continue
		}
		if g == nil {
			final := refusalOf(refusal)
			final.RetryAfter = max(final.RetryAfter, p.pauseLeft(time.Now(), &req))
			return nil, endpoint.Info{}, final
		}
		if k, ok := p.directory.Find(g.Endpoint.ID); ok && !p.zones.Evacuated(k.Zone) && p.mayStart(k.ID, g.Endpoint.Incarnation) &&
			(!req.Continues || k.Version == req.Version && k.Incarnation == g.Endpoint.Incarnation) {
			return g, k, nil
		}
		g.Release()
		req.Avoid = append(slices.Clip(req.Avoid), g.Endpoint.ID)
	}
}

// listed reports whether the directory has an endpoint that could take a request.
func (p *placer) listed(req *placement.Request) bool { return len(p.pauseTargets(req)) > 0 }

// mayStart reports whether an endpoint neither leaves nor pauses.
func (p *placer) mayStart(id coordination.Endpoint, n coordination.Incarnation) bool {
	return !p.directory.HasLeft(id, n) && !p.pausing(id, n)
}

// keyOf returns the key by which a request is assigned to an endpoint: the
// client account and the chat, or the content's fingerprint for a request
// without a chat.
func keyOf(r caller.PlacementRequest) placement.Key {
	if r.Chat == "" {
		return placement.Key(r.Fingerprint)
	}
	return placement.KeyOf(coordination.Chat(string(r.Account) + "/" + string(r.Chat)))
}

// refusalOf converts a refusal of placement into one for callers. The request
// has reached no endpoint; the caller package corrects the outcome if earlier
// attempts did.
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
// is counted there by the endpoint's load report, so it needs no new grant.
func (p *placer) Adopt(id coordination.Endpoint) (caller.Placement, bool) {
	k, ok := p.directory.Find(id)
	if !ok {
		return caller.Placement{}, false
	}
	return caller.Placement{
		Endpoint:    id,
		Incarnation: k.Incarnation,
		Address:     k.Address,
		Hint:        placement.HintOf(id, k.Incarnation).String(),
		Release:     func() {},
	}, true
}

// Serving implements service.Placer and relay.Placer.
func (p *placer) Serving(id coordination.Endpoint, n coordination.Incarnation) bool {
	_, ok := p.directory.Find(id)
	return ok && !p.directory.HasLeft(id, n)
}

// Leaving implements caller.Placer.
func (p *placer) Leaving(id coordination.Endpoint, n coordination.Incarnation) {
	p.directory.RecordLeaving(id, n)
	p.owner.MarkLeaving(id, n)
}
