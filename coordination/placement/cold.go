package placement

import "time"

// An endpoint that has just started, or that reports it, is cold: it tolerates only
// a few requests a second ([PoolBound.ColdRate]) and may crash above. Its owner
// limits its grants to that rate. Entries that cannot reach the owner place nothing
// there.
//
// Several owners may count an endpoint while the lists of routers differ, and each
// side of a partition has an owner of its own. In any second
//
//   - the owner of long standing grants at most rate + 2 requests,
//   - each new one, for coldTakeover, at most half of the rate times its share of the
//     fleet, and 1 more.
//
// The shares of the sides of a partition add up to at most 1. So with the old owner,
// which may not have noticed yet, and k new ones the endpoint gets at most
//
//	1.5 * rate + 2 + k
//
// requests in a second. After coldTakeover the old owner has noticed and keeps to its
// share too.
const (
	// coldTakeover is how long an owner of a cold endpoint counts as new. Routers
	// agree within two seconds that another one does not answer.
	coldTakeover = 3 * time.Second

	// coldStartDelay is how long a new owner grants nothing. A router that has just
	// started takes itself for the owner of all endpoints until it has met the others.
	coldStartDelay = time.Second

	// coldNewShare is the share of the rate that a new owner uses.
	coldNewShare = 0.5
)

// coldInterval returns the mean time between two grants of a cold endpoint, or zero
// if the endpoint is not cold.
func (l *endpointLoad) coldInterval(now time.Time, cfg *Config) time.Duration {
	b := cfg.boundOf(l.desc.Pool)
	if b.ColdRate <= 0 || !now.Before(l.coldUntil(&b, cfg)) {
		return 0
	}
	rate := b.ColdRate * l.pool.fleetShare()
	if l.isNewOwner(now) {
		rate *= coldNewShare
	}
	return time.Duration(float64(time.Second) / rate)
}

// isNewOwner reports whether another router may still count the endpoint.
func (l *endpointLoad) isNewOwner(now time.Time) bool { return now.Sub(l.takenOver) < coldTakeover }

// coldUntil returns the time until which the endpoint may be cold. One that was
// found dead may have restarted since.
func (l *endpointLoad) coldUntil(b *PoolBound, cfg *Config) time.Time {
	until := l.desc.coldUntil(b)
	if !l.lostAt.IsZero() {
		until = later(until, l.lostAt.Add(cfg.LostTTL+b.ColdTime))
	}
	return until
}

// coldUntil returns the time until which the endpoint may be cold, as far as its
// description tells. If its zone was evacuated, it may have become cold before the
// evacuation ended and not have reported it yet.
func (d *Descriptor) coldUntil(b *PoolBound) time.Time {
	if d.Restored.IsZero() {
		return d.ColdUntil
	}
	return later(d.ColdUntil, d.Restored.Add(b.ColdTime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldPermits reports whether a cold endpoint may take a request now. An owner of
// long standing may grant two requests in a row, so that not every second one of
// those that arrive at random has to go elsewhere.
func (l *endpointLoad) coldPermits(now time.Time, cfg *Config) bool {
	d := l.coldInterval(now, cfg)
	if d == 0 {
		return true
	}
	if l.isNewOwner(now) {
		return !now.Before(l.nextCold)
	}
	return !now.Before(l.nextCold.Add(-d))
}

// recordColdGrant records a grant and reports whether the endpoint is cold.
func (l *endpointLoad) recordColdGrant(now time.Time, cfg *Config) bool {
	d := l.coldInterval(now, cfg)
	if d == 0 {
		return false
	}
	l.nextCold = later(now, l.nextCold).Add(d)
	return true
}

// fleetPeak remembers the largest number of routers seen lately.
type fleetPeak struct {
	routers int
	seen    time.Time
}

// fleetPeakTTL is how long the largest number of routers counts. Routers that do not
// return within it are taken to be gone rather than behind a partition.
const fleetPeakTTL = 30 * time.Second

// share returns n routers as a share of the largest number seen.
func (p *fleetPeak) share(now time.Time, n int) float64 {
	if n >= p.routers || now.Sub(p.seen) > fleetPeakTTL {
		p.routers, p.seen = n, now
	}
	return float64(max(n, 1)) / float64(max(p.routers, 1))
}
