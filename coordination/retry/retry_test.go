package retry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against retry amplification: if every request were retried while all
// endpoints of a pool fail, the load would double when they can handle the
// least.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	tests := []struct {
		name   string
		budget *Budget
		want   int
	}{
		{"zero value", &Budget{}, 10 + 100},
		{"half", &Budget{Share: 0.5, Burst: 4}, 4 + 500},
		{"burst only", &Budget{Share: -1, Burst: 3}, 3},
		{"none", &Budget{Share: -1, Burst: -1}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, got := test.budget, 0
			for b.Take() {
				got++
			}
			for range 1000 {
				b.RecordRequest()
				for b.Take() {
					got++
				}
			}
			// Shares like 0.1 are not exact in binary.
			assert.Assert(t, got >= test.want-1 && got <= test.want, "got %d, want %d", got, test.want)
		})
	}
}

func TestSavedRetriesAreBounded(t *testing.T) {
	b := &Budget{Share: 1, Burst: 5}
	for range 100 {
		b.RecordRequest()
	}
	assert.Equal(t, b.Left(), 5)
}

func TestBudgetIsSharedByGoroutines(t *testing.T) {
	b := &Budget{Share: -1, Burst: 50}
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if b.Take() {
					taken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, taken.Load(), int64(50))
}

func ExampleBudget() {
	var b Budget
	b.RecordRequest()
	if b.Take() {
		fmt.Println("try again elsewhere")
	}
	// Output: try again elsewhere
}
