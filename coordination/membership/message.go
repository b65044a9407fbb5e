package membership

import "wisteriaspool/coordination"

// Message is what routers tell each other about members and rumours. Each
// part may be missing; parts that a router does not know are ignored.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Members   []Member   `cbor:"2,keyasint,omitempty"`
	Rumors    []Rumor    `cbor:"3,keyasint,omitempty"`
	Digests   []Digest   `cbor:"4,keyasint,omitempty"`
	Listings  []Listing  `cbor:"5,keyasint,omitempty"`
	Probe     *Probe     `cbor:"6,keyasint,omitempty"`
	// Announcements announces rumours: for each the 32-bit hash of its topic and key
	// and the low 32 bits of its version, little-endian.
	Announcements []byte `cbor:"7,keyasint,omitempty"`
	// Requests asks for rumours by their hashes.
	Requests []byte `cbor:"8,keyasint,omitempty"`
	// Repairs are rumours that the receiver was found to lack. Others are
	// likely to have them, so it announces them and does not pass them on.
	Repairs []Rumor `cbor:"9,keyasint,omitempty"`
}

// Heartbeat shows that its sender lives and sums up its tables.
type Heartbeat struct {
	// Neighbor means that the sender counts the receiver as its neighbour.
	Neighbor bool `cbor:"1,keyasint,omitempty"`
	// Fingerprints has one number per Table.
	Fingerprints [tables]uint32 `cbor:"2,keyasint"`
}

// Rumor is a piece of soft state that spreads to all members. The newest
// version of a topic and key wins.
type Rumor struct {
	Topic   string                `cbor:"1,keyasint"`
	Key     string                `cbor:"2,keyasint"`
	Version uint64                `cbor:"3,keyasint"`
	Origin  coordination.Instance `cbor:"4,keyasint,omitempty"`
	Payload []byte                `cbor:"5,keyasint,omitempty"`
	// TTLMillis is the time in milliseconds that the rumour has left, and zero for
	// one that is kept. It is not a moment, because clocks differ.
	TTLMillis uint32 `cbor:"6,keyasint,omitempty"`
}

// MaxPayload is the largest payload of a rumour in bytes.
const MaxPayload = 1024

// Table names one of the tables that members compare.
type Table uint8

// The tables.
const (
	MemberTable Table = iota
	PersistentTable
	EphemeralTable
	tables
)

// buckets is the number of parts in which a table is compared.
const buckets = 32

// Digest sums up a table as one 32-bit fingerprint per bucket, little-endian.
type Digest struct {
	Table   Table  `cbor:"1,keyasint"`
	Buckets []byte `cbor:"2,keyasint"`
}

// Listing names the content of some buckets of a table: for each row the
// 32-bit hash of its key and the 64-bit stamp of its value, little-endian.
type Listing struct {
	Table   Table  `cbor:"1,keyasint"`
	Buckets uint32 `cbor:"2,keyasint"` // one bit each
	Rows    []byte `cbor:"3,keyasint"`
	// IsReply means that the receiver need not list its rows in turn.
	IsReply bool `cbor:"4,keyasint,omitempty"`
}

// ProbeKind tells the three kinds of a probe apart.
type ProbeKind uint8

// The kinds of a probe.
const (
	// Ping asks the receiver whether it lives.
	Ping ProbeKind = iota + 1
	// PingRequest asks the receiver to ping Target and to pass its answer on.
	PingRequest
	// Ack answers a Ping or a PingFor.
	Ack
)

// Probe asks for or gives a sign of life.
type Probe struct {
	Kind   ProbeKind             `cbor:"1,keyasint"`
	Nonce  uint64                `cbor:"2,keyasint"`
	Target coordination.Instance `cbor:"3,keyasint,omitempty"`
}

// Sizes of the encoded parts in bytes, for the byte budget.
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
