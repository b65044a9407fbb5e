package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reporting a pool without listed endpoints as overloaded, which
// would make operators add endpoints that are not listed either.
func TestEmptyPoolIsNotReportedAsOverloaded(t *testing.T) {
	cfg := Config{}.withDefaults()
	w := newWalk(time.Now(), Request{Pool: "m@1"}, &cfg, NewSet(nil), NewRouters(nil, 0))
	_, r, ok := w.nextQuery(time.Now())
	assert.Assert(t, !ok)
	assert.Equal(t, r.Code, NoKnownEndpoint)
	assert.Equal(t, r.Code.String(), "no-endpoint-known")
	assert.Assert(t, r.RetryAfter > 0)
}
