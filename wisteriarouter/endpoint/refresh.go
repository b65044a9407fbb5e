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

// Refresher periodically loads the platform's list into a directory.
type Refresher struct {
	Directory *Directory
	Lister    Lister
	Interval  func() time.Duration // time between two reads
	Log       event.Log

	failing bool
}

// Start reads the list once, ignoring a failure, and then periodically until
// the returned function is called.
func (r *Refresher) Start(ctx context.Context) func() {
	r.refresh(ctx)
	return startLoop(ctx, r.loop)
}

// startLoop runs fn in a goroutine. The returned function cancels its context
// and waits for it.
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

// refresh reads the list once. If the read fails, the directory keeps the known
// endpoints.
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

// LoadReader reads an engine's load report.
type LoadReader interface {
	Load(ctx context.Context, address string) (engine.Load, error)
}

// Poller reads the load reports of the engines that this router owns. Each
// engine is polled by only one router, so that the cost of reporting does not
// grow with the number of routers.
type Poller struct {
	Directory *Directory
	Loads     LoadReader
	Interval  time.Duration
	// Owned reports whether this router owns the endpoint.
	Owned func(k Info) bool
	// OnLoad is called with each report, possibly from several goroutines.
	OnLoad func(k Info, l engine.Load)
	// Trigger, if set, requests a poll before the interval has passed.
	Trigger <-chan struct{}
}

// maxConcurrentPolls limits the number of concurrent calls, while allowing
// enough of them that the frozen engines of an availability zone do not delay
// the reports of the others for long.
const maxConcurrentPolls = 16

// Start polls every Interval until the returned function is called.
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
	for _, info := range p.Directory.All() {
		if info.Kind != platform.Engine || !p.Owned(info) {
			continue
		}
		slots <- struct{}{}
		t := pollTask{poller: p, target: info, release: func() { <-slots }}
		wg.Go(func() { t.run(ctx) })
	}
	wg.Wait()
}

// pollTask is one poll of one engine.
type pollTask struct {
	poller  *Poller
	target  Info
	release func()
}

func (t pollTask) run(ctx context.Context) {
	defer t.release()
	t.poller.pollEndpoint(ctx, t.target)
}

func (p *Poller) pollEndpoint(ctx context.Context, info Info) {
	l, err := p.Loads.Load(ctx, info.Address)
	if err != nil {
		return
	}
	p.Directory.ApplyReport(Report{ID: info.ID, Incarnation: l.Incarnation, Leaving: l.Leaving(), Capacity: l.Capacity})
	p.OnLoad(info, l)
}
