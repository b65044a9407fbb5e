package caller

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// checkInterval is the time between two readiness checks of the routers.
const checkInterval = 500 * time.Millisecond

// balancer selects routers round-robin and skips those that are not ready, as
// the platform's load balancer does.
type balancer struct {
	client  *http.Client
	routers []string

	mu    sync.Mutex
	ready []string
	count int
}

// newBalancer starts a balancer and returns it with a function that stops it.
func newBalancer(opts Options) (*balancer, func()) {
	b := &balancer{client: opts.HTTP, routers: opts.Routers, ready: opts.Routers}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go b.loop(ctx, done)
	return b, func() {
		cancel()
		<-done
	}
}

func (b *balancer) loop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// check queries the readiness of every router.
func (b *balancer) check(ctx context.Context) {
	var ready []string
	for _, router := range b.routers {
		if b.isReady(ctx, router) {
			ready = append(ready, router)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, router string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, router+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := b.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// next returns the next ready router. If none is ready, it selects from all
// routers.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.ready
	if len(from) == 0 {
		from = b.routers
	}
	b.count++
	return from[b.count%len(from)]
}

// markFailed excludes a router until a readiness check succeeds.
func (b *balancer) markFailed(router string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(slices.Clone(b.ready), func(r string) bool { return r == router })
}
