package mirror_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

func put(key, value string, n kv.Revision) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(value), Revision: n}
}

func deletion(key string, n kv.Revision) mirror.Item {
	return mirror.Item{Key: key, Revision: n, Deleted: true}
}

func valueOf(m *mirror.Mirror, key string) string {
	item, ok := m.Find(key)
	if !ok {
		return "none"
	}
	return string(item.Value)
}

// A router may get a change from the store and, later, an older change from a
// peer that is behind. The older one must not be applied, or a revoked key
// would become valid again.
func TestNothingReverts(t *testing.T) {
	changes := []mirror.Item{put("a", "1", 2), put("a", "2", 5), deletion("a", 7), put("a", "3", 9)}
	for seed := range uint64(50) {
		m := mirror.New()
		highest := kv.Revision(0)
		for _, i := range rand.New(rand.NewPCG(seed, 0)).Perm(len(changes)) {
			m.Apply(mirror.Update{Items: changes[i : i+1], AsOf: changes[i].Revision})
			highest = max(highest, changes[i].Revision)
			want := "none"
			for _, c := range changes {
				if c.Revision == highest && !c.Deleted {
					want = string(c.Value)
				}
			}
			assert.Equal(t, valueOf(m, "a"), want, "seed %d", seed)
		}
	}
}

func TestFullUpdateDeletesUnlistedKeys(t *testing.T) {
	m := mirror.New()
	var changes []mirror.Item
	m.Observe(func(n mirror.Changes) { changes = n.Items })
	m.Apply(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("b", "1", 2)}, AsOf: 2})
	m.Apply(mirror.Update{Items: []mirror.Item{put("c", "1", 6)}, AsOf: 6})
	// The list has revision 4 and cannot contain c, which is newer.
	m.Apply(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1)}, AsOf: 4})
	assert.Equal(t, valueOf(m, "a"), "1")
	assert.Equal(t, valueOf(m, "b"), "none")
	assert.Equal(t, valueOf(m, "c"), "1")
	assert.DeepEqual(t, changes, []mirror.Item{deletion("b", 4)})
	assert.Equal(t, m.AsOf(), kv.Revision(6))
}

// A peer that was cut off for longer than deletions are remembered must get a
// full update. With changes alone it would keep endpoints that no longer exist.
func TestPeerFarBehindGetsFullUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		m.Apply(mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("b", "1", 2)}, AsOf: 2})
		m.Apply(mirror.Update{Items: []mirror.Item{deletion("b", 3)}, AsOf: 3})
		assert.DeepEqual(t, m.Since(2), mirror.Update{Items: []mirror.Item{deletion("b", 3)}, AsOf: 3})
		time.Sleep(2 * time.Minute)
		m.Apply(mirror.Update{Items: []mirror.Item{put("c", "1", 4)}, AsOf: 4})
		assert.DeepEqual(t, m.Since(2), mirror.Update{Full: true, Items: []mirror.Item{put("a", "1", 1), put("c", "1", 4)}, AsOf: 4})
	})
}
