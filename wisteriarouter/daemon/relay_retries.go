package daemon

import (
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/membership"
	"wisteriaspool/coordination/retry"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/peer"
)

// poolRetries holds a retry budget for each pool. It implements relay.RetryBudget.
// The share is a fraction of all requests, so it holds for the fleet if each
// router keeps to it. The burst is divided among the routers.
type poolRetries struct {
	share float64
	slack float64

	alone time.Time // until when the router expects to meet others through its seeds

	mu      sync.Mutex
	routers int // the largest number seen, so that partitioned routers do not each claim a larger part of the burst
	budgets map[coordination.Pool]*retry.Budget
}

const (
	// burstShare is the part of the retry slack that the fleet uses as its burst.
	burstShare = 0.75
	// startShare is the part of the retry slack with which the routers begin when all of
	// them restart, although their previous processes may have spent the burst. With two
	// restarts within the time for which the slack is meant, the fleet keeps to it.
	startShare = (1 - burstShare) / 2
)

func newPoolRetries(i do.Injector) (*poolRetries, error) {
	cfg := configOf(i).Relay
	r := &poolRetries{share: cfg.RetryShare, slack: cfg.RetrySlack, routers: 1, budgets: make(map[coordination.Pool]*retry.Budget)}
	if len(configOf(i).Peers.Seeds) > 0 {
		r.alone = stateOf(i).started.Add(joinWait)
	}
	do.MustInvoke[*peer.Node](i).OnChange(r.setMembers)
	return r, nil
}

// setMembers applies a new list of routers.
func (r *poolRetries) setMembers(all []membership.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = max(r.routers, len(all))
}

// configure applies reloaded settings of this router.
func (r *poolRetries) configure(cfg config.Relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.share != cfg.RetryShare || r.slack != cfg.RetrySlack {
		r.share, r.slack = cfg.RetryShare, cfg.RetrySlack
		clear(r.budgets)
	}
}

// part returns this router's part of a share of the slack. A router with seeds that has
// just started and met no other yet takes a part of at most one retry. The caller holds
// r.mu.
func (r *poolRetries) part(share float64) float64 {
	part := r.slack * share / float64(r.routers)
	if r.routers == 1 && time.Now().Before(r.alone) {
		part = min(part, 1)
	}
	return part
}

func (r *poolRetries) budget(p coordination.Pool) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[p]
	if b == nil {
		b = &retry.Budget{Share: positiveOrNone(r.share)}
		b.Limit(r.part(startShare))
		r.budgets[p] = b
	}
	b.SetBurst(positiveOrNone(r.part(burstShare)))
	return b
}

// positiveOrNone returns x, or -1 for zero, which a [retry.Budget] would replace
// by its default.
func positiveOrNone(x float64) float64 {
	if x == 0 {
		return -1
	}
	return x
}

// remaining returns the number of retries left in each pool's budget.
func (r *poolRetries) remaining() map[coordination.Pool]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.MapValues(r.budgets, func(b *retry.Budget, _ coordination.Pool) int { return b.Left() })
}

// RecordRequest implements relay.RetryBudget.
func (r *poolRetries) RecordRequest(p coordination.Pool) { r.budget(p).RecordRequest() }

// Take implements relay.RetryBudget.
func (r *poolRetries) Take(p coordination.Pool) bool { return r.budget(p).Take() }
