package platform

import (
	"bytes"
	"cmp"
	"slices"
)

// rangeKeys runs a read outside a transaction.
func (s *store) rangeKeys(req rangeRequest) (*rangeResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res, err := s.rangeLocked(req)
	if err != nil {
		return nil, err
	}
	res.Header = s.headerLocked()
	return res, nil
}

func (s *store) rangeLocked(req rangeRequest) (*rangeResponse, *statusError) {
	kvs, err := s.readAtLocked(req.Key, req.RangeEnd, req.Revision)
	if err != nil {
		return nil, err
	}
	res := &rangeResponse{Count: Int64(len(kvs))}
	if req.CountOnly {
		return res, nil
	}
	if req.Limit > 0 && len(kvs) > int(req.Limit) {
		kvs, res.More = kvs[:req.Limit], true
	}
	if req.KeysOnly {
		for i := range kvs {
			kvs[i].Value = nil
		}
	}
	res.KVs = kvs
	return res, nil
}

// readAtLocked returns the keys in [key, end) as of revision, ordered by key. A
// revision of zero means the current one. It returns an error if the revision
// is in the future or has been compacted.
func (s *store) readAtLocked(key, end []byte, revision Int64) ([]KeyValue, *statusError) {
	if revision > s.revision {
		return nil, newStatusError(codeOutOfRange, "etcdserver: mvcc: required revision is a future revision")
	}
	if revision > 0 && revision < s.compacted {
		return nil, newStatusError(codeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	}
	if revision > 0 && revision < s.revision {
		return s.readPastLocked(key, end, revision), nil
	}
	from, to := s.indexRangeLocked(key, end)
	kvs := make([]KeyValue, 0, to-from)
	for _, k := range s.sorted[from:to] {
		kvs = append(kvs, s.current[k])
	}
	return kvs, nil
}

// readPastLocked reconstructs the keys in [key, end) as of revision by undoing
// the later events, newest first.
func (s *store) readPastLocked(key, end []byte, revision Int64) []KeyValue {
	at := make(map[string]KeyValue)
	from, to := s.indexRangeLocked(key, end)
	for _, k := range s.sorted[from:to] {
		at[k] = s.current[k]
	}
	for _, e := range slices.Backward(s.events) {
		if e.kv.ModRevision <= revision {
			break
		}
		if !inRange(e.kv.Key, key, end) {
			continue
		}
		delete(at, string(e.kv.Key))
		if e.prev != nil {
			at[string(e.kv.Key)] = *e.prev
		}
	}
	kvs := make([]KeyValue, 0, len(at))
	for _, kv := range at {
		kvs = append(kvs, kv)
	}
	slices.SortFunc(kvs, func(a, b KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return kvs
}

// txn evaluates the comparisons and applies req.Success if all match, otherwise
// req.Failure. All operations are applied at a single revision.
func (s *store) txn(req txnRequest) (*txnResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &txnResponse{Succeeded: true}
	for _, c := range req.Compare {
		holds, err := s.evaluateLocked(c)
		if err != nil {
			return nil, err
		}
		res.Succeeded = res.Succeeded && holds
	}
	operations := req.Failure
	if res.Succeeded {
		operations = req.Success
	}
	if err := s.validateOperationsLocked(operations); err != nil {
		return nil, err
	}
	if s.writesLocked(operations) {
		s.revision++
	}
	for _, op := range operations {
		res.Responses = append(res.Responses, s.applyOperationLocked(op))
	}
	res.Header = s.headerLocked()
	s.trimAndNotifyLocked()
	return res, nil
}

// evaluateLocked reports whether the comparison matches. The numbers of a
// missing key are zero. It returns an error for an unknown target or result.
func (s *store) evaluateLocked(c comparison) (bool, *statusError) {
	kv := s.current[string(c.Key)]
	var order int
	switch c.Target {
	case "", "VERSION":
		order = cmp.Compare(kv.Version, c.Version)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case "VALUE":
		order = bytes.Compare(kv.Value, c.Value)
	case "LEASE":
		order = cmp.Compare(kv.Lease, c.Lease)
	default:
		return false, newStatusError(codeInvalidArgument, "etcdserver: unknown compare target "+c.Target)
	}
	switch c.Result {
	case "", "EQUAL":
		return order == 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	}
	return false, newStatusError(codeInvalidArgument, "etcdserver: unknown compare result "+c.Result)
}

// validateOperationsLocked rejects operations that would fail, before any of
// them is applied, so that a transaction is never applied in part.
func (s *store) validateOperationsLocked(operations []operation) *statusError {
	for _, op := range operations {
		if op.Put != nil {
			if err := s.validatePutLocked(*op.Put); err != nil {
				return err
			}
		}
		if op.Range != nil && op.Range.Revision != 0 {
			if _, err := s.readAtLocked(nil, nil, op.Range.Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *store) writesLocked(operations []operation) bool {
	return slices.ContainsFunc(operations, func(op operation) bool {
		return op.Put != nil || op.Delete != nil && s.anyInRangeLocked(op.Delete.Key, op.Delete.RangeEnd)
	})
}

func (s *store) applyOperationLocked(op operation) operationResponse {
	switch {
	case op.Put != nil:
		res := s.putLocked(*op.Put)
		res.Header = s.headerLocked()
		return operationResponse{Put: res}
	case op.Delete != nil:
		res := s.deleteLocked(*op.Delete)
		res.Header = s.headerLocked()
		return operationResponse{Delete: res}
	case op.Range != nil:
		res, err := s.rangeLocked(*op.Range)
		if err != nil {
			panic(err.Error()) // validateOperationsLocked has checked the revision
		}
		res.Header = s.headerLocked()
		return operationResponse{Range: res}
	}
	return operationResponse{}
}

// restore writes the value that key had at revision as a new version, which
// simulates an operator restoring a backup. It returns an error if the key had
// no value at that revision or the revision is not available.
func (s *store) restore(key string, revision Int64) *statusError {
	s.mu.Lock()
	kvs, err := s.readAtLocked([]byte(key), nil, revision)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if len(kvs) == 0 {
		return newStatusError(codeNotFound, "no value of "+key+" at that revision")
	}
	_, err = s.put(putRequest{Key: []byte(key), Value: kvs[0].Value})
	return err
}
