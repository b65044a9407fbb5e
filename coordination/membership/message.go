package membership

import "wisteriaspool/coordination"

// Message is a message between routers about members and rumors. Each part is
// optional, and receivers ignore parts that they do not know.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Members   []Member   `cbor:"2,keyasint,omitempty"`
	Rumors    []Rumor    `cbor:"3,keyasint,omitempty"`
	Digests   []Digest   `cbor:"4,keyasint,omitempty"`
	Listings  []Listing  `cbor:"5,keyasint,omitempty"`
	Probe     *Probe     `cbor:"6,keyasint,omitempty"`
	// Announcements lists available rumors: for each the 32-bit hash of its
	// topic and key and the low 32 bits of its version, little-endian.
	Announcements []byte `cbor:"7,keyasint,omitempty"`
	// Requests lists the 32-bit hashes of rumors to send, little-endian.
	Requests []byte `cbor:"8,keyasint,omitempty"`
	// Repairs holds rumors that the receiver was found to lack. Other members
	// probably have them, so the receiver announces them instead of forwarding
	// them.
	Repairs []Rumor `cbor:"9,keyasint,omitempty"`
}

// Heartbeat shows that its sender is alive and summarizes its tables.
type Heartbeat struct {
	// Neighbor means that the sender counts the receiver as a mesh neighbor.
	Neighbor bool `cbor:"1,keyasint,omitempty"`
	// Fingerprints has one fingerprint per Table.
	Fingerprints [tables]uint32 `cbor:"2,keyasint"`
}

// Rumor is a piece of state that is disseminated to all members. The highest
// version of a topic and key wins.
type Rumor struct {
	Topic   string                `cbor:"1,keyasint"`
	Key     string                `cbor:"2,keyasint"`
	Version uint64                `cbor:"3,keyasint"`
	Origin  coordination.Instance `cbor:"4,keyasint,omitempty"`
	Payload []byte                `cbor:"5,keyasint,omitempty"`
	// TTLMillis is the remaining lifetime in milliseconds, and zero for a
	// persistent rumor. It is relative because clocks differ between machines.
	TTLMillis uint32 `cbor:"6,keyasint,omitempty"`
}

// MaxPayload is the maximum size of a rumor's payload in bytes.
const MaxPayload = 1024

// Table identifies one of the tables that members compare.
type Table uint8

// The tables.
const (
	// MemberTable holds the live members.
	MemberTable Table = iota
	// PersistentTable holds the rumors that never expire.
	PersistentTable
	// EphemeralTable holds the rumors that expire.
	EphemeralTable
	tables
)

// buckets is the number of buckets into which the rows of a table are hashed for
// comparison.
const buckets = 32

// Digest summarizes a table by one 32-bit fingerprint per bucket, little-endian.
type Digest struct {
	Table   Table  `cbor:"1,keyasint"`
	Buckets []byte `cbor:"2,keyasint"`
}

// Listing holds the rows of some buckets of a table: for each row the 32-bit hash
// of its key and the 64-bit stamp of its version, little-endian.
type Listing struct {
	Table   Table  `cbor:"1,keyasint"`
	Buckets uint32 `cbor:"2,keyasint"` // bit mask
	Rows    []byte `cbor:"3,keyasint"`
	// IsReply means that the receiver need not send its own listing back.
	IsReply bool `cbor:"4,keyasint,omitempty"`
}

// ProbeKind is the kind of a Probe.
type ProbeKind uint8

// The kinds of a probe.
const (
	// Ping asks the receiver for an Ack.
	Ping ProbeKind = iota + 1
	// PingRequest asks the receiver to ping Target and to relay its Ack.
	PingRequest
	// Ack answers a Ping or a PingRequest.
	Ack
)

// Probe is a liveness probe or the answer to one.
type Probe struct {
	Kind   ProbeKind             `cbor:"1,keyasint"`
	Nonce  uint64                `cbor:"2,keyasint"`
	Target coordination.Instance `cbor:"3,keyasint,omitempty"`
}

// Estimated encoded sizes in bytes, without variable-length fields. The byte
// budget is charged with them.
const (
	messageBytes   = 12
	heartbeatBytes = 22
	recordBytes    = 32
	rumorBytes     = 28
)

// Size estimates the encoded size of m in bytes.
func (m *Message) Size() int {
	n := messageBytes + len(m.Announcements) + len(m.Requests)
	if m.Heartbeat != nil {
		n += heartbeatBytes
	}
	for i := range m.Members {
		n += m.Members[i].Size()
	}
	for i := range m.Rumors {
		n += m.Rumors[i].Size()
	}
	for i := range m.Repairs {
		n += m.Repairs[i].Size()
	}
	for i := range m.Digests {
		n += 8 + len(m.Digests[i].Buckets)
	}
	for i := range m.Listings {
		n += 16 + len(m.Listings[i].Rows)
	}
	return n
}

// Size estimates the encoded size of m in bytes.
func (m *Member) Size() int {
	return recordBytes + len(m.Instance) + len(m.Address) + len(m.Zone) + len(m.Region) + len(m.Build)
}

// Size estimates the encoded size of r in bytes.
func (r *Rumor) Size() int {
	return rumorBytes + len(r.Topic) + len(r.Key) + len(r.Origin) + len(r.Payload)
}
