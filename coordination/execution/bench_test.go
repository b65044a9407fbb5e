package execution_test

import (
	"fmt"
	"testing"

	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/kv/kvtest"
)

// BenchmarkCallsPerAction reports the platform calls and the size of one
// record, for a first attempt, a repeat, and a key that is in use.
func BenchmarkCallsPerAction(b *testing.B) {
	kinds := []struct {
		name   string
		before func(l *execution.Ledger, key execution.Key)
	}{
		{"plain", func(*execution.Ledger, execution.Key) {}},
		{"repeat", func(l *execution.Ledger, key execution.Key) {
			l.Run(b.Context(), newRequest(key), &sender{answer: "booked"})
		}},
		{"in progress", func(l *execution.Ledger, key execution.Key) { l.Begin(b.Context(), newRequest(key)) }},
	}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			store := kvtest.New()
			l, cleanup := execution.New(execution.Config{Store: store, Holder: "r1", MaxOpen: 1 << 30})
			defer cleanup()
			calls := 0
			for i := range b.N {
				key := execution.Key(fmt.Sprint(i))
				kind.before(l, key)
				from := store.Calls("cas")
				l.Run(b.Context(), newRequest(key), &sender{answer: "booked"})
				calls += store.Calls("cas") - from
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls/action")
			b.ReportMetric(float64(store.Calls("grant")), "grants")
			size := len(store.List(b.Context(), execution.Prefix).Pairs[0].Value)
			b.ReportMetric(float64(size), "record-bytes")
		})
	}
}
