package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/membership"
)

// samples returns messages of every kind.
func samples() []*message {
	record := membership.Member{
		Instance: "router-017", Incarnation: 1_800_000_000_000, Version: 3, State: membership.Alive,
		Address: "10.20.30.40:9000", Zone: "zone-a", Region: "north-west", Ready: true, Owner: true, Build: "v1.0.0", Protocol: 1,
	}
	return []*message{
		{Kind: kindHello, Hello: &hello{Major: MajorVersion, Fleet: "pressing", Member: record, Gossip: true}},
		{Kind: kindGossip, Gossip: &membership.Message{Heartbeat: &membership.Heartbeat{Neighbor: true, Fingerprints: [3]uint32{1 << 30, 1 << 30, 1 << 30}}}},
		{Kind: kindGossip, Gossip: &membership.Message{Members: []membership.Member{record}}},
		{Kind: kindGossip, Gossip: &membership.Message{Members: []membership.Member{{Instance: "router-017", Incarnation: 1_800_000_000_000, Version: 3, State: membership.Suspect}}}},
		{Kind: kindGossip, Gossip: &membership.Message{Rumors: []membership.Rumor{{Topic: "load", Key: "model@1", Version: 1 << 40, Origin: "router-017", Payload: make([]byte, 40), TTLMillis: 20000}}}},
		{Kind: kindGossip, Gossip: &membership.Message{Digests: []membership.Digest{{Table: membership.PersistentTable, Buckets: make([]byte, 128)}}}},
		{Kind: kindGossip, Gossip: &membership.Message{Listings: []membership.Listing{{Table: membership.MemberTable, Buckets: 1, Rows: make([]byte, 120)}}}},
		{Kind: kindGossip, Gossip: &membership.Message{Probe: &membership.Probe{Kind: membership.PingRequest, Nonce: 1000, Target: "router-017"}}},
		{Kind: kindGossip, Gossip: &membership.Message{Announcements: make([]byte, 80)}},
		{Kind: kindGossip, Gossip: &membership.Message{Requests: make([]byte, 4)}},
		{Kind: kindRequest, ID: 1000, Topic: "admit", Payload: make([]byte, 60), Timeout: 300},
		{Kind: kindAnswer, ID: 1000, Topic: "admit", Payload: make([]byte, 30)},
		{Kind: kindNotice, Topic: "release", Payload: make([]byte, 60)},
		{Kind: kindPing},
		{Kind: kindPong},
		{Kind: kindGoodbye},
	}
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	for _, m := range samples() {
		got, err := decode(encode(m))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
		t.Logf("%v %d bytes", m.Kind, framed(len(encode(m)), true))
	}
}

// FuzzDecode feeds arbitrary input to the decoder and decoded gossip to a
// membership machine. Neither may panic, and the machine must respect its limit of
// members.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		f.Add(encode(m))
	}
	f.Add([]byte{0xff})
	f.Add([]byte{0xbf, 0x01, 0x02, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		if m.Kind == 0 {
			t.Fatal("message without kind")
		}
		if m.Gossip == nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		machine := membership.New(membership.Config{MaxMembers: 4, MaxRumors: 4}, membership.Member{Instance: "a", Address: "a"}, now)
		machine.LinkUp(now, membership.Member{Instance: "b", Address: "b"}, true, false)
		machine.Receive(now, "b", *m.Gossip)
		machine.Tick(now.Add(100 * time.Millisecond))
		if n := len(machine.Members()); n > 5 {
			t.Fatalf("%d members", n)
		}
	})
}
