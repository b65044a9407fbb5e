package platform

import (
	"context"
	"time"

	"wisteriaspool/coordination/kv"
)

// Paths of the JSON gateway.
const (
	rangePath     = "/v3/kv/range"
	txnPath       = "/v3/kv/txn"
	grantPath     = "/v3/lease/grant"
	keepAlivePath = "/v3/lease/keepalive"
	watchPath     = "/v3/watch"
)

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) kv.Result {
	return c.read(ctx, OpGet, rangeRequest{Key: []byte(key)})
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) kv.Result {
	return c.read(ctx, OpList, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

func (c *Client) read(ctx context.Context, op Op, req rangeRequest) kv.Result {
	var resp rangeResponse
	res := c.call(ctx, op, rangePath, req, &resp)
	if res.Status != kv.Applied {
		return res
	}
	return kv.Result{Status: kv.Applied, Revision: kv.Revision(resp.Header.Revision), Pairs: resp.pairs()}
}

// prefixEnd returns the exclusive end of the range of keys with prefix: the
// prefix with its last byte below 0xff incremented and the rest cut off. If there
// is no such byte it returns a single zero byte, which means the end of the key
// space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.Lease) kv.Result {
	put := requestOp{Put: &putRequest{Key: []byte(key), Value: value, Lease: lease.Number}}
	res, _ := c.txn(ctx, OpCAS, key, expect, put)
	return res
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, expect kv.Revision) kv.Result {
	del := requestOp{Delete: &rangeRequest{Key: []byte(key)}}
	res, resp := c.txn(ctx, OpDelete, key, expect, del)
	if res.Status == kv.Applied && !resp.deleted() {
		res.Status = kv.Conflict
	}
	return res
}

// deleted reports whether a delete operation removed a key.
func (r txnResponse) deleted() bool {
	return len(r.Responses) > 0 && r.Responses[0].Delete != nil && r.Responses[0].Delete.Deleted > 0
}

// txn applies do if the key's revision is expect, and reads the key otherwise:
// the result is then a Conflict with the current pair.
func (c *Client) txn(ctx context.Context, op Op, key string, expect kv.Revision, do requestOp) (kv.Result, txnResponse) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expect)}},
		Success: []requestOp{do},
		Failure: []requestOp{{Range: &rangeRequest{Key: []byte(key)}}},
	}
	var resp txnResponse
	res := c.call(ctx, op, txnPath, req, &resp)
	if res.Status != kv.Applied {
		return res, resp
	}
	res.Revision = kv.Revision(resp.Header.Revision)
	if !resp.Succeeded {
		res.Status = kv.Conflict
		res.Pairs = resp.currentPairs()
	}
	return res, resp
}

// currentPairs returns the pairs that the failure branch of a transaction read.
func (r txnResponse) currentPairs() []kv.Pair {
	return rangeResponse{Kvs: r.currentPairValues()}.pairs()
}

func (r txnResponse) currentPairValues() []keyValue {
	if len(r.Responses) == 0 || r.Responses[0].Range == nil {
		return nil
	}
	return r.Responses[0].Range.Kvs
}

// Grant implements kv.Store. It rounds ttl up to whole seconds, the service's
// unit.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, kv.Result) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp leaseResponse
	res := c.call(ctx, OpGrant, grantPath, leaseRequest{TTL: seconds}, &resp)
	if res.Status != kv.Applied {
		return kv.Lease{}, res
	}
	res.Revision = kv.Revision(resp.Header.Revision)
	res.TTL = time.Duration(resp.TTL) * time.Second
	return kv.Lease{Number: resp.ID}, res
}

// KeepAlive implements kv.Store. It returns Conflict for an expired lease.
func (c *Client) KeepAlive(ctx context.Context, lease kv.Lease) kv.Result {
	var resp keepAliveResponse
	res := c.call(ctx, OpKeepAlive, keepAlivePath, leaseRequest{ID: lease.Number}, &resp)
	if res.Status != kv.Applied {
		return res
	}
	res.Revision = kv.Revision(resp.Result.Header.Revision)
	if resp.Result.TTL <= 0 {
		res.Status = kv.Conflict
	}
	return res
}
