package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/placement"
	"wisteriaspool/wisteriarouter/endpoint"
	"wisteriaspool/wisteriarouter/engine"
	"wisteriaspool/wisteriarouter/platform"
)

// incarnationMap holds the incarnation of each endpoint that may be given work.
type incarnationMap map[coordination.Endpoint]coordination.Incarnation

// ownerDescriptors returns the endpoints as this router owns them. The list names a
// restarted engine's new incarnation before the engine serves. Requests sent
// there then would meet a dead engine, and be suspected of having crashed it.
// So its owner holds to the old incarnation, which grants nothing to those who
// ask for the new one, until the engine itself has reported.
func (p *placer) ownerDescriptors(all []endpoint.Known) []placement.Descriptor {
	next := make(incarnationMap, len(all))
	served := lo.Map(all, func(k endpoint.Known, _ int) placement.Descriptor {
		d := p.settings.Load().descriptor(k.Descriptor)
		last, known := p.incarnations[k.ID]
		if known && last < d.Incarnation && k.Kind == platform.Engine {
			if p.owns(k) && p.reportedIncarnation(k.ID) != d.Incarnation {
				d.Incarnation = last
			}
		}
		next[k.ID] = d.Incarnation
		return d
	})
	p.incarnations = next
	return served
}

// reportedIncarnation returns the incarnation that an endpoint's last report named.
func (p *placer) reportedIncarnation(id coordination.Endpoint) coordination.Incarnation {
	if l, ok := p.reports.Load(id); ok {
		return l.(engine.Load).Incarnation
	}
	return 0
}

// Dead implements caller.Placer.
func (p *placer) Dead(id coordination.Endpoint, n coordination.Incarnation) {
	k, ok := p.directory.Find(id)
	if !ok || !p.recentLosses.add(time.Now(), id) {
		return
	}
	// The list may name the next incarnation already, its owner not yet.
	k.Incarnation = n
	go lossReport{placer: p, descriptor: k.Descriptor}.run(context.Background())
}

// lossReport tells an endpoint's owner of its death, beside the request that met it:
// an owner that is dead itself would hold the request up.
type lossReport struct {
	*placer
	descriptor placement.Descriptor
}

func (l lossReport) run(ctx context.Context) { l.entry.ReportLost(ctx, l.descriptor) }

// lossReportInterval is the least time between two words of the same death. Each request
// that an endpoint ran learns of it.
const lossReportInterval = 250 * time.Millisecond

// recentLosses remembers which deaths were told of late. The zero value is ready for
// use.
type recentLosses struct {
	mu         sync.Mutex
	reportedAt map[coordination.Endpoint]time.Time
}

// add reports whether a death is to be told, and notes it.
func (l *recentLosses) add(now time.Time, id coordination.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, at := range l.reportedAt {
		if now.Sub(at) >= lossReportInterval {
			delete(l.reportedAt, other)
		}
	}
	if _, ok := l.reportedAt[id]; ok {
		return false
	}
	if l.reportedAt == nil {
		l.reportedAt = make(map[coordination.Endpoint]time.Time)
	}
	l.reportedAt[id] = now
	return true
}
