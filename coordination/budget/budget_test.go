package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/budget"
	"wisteriaspool/coordination/synctest"
)

// allowed counts the allowed calls of each class when all classes ask once a
// millisecond, in the given order, for d.
func allowed(b *budget.Budget, d time.Duration, order ...budget.Class) map[budget.Class]int {
	n := make(map[budget.Class]int)
	for range d / time.Millisecond {
		for _, c := range order {
			if ok, _ := b.Allow(c); ok {
				n[c]++
			}
		}
		time.Sleep(time.Millisecond)
	}
	return n
}

// Guards against routers that keep their rate while the fleet grows: together
// they would exceed the platform's rate, and the platform would refuse all of
// them.
func TestShareShrinksWithMembers(t *testing.T) {
	for _, tt := range []struct{ members, seconds, atMost, atLeast int }{
		{1, 10, 10*700 + 700, 10*595 - 10},
		{7, 10, 10*100 + 100, 10*85 - 10},
		{70, 10, 10*10 + 10, 10*8 - 5},
		{700, 60, 60*1 + 12, 60 - 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := budget.New(700)
			b.SetMembers(tt.members)
			n := allowed(b, time.Duration(tt.seconds)*time.Second, budget.Lists, budget.Settings, budget.Actions)
			sum := n[budget.Actions] + n[budget.Settings] + n[budget.Lists]
			assert.Assert(t, sum <= tt.atMost, "%d members: %v", tt.members, n)
			assert.Assert(t, sum >= tt.atLeast, "%d members: %v", tt.members, n)
			assert.Assert(t, n[budget.Actions] > n[budget.Settings], "%v", n)
			assert.Assert(t, n[budget.Settings] > n[budget.Lists], "%v", n)
		})
	}
}

// Guards against actions that use up the whole budget during a surge: settings
// would not reach the routers, and an accepted change would take effect
// nowhere.
func TestActionsDoNotStarveSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(700)
		b.SetMembers(7)
		n := allowed(b, 10*time.Second, budget.Actions, budget.Settings, budget.Lists)
		assert.Assert(t, n[budget.Settings] >= 95, "%v", n)
		assert.Assert(t, n[budget.Lists] >= 45, "%v", n)
		assert.Assert(t, n[budget.Actions] >= 700, "%v", n)
	})
}

// Guards against a refused caller that is refused again after waiting for the
// returned time.
func TestRetryAfterHolds(t *testing.T) {
	for _, class := range []budget.Class{budget.Actions, budget.Settings, budget.Lists} {
		synctest.Test(t, func(t *testing.T) {
			b := budget.New(50)
			b.SetMembers(10)
			for {
				ok, wait := b.Allow(class)
				if ok {
					continue
				}
				time.Sleep(wait + time.Millisecond)
				break
			}
			ok, _ := b.Allow(class)
			assert.Assert(t, ok, "%v", class)
		})
	}
}

func TestNoBudget(t *testing.T) {
	b := budget.New(0)
	for range 100 {
		b.Allow(budget.Actions)
	}
	ok, wait := b.Allow(budget.Actions)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, time.Hour)
}
