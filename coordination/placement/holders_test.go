package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

// holdersAt returns the holders after lists that were read at some seconds.
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

// ranked returns the endpoints of a key in their order.
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

// The first endpoint of a long prompt is full, and the request goes to the
// second one. There its 10,000 shared tokens would be read again, which takes
// 0.2 s and holds up all that runs beside it; the first one still has them.
func TestOverflowFetchesFromTheFirst(t *testing.T) {
	start := time.Now()
	h := holdersAt(start, map[int][]string{0: endpointNames(0, 9), 1: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[1]), order[0])
	}
}

// While the first endpoint of a prompt was full, a request read the prompt at the
// second one. The next request goes to the first again, which would read it once
// more, for 0.2 s, though the second has it.
func TestFirstFetchesFromWhereOverflowWent(t *testing.T) {
	h := holdersAt(time.Now(), map[int][]string{0: endpointNames(0, 9), 1: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[0]), order[1])
	}
}

// A router learns of the endpoints one by one as it starts. The first ones that
// it hears of are no older than the rest for that.
func TestEndpointsOfOneStartAreOfOneAge(t *testing.T) {
	h := holdersAt(time.Now(), map[int][]string{0: endpointNames(0, 1), 1: endpointNames(0, 5), 2: endpointNames(0, 9)})
	for key := range Key(50) {
		order := ranked(h, key)
		assert.Equal(t, sourceOf(h, key, order[1]), order[0])
	}
}

// An endpoint is added and becomes the first of some prompts. It has none of
// them yet: the endpoint that was first before it has.
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

// An endpoint is leaving; its prompts go to the ones behind it. It still hands
// out what it has cached.
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

// An endpoint restarts under its old name and has lost its cache.
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
			// The next one that has not just lost its cache may have overflow.
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
