package execution_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

// faultProfiles are the kinds of faults, singly and combined.
var faultProfiles = []struct {
	name  string
	rates faultRates
}{
	{"lost answers", faultRates{loseCall: 5, loseReply: 15, applyLate: 10, slow: 10, loseAnswer: 5}},
	{"freezes", faultRates{freeze: 3, loseReply: 3}},
	{"kills", faultRates{kill: 2, loseReply: 3}},
	{"outages", faultRates{outage: 40, refuse: 10, decline: 10, applyLate: 3}},
	{"all together", faultRates{
		loseCall: 5, loseReply: 10, applyLate: 5, slow: 10,
		refuse: 10, decline: 5, loseAnswer: 10, freeze: 1, kill: 1, outage: 20,
	}},
}

const (
	fleetRouters      = 3
	fleetKeys         = 4
	callersPerKey     = 4
	attemptsPerCaller = 8
)

// simulate runs callers against a fleet and returns the history.
func simulate(t *testing.T, seed uint64, r faultRates, p injectedFault) *history {
	var h *history
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, fleetRouters, r, p)
		w := &faultInjector{fleet: f, random: newRandomSource(seed, 1<<32), ended: make(chan struct{})}
		f.work.Add(1)
		go w.run()
		var callers sync.WaitGroup
		for i := range fleetKeys * callersPerKey {
			callers.Add(1)
			c := &caller{
				fleet: f, id: i, key: fmt.Sprint("key-", i%fleetKeys), issued: time.Now(),
				random: newRandomSource(seed, 1<<33+uint64(i)), attempts: attemptsPerCaller,
			}
			go c.run(&callers)
		}
		callers.Wait()
		close(w.ended)
		time.Sleep(2 * retention) // until all records have expired
		f.stop()
		h = f.history
	})
	return h
}

// Callers send the same actions through several routers at once and again
// later, while the platform loses answers, applies writes long after their
// sender gave up, and has outages; routers freeze past every deadline and
// resume, or die; and the service cuts connections. No action may run twice, or
// run although its caller was told not-run.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const seeds = 60
	for _, tt := range faultProfiles {
		t.Run(tt.name, func(t *testing.T) {
			var sum tally
			for seed := range uint64(seeds) {
				h := simulate(t, seed, tt.rates, noFault)
				assert.Assert(t, porcupine.CheckOperations(model, h.ops), "seed %d", seed)
				sum.add(h.tally())
			}
			t.Logf("%d histories: %+v", seeds, sum)
			assert.Assert(t, sum.ran > 0 && sum.arrivals <= seeds*fleetKeys, "%+v", sum)
		})
	}
}

// The history check must detect the faults that the design prevents; otherwise
// its passing proves nothing.
func TestCheckerFindsInjectedFaults(t *testing.T) {
	const seeds = 20
	tests := []struct {
		name  string
		fault injectedFault
		rates faultRates
	}{
		{"take-over of a silent holder's record", takeOver, faultRates{freeze: 4}},
		{"retry after a cut connection", retryAfterCut, faultRates{loseAnswer: 50}},
		{"not-run after bytes were sent", denyAfterSending, faultRates{loseAnswer: 50}},
		{"records that lapse before their keys expire", shortLeases, faultRates{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				if !porcupine.CheckOperations(model, simulate(t, seed, tt.rates, tt.fault).ops) {
					found++
				}
			}
			t.Logf("found in %d of %d histories", found, seeds)
			assert.Assert(t, found > 0)
		})
	}
}
