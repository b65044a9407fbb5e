package soak

import (
	"net/http"
	"time"
)

// prober repeatedly checks which version of the desired state one router applies.
// Each version contains a key that no other version contains.
type prober struct {
	load   *load
	router *router

	processEnded <-chan struct{} // identifies the router process that was probed
	highestSeen  int             // highest version that the process has applied
	seenAt       time.Time       // when highestSeen was first observed
}

const (
	probePause = 200 * time.Millisecond
	// revertSlack is for how long after a version was seen the previous one may
	// still be observed, through requests in flight on a slow router.
	revertSlack = 2 * time.Second
)

func (p *prober) run() {
	for p.load.ctx.Err() == nil {
		time.Sleep(probePause)
		p.probe()
	}
}

// probe checks for the newest version and, once that has been seen for
// revertSlack, that the previous version is no longer in force.
func (p *prober) probe() {
	ended := p.router.processEnded()
	if ended != p.processEnded {
		p.processEnded, p.highestSeen = ended, 0
	}
	newest, before := p.load.soak.versions()
	if newest > p.highestSeen && p.hasVersion(newest) && p.router.processEnded() == ended {
		p.highestSeen, p.seenAt = newest, time.Now()
	}
	asked := time.Now()
	if p.highestSeen == newest && before > 0 && asked.Sub(p.seenAt) > revertSlack && p.hasVersion(before) && p.router.processEnded() == ended {
		p.load.soak.reportViolation("router %d went back to version %d, %v after it had shown %d", p.router.n, before, asked.Sub(p.seenAt).Round(time.Millisecond), p.highestSeen)
	}
}

// hasVersion reports whether the router accepts the key of a version.
func (p *prober) hasVersion(version int) bool {
	client := p.load.newClient()
	defer client.CloseIdleConnections()
	o := p.load.send(client, p.router, "/safe/", versionKey(version))
	p.load.record(o)
	return o.status == http.StatusOK
}
