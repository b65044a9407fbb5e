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

	processEnded <-chan struct{} // of the process that was asked
	highestSeen  int             // the highest version that it has shown
	seenAt       time.Time       // when it did
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
	life := p.router.processEnded()
	if life != p.processEnded {
		p.processEnded, p.highestSeen = life, 0
	}
	newest, before := p.load.soak.versions()
	if newest > p.highestSeen && p.hasVersion(newest) && p.router.processEnded() == life {
		p.highestSeen, p.seenAt = newest, time.Now()
	}
	asked := time.Now()
	if p.highestSeen == newest && before > 0 && asked.Sub(p.seenAt) > revertSlack && p.hasVersion(before) && p.router.processEnded() == life {
		p.load.soak.reportViolation("router %d went back to version %d, %v after it had shown %d", p.router.n, before, asked.Sub(p.seenAt).Round(time.Millisecond), p.highestSeen)
	}
}

// hasVersion reports whether the router goes by a version.
func (p *prober) hasVersion(version int) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	o := p.load.send(client, p.router, "/safe/", versionKey(version))
	p.load.record(o)
	return o.status == http.StatusOK
}
