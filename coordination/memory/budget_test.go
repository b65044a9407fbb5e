package memory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/memory"
	"wisteriaspool/coordination/synctest"
)

const (
	mebibyte = memory.Bytes(1 << 20)
	large    = 4 * mebibyte
)

// fill opens holds of n bytes for an account until one is refused, and returns the others.
func fill(b *memory.Budget, a coordination.Account, n memory.Bytes) (holds []*memory.Hold) {
	for {
		h := b.Open(a)
		if !h.Take(n) {
			return holds
		}
		holds = append(holds, h)
	}
}

// Guards against an account that fills the memory before the others come.
func TestAccountLeavesRoomForOthers(t *testing.T) {
	b := memory.NewBudget(100 * mebibyte)
	hot := fill(b, "hot", large)
	assert.Equal(t, len(hot), 12)
	assert.Equal(t, len(fill(b, "second", large)), 6)
	assert.Assert(t, len(fill(b, "third", large)) >= 3)
	for _, h := range hot[1:] {
		h.Close()
	}
	assert.Assert(t, b.Open("third").Take(large), "what the first account returned is not used")
}

// Guards against small requests that are refused since large ones of their account fill
// its share, and against small ones that take what other accounts need.
func TestSmallHoldsFitBesideLargeOnes(t *testing.T) {
	b := memory.NewBudget(100 * mebibyte)
	fill(b, "hot", large)
	small := fill(b, "hot", 32<<10)
	assert.Assert(t, len(small) > 500, "%d", len(small))
	assert.Assert(t, b.Open("other").Take(large))
}

// Guards against holds that together exceed the limit, whatever their accounts.
func TestHoldsStayWithinLimit(t *testing.T) {
	b := memory.NewBudget(10 * mebibyte)
	for i := range 2000 {
		b.Open(coordination.Account(rune('a' + i))).Take(32 << 10)
		assert.Assert(t, b.Usage().Held <= b.Usage().Limit)
	}
	assert.Assert(t, b.Usage().Refused > 0)
}

// Guards against bytes that are never returned.
func TestClosedHoldsReturnAll(t *testing.T) {
	b := memory.NewBudget(10 * mebibyte)
	h := b.Open("a")
	assert.Assert(t, h.Take(mebibyte))
	assert.Assert(t, h.Take(mebibyte))
	assert.Assert(t, !h.Take(large))
	h.Close()
	h.Close()
	assert.Equal(t, b.Usage().Held, memory.Bytes(0))
	assert.Equal(t, b.Usage().Peak, 2*mebibyte)
}

func TestRetryAfterFollowsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(10 * mebibyte)
		assert.Equal(t, b.RetryAfter(), 200*time.Millisecond)
		for range 64 {
			h := b.Open("a")
			assert.Assert(t, h.Take(mebibyte))
			time.Sleep(time.Second)
			h.Close()
		}
		got := b.RetryAfter()
		assert.Assert(t, got > 900*time.Millisecond && got <= time.Second, "%v", got)
	})
}

func TestNoBudgetHasNoLimit(t *testing.T) {
	var b *memory.Budget
	h := b.Open("a")
	assert.Assert(t, h.Take(1<<60))
	h.Close()
	assert.Equal(t, b.Usage(), memory.Usage{})
	assert.Assert(t, b.RetryAfter() > 0)
}
