package relay

import (
	"context"
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/upstream"
)

// aftermath watches endpoints on which an attempt ended without a complete response. An
// endpoint that crashes may accept connections for a while, or answer nothing for a while
// before it ends, so that a check at the end of the attempt finds it alive.
type aftermath struct {
	mu      sync.Mutex
	watched map[endpointLifetime]time.Time // until when
}

// endpointLifetime identifies one incarnation of an endpoint.
type endpointLifetime struct {
	endpoint    coordination.Endpoint
	incarnation coordination.Incarnation
}

const (
	// aftermathTime is how long after an attempt its endpoint is watched.
	aftermathTime = 3 * time.Second
	// The time between two checks doubles from the first value to the second.
	minAftermathPause = 50 * time.Millisecond
	maxAftermathPause = 800 * time.Millisecond
)

// watch starts to watch the endpoint of p, or prolongs that.
func (a *aftermath) watch(s *Server, p Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watched == nil {
		a.watched = make(map[endpointLifetime]time.Time)
	}
	key := endpointLifetime{p.Endpoint, p.Incarnation}
	_, running := a.watched[key]
	a.watched[key] = time.Now().Add(aftermathTime)
	if !running {
		go endpointWatch{server: s, placement: p}.run()
	}
}

// ended reports whether an endpoint need not be watched any longer, since it is dead or no
// attempt there has ended lately, and if so forgets it.
func (a *aftermath) ended(key endpointLifetime, dead bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !dead && time.Now().Before(a.watched[key]) {
		return false
	}
	delete(a.watched, key)
	return true
}

// endpointWatch watches one endpoint.
type endpointWatch struct {
	server    *Server
	placement Placement
}

func (w endpointWatch) run() {
	key := endpointLifetime{w.placement.Endpoint, w.placement.Incarnation}
	for pause := minAftermathPause; ; pause = min(2*pause, maxAftermathPause) {
		time.Sleep(pause)
		dead := w.dead()
		ended := w.server.aftermath.ended(key, dead)
		if dead {
			w.server.recordDeath(w.placement)
		}
		if ended {
			return
		}
	}
}

// dead reports whether the endpoint has died. One that leaves as planned has not. Other
// routers are not asked whether they reach an endpoint that is not listed any more, so that
// only a refused connection shows its death.
func (w endpointWatch) dead() bool {
	p := w.placement
	if w.server.Placer.HasLeft(p.Endpoint, p.Incarnation) {
		return false
	}
	err := w.server.Sender.Recheck(context.Background(), p.Address)
	if !w.server.Placer.Serving(p.Endpoint, p.Incarnation) {
		return upstream.Refused(err) && !w.server.Sender.Doubtful(p.Address)
	}
	return err != nil && !upstream.CutOff(err)
}
