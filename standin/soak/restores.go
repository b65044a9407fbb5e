package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wisteriaspool/standin/hub"
)

const (
	// restoreAge and restoreAway bound the age of the copy from which the store is restored
	// and the time for which it is away.
	restoreAge, restoreAway = 6 * time.Second, 3 * time.Second
	// restoreAgain bounds the time until its writers have written again.
	restoreAgain = 2 * time.Second
	// maxNotes bounds the writes of one key that a restore loses.
	maxNotes = 60
	// restorePause is the time between two restores.
	restorePause = 5 * time.Second
)

// restoreStore restores the store from copies again and again, beside the other faults.
// Routers are killed around that moment.
func (s *soak) restoreStore(end time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 1<<36))
	for time.Now().Before(end) {
		c := s.store.Copy()
		time.Sleep(500*time.Millisecond + randomBelow(rng, restoreAge))
		away, again := randomBelow(rng, restoreAway), randomBelow(rng, restoreAgain)
		// Written again once, so that the revisions stay behind for a while.
		for n := range rng.IntN(maxNotes) {
			s.store.Put("op/note", []byte(strconv.Itoa(n)))
		}
		s.logf("the store is away for %v and restored; what was lost is written again %v later", away, again)
		if killed := rng.IntN(len(s.routers) + 1); rng.IntN(2) == 0 {
			s.after(randomBelow(rng, away+again+1), func() { s.killRouters(rand.New(rand.NewPCG(s.opts.Seed, uint64(killed))), killed) })
		}
		s.markStoreFault()
		s.store.SetFaults(hub.Faults{Outage: true})
		time.Sleep(away)
		lost := s.store.Restore(c)
		s.store.SetFaults(hub.Faults{})
		time.Sleep(again)
		s.store.WriteAgain(lost, "op/")
		s.store.WriteAgain(lost, "servers/")
		s.markStoreFault()
		s.putState(1 + rng.IntN(3))
		time.Sleep(propagationTimeout)
		s.checkNewestVersion(time.Now().Add(-propagationTimeout))
		time.Sleep(randomBelow(rng, restorePause))
	}
}

// checkNewestVersion checks that all routers without faults since a moment apply the newest
// version of the desired state, if it was written before and the store had no fault since.
func (s *soak) checkNewestVersion(since time.Time) {
	newest, _ := s.versions()
	for _, r := range s.routers {
		client := s.load.newClient()
		o := s.load.send(client, r, "/safe/", versionKey(newest))
		s.load.record(o)
		client.CloseIdleConnections()
		now, _ := s.versions()
		s.mu.Lock()
		stable := !s.lastStoreFault.After(since)
		s.mu.Unlock()
		if stable && now == newest && !s.versionAt().After(since) && r.healthySince(since) && o.status == http.StatusUnauthorized {
			s.reportViolation("router %d does not apply version %d, %v after the store was restored", r.n, newest, time.Since(since).Round(time.Millisecond))
		}
	}
}

// randomBelow returns a random duration from 0 to below d.
func randomBelow(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
