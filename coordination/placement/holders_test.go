package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// holdersAt returns the holders after a list was read at each of the given seconds.
func holdersAt(start time.Time, lists map[int][]string) *CacheHolders {
	var h *CacheHolders
	for second := range 60 {
		ids, ok := lists[second]
		if !ok {
			continue
		}
		var all []Descriptor
		for _, id := range ids {
			all = append(all, Descriptor{ID: coordination.Endpoint(id), Pool: "p", Incarnation: 1})
		}
		h = NewCacheHolders(start.Add(time.Duration(second)*time.Second), all, h)
	}
	return h
}

func endpointNames(from, to int) []string {
	var ids []string
	for i := from; i < to; i++ {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	return ids
}

// ranked returns the endpoints in their order for a key.
func ranked(h *CacheHolders, key Key) []coordination.Endpoint {
	var ids []coordination.Endpoint
	for _, d := range h.set.Candidates(nil, "p", key, 0, 10) {
		ids = append(ids, d.ID)
	}
	return ids
}

func sourceOf(h *CacheHolders, key Key, chosen coordination.Endpoint) coordination.Endpoint {
	if d := h.Source("p", key, chosen); d != nil {
		return d.ID
	}
	return ""
}

// Guards against computing a prefix again when its first endpoint is full and the
// request goes to the second one. For 10,000 shared tokens that takes 0.2 s and delays
// all requests there, although the first endpoint still has them cached.
func TestOverflowFetchesFromTheFirst(t *testing.T) {
	start := time.Now()
	h := holdersAt(start, map[int][]string{0: endpointNames(0, 9), 1: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[1]), order[0])
	}
}

// Guards against computing a prefix again at the first endpoint after a request was sent
// to the second one while the first was full. That would take 0.2 s although the second
// endpoint has the prefix cached.
func TestFirstFetchesFromWhereOverflowWent(t *testing.T) {
	h := holdersAt(time.Now(), map[int][]string{0: endpointNames(0, 9), 1: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[0]), order[1])
	}
}

// Guards against treating endpoints as older because a starting router learns of them a
// few seconds before the others.
func TestEndpointsOfOneStartAreOfOneAge(t *testing.T) {
	h := holdersAt(time.Now(), map[int][]string{0: endpointNames(0, 1), 1: endpointNames(0, 5), 2: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[1]), order[0])
	}
}

// A new endpoint becomes the first one for some prefixes. It has none of them cached; the
// endpoint that was first before it has.
func TestNewEndpointFetchesFromTheOneBeforeIt(t *testing.T) {
	start := time.Now()
	h := holdersAt(start, map[int][]string{0: endpointNames(0, 9), 20: endpointNames(0, 10)})
	moved := 0
	for key := range Key(200) {
		order := ranked(h, key)
		if order[0] != "e9" {
			continue
		}
		moved++
		assert.Equal(t, sourceOf(h, key, "e9"), order[1])
	}
	assert.Assert(t, moved > 0)
}

// The prefixes of a leaving endpoint go to the endpoints behind it. It still serves what
// it has cached.
func TestLeavingEndpointIsASource(t *testing.T) {
	start := time.Now()
	all := []Descriptor{
		{ID: "a", Pool: "p", Incarnation: 1, State: Leaving},
		{ID: "b", Pool: "p", Incarnation: 1},
		{ID: "c", Pool: "p", Incarnation: 1},
	}
	h := NewCacheHolders(start, all, nil)
	found := false
	for key := range Key(50) {
		if order := ranked(h, key); order[0] == "a" {
			found = true
			assert.Equal(t, sourceOf(h, key, order[1]), coordination.Endpoint("a"))
		}
	}
	assert.Assert(t, found)
}

// Guards against a restarted endpoint, which has lost its cache, being taken as old.
func TestRestartedEndpointIsNew(t *testing.T) {
	start := time.Now()
	h := holdersAt(start, map[int][]string{0: endpointNames(0, 3)})
	all := []Descriptor{
		{ID: "e0", Pool: "p", Incarnation: 2},
		{ID: "e1", Pool: "p", Incarnation: 1},
		{ID: "e2", Pool: "p", Incarnation: 1},
	}
	h = NewCacheHolders(start.Add(30*time.Second), all, h)
	for key := range Key(50) {
		if order := ranked(h, key); order[0] == "e0" {
			assert.Equal(t, sourceOf(h, key, "e0"), order[1])
		} else {
			// The next endpoint with an intact cache may have served overflow requests.
			older := lo.Without(order[1:], "e0")
			assert.Equal(t, sourceOf(h, key, order[0]), older[0])
		}
	}
}

func TestEmptyCacheHolders(t *testing.T) {
	var h *CacheHolders
	assert.Assert(t, h.Source("p", 1, "a") == nil)
	assert.Assert(t, (&CacheHolders{}).Source("p", 1, "a") == nil)
}
