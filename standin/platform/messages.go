package platform

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Int64 is a 64-bit integer in protobuf's JSON mapping: encoded as a string,
// decoded from a string or a number.
type Int64 int64

// MarshalJSON encodes n as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a string or a number. It returns an error if data is
// not a 64-bit integer.
func (n *Int64) UnmarshalJSON(data []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("platform: not a 64-bit integer: %s", data)
	}
	*n = Int64(v)
	return nil
}

// KeyValue is mvccpb.KeyValue: a version of a key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// responseHeader is etcdserverpb.ResponseHeader.
type responseHeader struct {
	ClusterID Int64 `json:"cluster_id"`
	MemberID  Int64 `json:"member_id"`
	Revision  Int64 `json:"revision"`
	RaftTerm  Int64 `json:"raft_term"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     Int64  `json:"limit"`
	Revision  Int64  `json:"revision"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *responseHeader `json:"header,omitempty"`
	KVs    []KeyValue      `json:"kvs,omitempty"`
	More   bool            `json:"more,omitempty"`
	Count  Int64           `json:"count,omitempty"`
}

type putRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Lease  Int64  `json:"lease"`
	PrevKV bool   `json:"prev_kv"`
}

type putResponse struct {
	Header *responseHeader `json:"header,omitempty"`
	PrevKV *KeyValue       `json:"prev_kv,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKV   bool   `json:"prev_kv"`
}

type deleteResponse struct {
	Header  *responseHeader `json:"header,omitempty"`
	Deleted Int64           `json:"deleted,omitempty"`
	PrevKVs []KeyValue      `json:"prev_kvs,omitempty"`
}

// comparison is etcdserverpb.Compare. An absent result means EQUAL and an
// absent target means VERSION, as in protobuf's JSON mapping.
type comparison struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	Version        Int64  `json:"version"`
	CreateRevision Int64  `json:"create_revision"`
	ModRevision    Int64  `json:"mod_revision"`
	Value          []byte `json:"value"`
	Lease          Int64  `json:"lease"`
}

type operation struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type operationResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
	Failure []operation  `json:"failure"`
}

type txnResponse struct {
	Header    *responseHeader     `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  Int64 `json:"ID"`
	TTL Int64 `json:"TTL"`
}

type leaseResponse struct {
	Header *responseHeader `json:"header"`
	ID     Int64           `json:"ID,omitempty"`
	TTL    Int64           `json:"TTL,omitempty"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create *watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision Int64  `json:"start_revision"`
	PrevKV        bool   `json:"prev_kv"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Header          *responseHeader `json:"header"`
	WatchID         Int64           `json:"watch_id,omitempty"`
	Created         bool            `json:"created,omitempty"`
	Canceled        bool            `json:"canceled,omitempty"`
	CompactRevision Int64           `json:"compact_revision,omitempty"`
	CancelReason    string          `json:"cancel_reason,omitempty"`
	Events          []watchEvent    `json:"events,omitempty"`
}

// watchEvent is mvccpb.Event. Type is absent for a put, which is the enum's
// zero value.
type watchEvent struct {
	Type   string    `json:"type,omitempty"`
	KV     *KeyValue `json:"kv"`
	PrevKV *KeyValue `json:"prev_kv,omitempty"`
}

// statusCode is a gRPC status code.
type statusCode int

const (
	codeInvalidArgument   statusCode = 3
	codeNotFound          statusCode = 5
	codeAlreadyExists     statusCode = 6
	codeResourceExhausted statusCode = 8
	codeOutOfRange        statusCode = 11
	codeUnavailable       statusCode = 14
)

// statusError is the response body of a failed call.
type statusError struct {
	Text    string     `json:"error"`
	Code    statusCode `json:"code"`
	Message string     `json:"message"`
}

func newStatusError(c statusCode, message string) *statusError {
	return &statusError{Text: message, Code: c, Message: message}
}

// Error implements error.
func (e *statusError) Error() string { return "platform: " + e.Message }

// decodeRequest decodes a JSON request. Like the etcd gateway, it accepts both
// the field names of the proto file and their camelCase forms. An empty body
// leaves v unchanged.
func decodeRequest(data []byte, v any) error {
	if len(data) == 0 {
		return nil
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	plain, err := json.Marshal(protoNames(tree))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if err := json.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}

// protoNames converts the field names of all objects in tree to those of the
// proto file.
func protoNames(tree any) any {
	switch t := tree.(type) {
	case map[string]any:
		out := make(map[string]any, len(t))
		for name, v := range t {
			out[protoName(name)] = protoNames(v)
		}
		return out
	case []any:
		for i := range t {
			t[i] = protoNames(t[i])
		}
	}
	return tree
}

func protoName(name string) string {
	if name == strings.ToUpper(name) {
		return name // ID and TTL
	}
	var b strings.Builder
	for _, r := range name {
		if r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
