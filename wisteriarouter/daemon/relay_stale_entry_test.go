package daemon_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/replica"
)

// Guards against a stream that goes on at another version as the endpoint that began it has
// started again at that version and its entry does not say so yet.
func TestRelayDoesNotTakeEndpointForVersionOfFormerEntry(t *testing.T) {
	s := newVersionedCluster(t, 2, 1, "v1")
	r := s.addReplica(replica.Options{
		ID: "m-v1-1", Service: "model", Zone: "a", Version: "v2", Delay: versionedEventDelay, Events: 12, Slots: 32, Unregistered: true,
	})
	entry, err := json.Marshal(map[string]any{
		"backend": "model", "address": r.Address(), "zone": "a", "version": "v1", "slots": 32,
		"state": "ready", "coldLeftMs": 0, "seqno": 1, "born": time.Now().UnixMilli(),
	})
	assert.NilError(t, err)
	s.store.Put(r.Key(), entry)
	s.awaitEndpoints(0, 2)
	s.awaitEndpoints(1, 2)
	var c tally
	for range 8 {
		st := s.begin(0, 3, "X-Deadline-Ms", "20000")
		st.cancel()
		c.add(st, s.resume(1, st))
	}
	c.check(t, 0)
}
