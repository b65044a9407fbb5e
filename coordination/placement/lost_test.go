package placement

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/synctest"
)

// Guards against an endpoint that stays excluded although it works. After a lost packet a
// router reports the only endpoint of a pool as dead. Where endpoints do not report their
// load nothing corrects this, and every request of the pool is refused until the owner
// tries the endpoint again. With a wait of five seconds 375 requests were refused.
func TestEndpointTakenForDeadIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOwner("self", Config{LostTTL: time.Second})
		d := Descriptor{ID: "only", Pool: "p", Zone: "z", Incarnation: 7}
		o.Update(NewSet([]Descriptor{d}), NewRouters([]Router{{ID: "self", Zone: "z"}}, 0))
		time.Sleep(2 * time.Second) // the owner settles
		ask := func(n Sequence) Decision {
			return o.Admit(context.Background(), AdmitRequest{
				Entry: EntryID{Instance: "e", Incarnation: 1}, Sequence: n, Endpoint: "only", Incarnation: 7, Deadline: 100,
			}).Decision
		}
		assert.Equal(t, ask(1), Granted)
		o.Release(ReleaseBatch{
			Entry: EntryID{Instance: "e", Incarnation: 1},
			Lost:  []LostEndpoint{{Endpoint: "only", Incarnation: 7}},
		})
		assert.Equal(t, ask(2), Next)
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, ask(3), Next)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, ask(4), Granted)
	})
}
