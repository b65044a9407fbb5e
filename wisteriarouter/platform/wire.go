package platform

import (
	"fmt"
	"math"

	"wisteriaspool/coordination/kv"
)

// The types below are the parts of the JSON gateway's messages that the client
// uses. The gateway encodes 64-bit integers as strings and bytes in base64, and
// omits zero values.

// checked is a response whose numbers have a range.
type checked interface {
	// check returns an error if a number is missing or out of range.
	check() error
}

// maxNumber is the greatest revision or lease that is accepted, so that there is a next
// revision to watch from.
const maxNumber = math.MaxInt64 - 1

func checkNumber(what string, n, least int64) error {
	if n < least || n > maxNumber {
		return fmt.Errorf("%s %d is not from %d to %d", what, n, least, int64(maxNumber))
	}
	return nil
}

type header struct {
	Revision int64 `json:"revision,string"`
}

func (h header) check() error { return checkNumber("revision", h.Revision, 1) }

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

func (p keyValue) check() error {
	if err := checkNumber("revision of a key", p.ModRevision, 1); err != nil {
		return err
	}
	return checkNumber("lease of a key", p.Lease, 0)
}

func checkPairs(pairs []keyValue) error {
	for _, p := range pairs {
		if err := p.check(); err != nil {
			return err
		}
	}
	return nil
}

func (p keyValue) pair() kv.Pair {
	return kv.Pair{
		Key:      string(p.Key),
		Value:    p.Value,
		Revision: kv.Revision(p.ModRevision),
		Lease:    kv.Lease{Number: p.Lease},
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

func (r rangeResponse) check() error {
	if err := r.Header.check(); err != nil {
		return err
	}
	return checkPairs(r.Kvs)
}

func (r rangeResponse) pairs() []kv.Pair {
	var pairs []kv.Pair
	for _, p := range r.Kvs {
		pairs = append(pairs, p.pair())
	}
	return pairs
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type requestOp struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type deleteResponse struct {
	Deleted int64 `json:"deleted,string"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range"`
	Delete *deleteResponse `json:"response_delete_range"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

func (r txnResponse) check() error {
	if err := r.Header.check(); err != nil {
		return err
	}
	return checkPairs(r.currentPairValues())
}

type leaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

func (r leaseResponse) check() error {
	if err := r.Header.check(); err != nil {
		return err
	}
	return checkNumber("lease", r.ID, 1)
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

func (r keepAliveResponse) check() error { return r.Result.Header.check() }

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"` // empty means PUT
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

// check accepts a message without a revision, as that of a watch that is cancelled.
func (r watchResult) check() error {
	if err := checkNumber("revision", r.Header.Revision, 0); err != nil {
		return err
	}
	if err := checkNumber("oldest revision", r.CompactRevision, 0); err != nil {
		return err
	}
	for _, e := range r.Events {
		if err := e.KV.check(); err != nil {
			return err
		}
	}
	return nil
}

type watchResponse struct {
	Result *watchResult `json:"result"`
}
