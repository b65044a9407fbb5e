package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All endpoints of a pool have lost their entries. An operator who is told that
// the pool is overloaded adds endpoints, though none of them is listed.
func TestPoolWithoutEndpointsIsToldFromAFullOne(t *testing.T) {
	cfg := Config{}.withDefaults()
	w := newWalk(time.Now(), Request{Pool: "m@1"}, &cfg, NewSet(nil), NewRouters(nil, 0))
	_, r, ok := w.nextQuery(time.Now())
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, Unlisted)
	assert.Equal(t, r.Code.String(), "no-endpoint-known")
	assert.Assert(t, r.RetryAfter > 0)
}
