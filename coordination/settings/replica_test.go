package settings

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
)

// storedPair returns the pair that the platform stores for a change with the given
// sequence that replaced previous.
func storedPair(t *testing.T, text string, sequence uint64, previous, revision kv.Revision) kv.Pair {
	t.Helper()
	v := Value{Text: text, Change: Change{
		ID: NewChangeID(), Sequence: sequence, Previous: previous, Author: "a", Reason: "r", Digest: DigestOf(text),
	}}
	data, err := v.encode()
	assert.NilError(t, err)
	return kv.Pair{Key: Key("solco"), Value: data, Revision: revision}
}

func deadlineOf(t *testing.T, r *Replica) string {
	t.Helper()
	team, ok := r.Team("solco")
	assert.Assert(t, ok)
	return team.Deadline().String()
}

const (
	oneSecond  = "[team]\ndeadline-default = 1s\n"
	twoSeconds = "[team]\ndeadline-default = 2s\n"
)

// A stale read from a lagging replica of the platform returns a value that was
// replaced. It must not come into force again.
func TestStaleReadIsNotApplied(t *testing.T) {
	var r Replica
	first := storedPair(t, oneSecond, 1, 0, 10)
	assert.Equal(t, r.Offer("solco", first), Applied)
	assert.Equal(t, r.Offer("solco", storedPair(t, twoSeconds, 11, 10, 20)), Applied)
	assert.Equal(t, r.Offer("solco", first), Older)
	assert.Equal(t, deadlineOf(t, &r), "2s")
	assert.Assert(t, r.Status()[0].Refused == nil)
}

// An old value is restored directly in the platform and so gets a new revision. It
// must not replace the later accepted change. A router that starts from the
// platform then applies the old value, since it knows no other, and must apply the
// later change once a peer offers it.
func TestRestoredValueIsNotApplied(t *testing.T) {
	older := storedPair(t, oneSecond, 1, 0, 10)
	newer := storedPair(t, twoSeconds, 11, 10, 20)
	restored := kv.Pair{Key: older.Key, Value: older.Value, Revision: 30}
	next := storedPair(t, oneSecond, 31, 30, 40)

	var r Replica
	r.Offer("solco", newer)
	assert.Equal(t, r.Offer("solco", restored), Older)
	assert.Equal(t, deadlineOf(t, &r), "2s")
	assert.Equal(t, r.Status()[0].Refused.Revision, kv.Revision(30))

	var started Replica
	started.Offer("solco", restored)
	assert.Equal(t, started.Offer("solco", newer), Applied)
	assert.Equal(t, started.Offer("solco", restored), Older)
	assert.Equal(t, started.Fingerprint(), r.Fingerprint())

	assert.Equal(t, r.Offer("solco", next), Applied)
	assert.Assert(t, r.Status()[0].Refused == nil)
}

// An invalid value is written directly in the platform, without validation. The
// last valid settings must stay in force, and the problems must be reported.
func TestInvalidValueKeepsLastGood(t *testing.T) {
	good := storedPair(t, oneSecond, 1, 0, 10)
	edited := Value{}
	assert.NilError(t, json.Unmarshal(good.Value, &edited))
	edited.Text = twoSeconds
	data, err := json.Marshal(edited)
	assert.NilError(t, err)
	for _, tt := range []struct {
		name string
		pair kv.Pair
	}{
		{"raw text", kv.Pair{Value: []byte(twoSeconds), Revision: 20}},
		{"text edited under its record", kv.Pair{Value: data, Revision: 20}},
		{"bad setting", storedPair(t, "[team]\ndeadline-default = 2\n", 11, 10, 20)},
		{"empty", kv.Pair{Revision: 20}},
	} {
		var r Replica
		r.Offer("solco", good)
		assert.Equal(t, r.Offer("solco", tt.pair), Invalid, tt.name)
		assert.Equal(t, r.Offer("solco", tt.pair), Known, tt.name)
		assert.Equal(t, deadlineOf(t, &r), "1s", tt.name)
		refused := r.Status()[0].Refused
		assert.Equal(t, refused.Revision, kv.Revision(20), tt.name)
		assert.Assert(t, len(refused.Problems) > 0, tt.name)
		assert.Equal(t, r.Offer("solco", storedPair(t, twoSeconds, 21, 20, 30)), Applied, tt.name)
		assert.Assert(t, r.Status()[0].Refused == nil, tt.name)
	}
}

// The key is deleted in the platform. The last valid settings must stay in force;
// without any, all requests of the team would be refused.
func TestDeletionKeepsLastGood(t *testing.T) {
	var r Replica
	assert.Equal(t, r.Remove("solco", 5), Known)
	r.Offer("solco", storedPair(t, oneSecond, 1, 0, 10))
	assert.Equal(t, r.Remove("solco", 5), Known)
	assert.Equal(t, r.Remove("solco", 20), Removed)
	assert.Equal(t, r.Remove("solco", 21), Known)
	assert.Equal(t, deadlineOf(t, &r), "1s")
	assert.Equal(t, r.Status()[0].Refused.Verdict, Removed)
	assert.Equal(t, r.Offer("solco", storedPair(t, twoSeconds, 11, 10, 30)), Applied)
	assert.Assert(t, r.Status()[0].Refused == nil)
}

// monotonicCheck checks that the position in force never decreases.
type monotonicCheck struct{ last Position }

// advance records p and reports whether it is not before the last position.
func (m *monotonicCheck) advance(p Position) bool {
	if p.Before(m.last) {
		return false
	}
	m.last = p
	return true
}

const (
	orderSeeds   = 200
	orderChanges = 8
)

// shuffledPairs returns the values of eight changes, an old value with a new
// revision and an invalid value, each three times, in random order.
func shuffledPairs(t *testing.T, seed uint64) []kv.Pair {
	t.Helper()
	pairs := make([]kv.Pair, 0, orderChanges+2)
	for i := range kv.Revision(orderChanges) {
		pairs = append(pairs, storedPair(t, oneSecond, uint64(10*i+1), 10*i, 10*(i+1)))
	}
	restored := pairs[3]
	restored.Revision = 10*orderChanges + 5
	pairs = append(pairs, restored, kv.Pair{Value: []byte("junk"), Revision: 35})
	rnd := rand.New(rand.NewPCG(seed, 1))
	var all []kv.Pair
	for range 3 {
		for _, i := range rnd.Perm(len(pairs)) {
			all = append(all, pairs[i])
		}
	}
	return all
}

// Watches, reads and peers deliver the same values in any order, including stale
// and restored ones. All replicas must end with the same settings in force and
// never revert in between.
func TestOffersConvergeInAnyOrder(t *testing.T) {
	last := Position{Sequence: 10*(orderChanges-1) + 1, Revision: 10 * orderChanges}
	for seed := range uint64(orderSeeds) {
		var r Replica
		var m monotonicCheck
		r.Observe(func(o Observation) {
			assert.Assert(t, o.InForce == nil || m.advance(o.InForce.Position), "seed %d: reverted", seed)
		})
		for _, pair := range shuffledPairs(t, seed) {
			r.Offer("solco", pair)
		}
		assert.Equal(t, m.last, last, "seed %d", seed)
	}
}

// monotonicCheck must detect a replica that applies every value, and one that
// applies the value with the highest revision of the platform.
func TestMonotonicCheckDetectsRollback(t *testing.T) {
	applies := map[string]func(inForce, offered Position) bool{
		"whatever comes":   func(_, _ Position) bool { return true },
		"highest revision": func(inForce, offered Position) bool { return offered.Revision > inForce.Revision },
	}
	for name, apply := range applies {
		caught := 0
		for seed := range uint64(orderSeeds) {
			var inForce Position
			var m monotonicCheck
			back := false
			for _, pair := range shuffledPairs(t, seed) {
				v, err := decodeValue(pair.Value)
				offered := Position{Sequence: v.Change.Sequence, Revision: pair.Revision}
				if err == nil && apply(inForce, offered) {
					inForce = offered
					back = back || !m.advance(inForce)
				}
			}
			if back {
				caught++
			}
		}
		t.Logf("%s: detected with %d of %d seeds", name, caught, orderSeeds)
		assert.Assert(t, caught > orderSeeds/2, name)
	}
}

// An encoded value must stay within the size limit by dropping its oldest history
// entries. Otherwise it could not be written, which would block all changes of the
// team.
func TestValueStaysBounded(t *testing.T) {
	v := Value{Text: string(make([]byte, 20<<10)), Change: Change{ID: "x", Diff: string(make([]byte, maxDiff))}}
	for range 200 {
		v.Earlier = append(v.Earlier, Entry{Change: v.Change})
	}
	data, err := v.encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxValueBytes)
	var back Value
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Assert(t, len(back.Earlier) > 0 && len(back.Earlier) <= maxEarlier)
	v.Text = string(make([]byte, MaxText))
	_, err = v.encode()
	assert.ErrorContains(t, err, "at most")
}
