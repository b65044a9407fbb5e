package order_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/synctest"
)

// Guards against a holder whose orders all engines refuse, because the service that was
// restored from a copy has given out a lower revision as its fencing token.
func TestOrdersAreTakenAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 3)
		s.setPlan("1")
		s.setAssigned("r1", true)
		store := kvtest.New()
		c := store.Copy()
		for n := range 20 {
			store.CompareAndSwap(t.Context(), fmt.Sprint("other/", n), nil, 0, 0)
		}
		stop := s.start(store, "r1", nil)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(s.problems(5*time.Second)), 0, "%q", s.problems(5*time.Second))
		stop()
		s.setAssigned("r1", false)
		s.setAssigned("r2", true)
		store.Restore(c)
		s.setPlan("2")
		defer s.start(store, "r2", nil)()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(s.problems(5*time.Second)), 0, "%q", s.problems(5*time.Second))
	})
}
