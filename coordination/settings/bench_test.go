package settings

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
)

// BenchmarkTeam measures the lookup of a team's settings, which every request
// makes.
func BenchmarkTeam(b *testing.B) {
	var r Replica
	v := Value{Text: oneSecond, Change: Change{ID: NewChangeID(), Sequence: 1, Digest: DigestOf(oneSecond)}}
	data, err := v.encode()
	assert.NilError(b, err)
	r.Offer(testTeam, kv.Pair{Value: data, Revision: 1})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := r.Team(testTeam); !ok {
				b.Error("team not found")
			}
		}
	})
}

// BenchmarkOffer measures how a replica decodes and applies a value and its
// successor, each with a full history.
func BenchmarkOffer(b *testing.B) {
	pairs := make([]kv.Pair, 2)
	for i := range pairs {
		v := Value{Text: oneSecond, Change: Change{ID: NewChangeID(), Sequence: 1, Digest: DigestOf(oneSecond)}}
		for range maxEarlier {
			v.Earlier = append(v.Earlier, Entry{Change: v.Change})
		}
		data, err := v.encode()
		assert.NilError(b, err)
		pairs[i] = kv.Pair{Value: data, Revision: kv.Revision(i + 1)}
	}
	b.ReportAllocs()
	for b.Loop() {
		var r Replica
		r.Offer(testTeam, pairs[0])
		r.Offer(testTeam, pairs[1])
	}
}
