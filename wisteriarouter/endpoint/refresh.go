package endpoint

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/platform"
)

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Entry, error)
}

// Refresher reads the platform's list into a directory.
type Refresher struct {
	Directory *Directory
	Lister    Lister
	Interval  func() time.Duration // between two reads
	Log       event.Log

	failing bool
}

// Start reads the list once, if it can, and then goes on reading it until the
// returned function is called.
func (r *Refresher) Start(ctx context.Context) func() {
	r.refresh(ctx)
	return startLoop(ctx, r.loop)
}

// startLoop runs fn until the returned function is called, which waits for it.
func startLoop(ctx context.Context, fn func(context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { fn(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func (r *Refresher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.Interval()):
		}
		r.refresh(ctx)
	}
}

// refresh reads the list once. A list that cannot be read changes nothing: the
// endpoints that were known are served on.
func (r *Refresher) refresh(ctx context.Context) {
	list, err := r.Lister.Instances(ctx)
	if err != nil {
		if !r.failing && ctx.Err() == nil {
			r.Log.Emit(event.PlatformLost, event.F("service", "instances"), event.F("error", err.Error()))
		}
		r.failing = true
		return
	}
	if r.failing {
		r.failing = false
		r.Log.Emit(event.PlatformBack, event.F("service", "instances"))
	}
	r.Directory.Update(list)
}

// LoadReader reads an engine's own report.
type LoadReader interface {
	Load(ctx context.Context, address string) (engine.Load, error)
}

// Poller reads the reports of the engines that this router owns. Each engine
// is asked by one router only, so that an engine's cost for reporting does not
// grow with the fleet.
type Poller struct {
	Directory *Directory
	Loads     LoadReader
	Interval  time.Duration
	// Owned tells whether this router owns the endpoint.
	Owned func(k Info) bool
	// OnLoad takes each report that came.
	OnLoad func(k Info, l engine.Load)
	// Trigger, if set, brings a sign to read the reports before the interval has
	// passed.
	Trigger <-chan struct{}
}

// maxConcurrentPolls bounds the calls that run at a time, so that a zone of frozen
// engines does not hold up the reports of the others for long.
const maxConcurrentPolls = 16

// Start polls until the returned function is called.
func (p *Poller) Start(ctx context.Context) func() { return startLoop(ctx, p.loop) }

func (p *Poller) loop(ctx context.Context) {
	t := time.NewTicker(p.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-p.Trigger:
		}
		p.poll(ctx)
	}
}

func (p *Poller) poll(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, k := range p.Directory.All() {
		if k.Kind != platform.Engine || !p.Owned(k) {
			continue
		}
		slots <- struct{}{}
		q := pollTask{poller: p, target: k, release: func() { <-slots }}
		wg.Go(func() { q.run(ctx) })
	}
	wg.Wait()
}

// pollTask is one question to one engine.
type pollTask struct {
	poller  *Poller
	target  Info
	release func()
}

func (q pollTask) run(ctx context.Context) {
	defer q.release()
	q.poller.pollEndpoint(ctx, q.target)
}

func (p *Poller) pollEndpoint(ctx context.Context, k Info) {
	l, err := p.Loads.Load(ctx, k.Address)
	if err != nil {
		return
	}
	p.Directory.ApplyReport(Report{ID: k.ID, Incarnation: l.Incarnation, Leaving: l.Leaving(), Capacity: l.Capacity})
	p.OnLoad(k, l)
}
