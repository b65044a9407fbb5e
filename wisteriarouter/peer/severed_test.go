package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/standin/proxy"
)

// severedFleet starts routers behind proxies, each with a failure detector.
func severedFleet(t *testing.T, routers int) ([]*router, []*FailureDetector, []*proxy.Proxy) {
	var proxies []*proxy.Proxy
	all := fleet(t, routers, func(cfg *Config) {
		p, stop, err := proxy.New(cfg.Self.Address)
		assert.NilError(t, err)
		t.Cleanup(stop)
		proxies = append(proxies, p)
		cfg.Self.Address, cfg.Seeds = p.Address(), []string{proxies[0].Address()}
	})
	var detectors []*FailureDetector
	for _, r := range all {
		r.Handle("echo", echo)
		d, stop := NewFailureDetector(r.Node, func(coordination.Instance, bool) {})
		t.Cleanup(stop)
		detectors = append(detectors, d)
	}
	eventually(t, "full membership", joined(all))
	return all, detectors, proxies
}

// Guards against routers that take each other for gone because their connections have fallen
// silent for good, although new ones work.
func TestSeveredConnectionIsReplaced(t *testing.T) {
	routers, detectors, proxies := severedFleet(t, 3)
	call := func(from, to int) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := detectors[from].Call(ctx, routers[to].Self().Instance, "echo", nil)
		return err
	}
	for from := range routers {
		for to := range routers {
			if from != to {
				assert.NilError(t, call(from, to))
			}
		}
	}
	for _, p := range proxies {
		p.Sever()
	}
	severed := time.Now()
	for from := range routers {
		for to := range routers {
			for from != to && call(from, to) != nil {
				assert.Assert(t, time.Since(severed) < 3*time.Second, "%d does not reach %d after %v", from, to, time.Since(severed))
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for from, d := range detectors {
		for len(d.Responsive()) < len(routers) {
			assert.Assert(t, time.Since(severed) < 3*time.Second, "router %d has %d responsive", from, len(d.Responsive()))
			time.Sleep(20 * time.Millisecond)
		}
	}
}
