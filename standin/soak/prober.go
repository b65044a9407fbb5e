package soak

import (
	"net/http"
	"time"
)

// prober asks one router again and again which version of the desired state it
// goes by. Each version has a key of its own that no other version holds.
type prober struct {
	load   *load
	router *router

	life  <-chan struct{} // of the process that was asked
	seen  int             // the highest version that it has shown
	since time.Time       // when it did
}

const (
	probePause = 200 * time.Millisecond
	// revertSlack is for how long behind a version an older one may still be
	// seen: by requests that were under way, on a router that is slow.
	revertSlack = 2 * time.Second
)

func (p *prober) run() {
	for p.load.ctx.Err() == nil {
		time.Sleep(probePause)
		p.probe()
	}
}

// probe looks for the newest version and, once that was seen, for the one before.
func (p *prober) probe() {
	life := p.router.life()
	if life != p.life {
		p.life, p.seen = life, 0
	}
	newest, before := p.load.soak.versions()
	if newest > p.seen && p.holds(newest) && p.router.life() == life {
		p.seen, p.since = newest, time.Now()
	}
	asked := time.Now()
	if p.seen == newest && before > 0 && asked.Sub(p.since) > revertSlack && p.holds(before) && p.router.life() == life {
		p.load.soak.breaks("router %d went back to version %d, %v after it had shown %d", p.router.n, before, asked.Sub(p.since).Round(time.Millisecond), p.seen)
	}
}

// holds reports whether the router goes by a version.
func (p *prober) holds(version int) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	o := p.load.send(client, p.router, "/safe/", keyOf(version))
	p.load.note(o)
	return o.status == http.StatusOK
}
