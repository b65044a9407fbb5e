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

// lives holds the incarnation of each endpoint that may be given work.
type lives map[coordination.Endpoint]coordination.Incarnation

// served returns the endpoints as this router owns them. The list names a
// restarted engine's new incarnation before the engine serves. Requests sent
// there then would meet a dead engine, and be suspected of having crashed it.
// So its owner holds to the old incarnation, which grants nothing to those who
// ask for the new one, until the engine itself has reported.
func (p *placing) served(all []endpoint.Info) []placement.Descriptor {
	next := make(lives, len(all))
	served := lo.Map(all, func(k endpoint.Info, _ int) placement.Descriptor {
		d := p.tuning.Load().descriptor(k.Descriptor)
		last, known := p.lives[k.ID]
		if known && last < d.Incarnation && k.Kind == platform.Engine {
			if p.owns(k) && p.reported(k.ID) != d.Incarnation {
				d.Incarnation = last
			}
		}
		next[k.ID] = d.Incarnation
		return d
	})
	p.lives = next
	return served
}

// reported returns the incarnation that an endpoint's last report named.
func (p *placing) reported(id coordination.Endpoint) coordination.Incarnation {
	if l, ok := p.reports.Load(id); ok {
		return l.(engine.Load).Incarnation
	}
	return 0
}

// Dead implements caller.Placer.
func (p *placing) Dead(id coordination.Endpoint, n coordination.Incarnation) {
	k, ok := p.directory.Find(id)
	if !ok || !p.losses.first(time.Now(), id) {
		return
	}
	// The list may name the next incarnation already, its owner not yet.
	k.Incarnation = n
	go loss{placing: p, of: k.Descriptor}.run(context.Background())
}

// loss tells an endpoint's owner of its death, beside the request that met it:
// an owner that is dead itself would hold the request up.
type loss struct {
	*placing
	of placement.Descriptor
}

func (l loss) run(ctx context.Context) { l.entry.ReportLost(ctx, l.of) }

// lossPause is the least time between two words of the same death. Each request
// that an endpoint ran learns of it.
const lossPause = 250 * time.Millisecond

// losses remembers which deaths were told of late. The zero value is ready for
// use.
type losses struct {
	mu   sync.Mutex
	told map[coordination.Endpoint]time.Time
}

// first reports whether a death is to be told, and notes it.
func (l *losses) first(now time.Time, id coordination.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, at := range l.told {
		if now.Sub(at) >= lossPause {
			delete(l.told, other)
		}
	}
	if _, ok := l.told[id]; ok {
		return false
	}
	if l.told == nil {
		l.told = make(map[coordination.Endpoint]time.Time)
	}
	l.told[id] = now
	return true
}
