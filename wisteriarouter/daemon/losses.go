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

// incarnationMap holds the incarnation of each endpoint that may receive
// requests.
type incarnationMap map[coordination.Endpoint]coordination.Incarnation

// ownerDescriptors returns the endpoints as this router places requests there
// as their owner. The instance list names the new incarnation of a restarted
// engine before the engine serves. Requests sent to it before that would fail
// and be suspected of having crashed it. So the owner keeps the old incarnation,
// which grants nothing to requests for the new one, until the engine itself has
// reported the new one.
func (p *placer) ownerDescriptors(all []endpoint.Info) []placement.Descriptor {
	next := make(incarnationMap, len(all))
	served := lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor {
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

// reportedIncarnation returns the incarnation in an endpoint's last load
// report, or 0 if there is none.
func (p *placer) reportedIncarnation(id coordination.Endpoint) coordination.Incarnation {
	if l, ok := p.lastReports.Load(id); ok {
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
	// The instance list may name the next incarnation before the owner uses it.
	k.Incarnation = n
	go lossReport{placer: p, descriptor: k.Descriptor}.run(context.Background())
}

// lossReport reports the death of an endpoint to its owner. It runs outside the
// request that found the endpoint dead, because an owner that is dead too would
// delay the request.
type lossReport struct {
	*placer
	descriptor placement.Descriptor
}

func (l lossReport) run(ctx context.Context) { l.entry.ReportLost(ctx, l.descriptor) }

// lossReportInterval is the minimum time between two reports of the same dead
// endpoint: every request that ran there detects the loss.
const lossReportInterval = 250 * time.Millisecond

// recentLosses holds the endpoints that were reported dead within
// lossReportInterval. The zero value is ready for use.
type recentLosses struct {
	mu         sync.Mutex
	reportedAt map[coordination.Endpoint]time.Time
}

// add records a dead endpoint and reports whether the loss is to be reported to
// the owner.
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
