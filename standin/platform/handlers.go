package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
)

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	s.handleCall(w, r, call{kind: rangeCall}, &req, func() (any, *statusError) {
		return s.store.rangeKeys(req)
	})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var req putRequest
	s.handleCall(w, r, call{kind: putCall, write: true}, &req, func() (any, *statusError) {
		return s.store.put(req)
	})
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	var req deleteRequest
	s.handleCall(w, r, call{kind: deleteCall, write: true}, &req, func() (any, *statusError) {
		return s.store.deleteRange(req)
	})
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	s.handleCall(w, r, call{kind: txnCall, write: true}, &req, func() (any, *statusError) {
		return s.store.txn(req)
	})
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseRequest
	s.handleCall(w, r, call{kind: grantCall, write: true}, &req, func() (any, *statusError) {
		return s.store.grant(req)
	})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req leaseRequest
	s.handleCall(w, r, call{kind: keepAliveCall, write: true}, &req, func() (any, *statusError) {
		return s.store.keepAlive(req), nil
	})
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var req leaseRequest
	s.handleCall(w, r, call{kind: revokeCall, write: true}, &req, func() (any, *statusError) {
		return s.store.revoke(req)
	})
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.countCall(listCall)
	faults, _ := s.faults.get()
	if faults.ListOutage {
		writeError(w, newStatusError(codeUnavailable, "the list of instances is down"))
		return
	}
	if !s.sleep(r.Context(), time.Duration(faults.SlowMillis)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, s.instances.list(time.Duration(faults.ListLagMillis)*time.Millisecond))
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var entry Instance
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&entry)
	if err != nil || entry.ID == "" {
		writeError(w, newStatusError(codeInvalidArgument, "an instance is JSON with an id"))
		return
	}
	s.Register(entry)
	writeJSON(w, http.StatusOK, entry)
}

func (s *Server) handleRemove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var data json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&data); err != nil {
		writeError(w, newStatusError(codeInvalidArgument, err.Error()))
		return
	}
	next, err := s.faults.merge(data)
	if err != nil {
		writeError(w, newStatusError(codeInvalidArgument, err.Error()))
		return
	}
	if err := s.SetFaults(next); err != nil {
		writeError(w, newStatusError(codeInvalidArgument, err.Error()))
		return
	}
	s.handleGetFaults(w, r)
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _ := s.faults.get()
	writeJSON(w, http.StatusOK, faults)
}

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

// Register adds entry to the instance list or replaces the entry with the same
// ID. An empty state becomes Live.
func (s *Server) Register(entry Instance) {
	if entry.State == "" {
		entry.State = Live
	}
	s.instances.update(func(m map[string]Instance) { m[entry.ID] = entry })
}

// Remove deletes the entry with the given ID from the instance list.
func (s *Server) Remove(id string) {
	s.instances.update(func(m map[string]Instance) { delete(m, id) })
}

// Instances returns the current instance list, ordered by ID, without the lag.
func (s *Server) Instances() []Instance { return s.instances.list(0).Instances }

// SetFaults replaces the persistent faults and runs the one-time actions. It
// returns an error if the value to restore is not available.
func (s *Server) SetFaults(f Faults) error {
	s.faults.set(f)
	if f.Restore != nil {
		if err := s.store.restore(f.Restore.Key, f.Restore.Revision); err != nil {
			return err
		}
	}
	if f.Compact {
		s.store.compact()
	}
	if f.DropWatches {
		s.mu.Lock()
		close(s.watchesDropped)
		s.watchesDropped = make(chan struct{})
		s.mu.Unlock()
	}
	return nil
}

// Faults returns the persistent faults.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// Put writes a key directly to the store, without rate limits and faults, and
// returns the new revision. It returns an error if the key is empty or the
// value exceeds 1 MiB.
func (s *Server) Put(key string, value []byte) (int64, error) {
	res, err := s.store.put(putRequest{Key: []byte(key), Value: value})
	if err != nil {
		return 0, err
	}
	return int64(res.Header.Revision), nil
}

// Get reads the keys that start with prefix directly from the store, without
// rate limits and faults, ordered by key.
func (s *Server) Get(prefix string) []KeyValue {
	end := slices.Clone([]byte(prefix))
	for len(end) > 0 && end[len(end)-1] == 0xff {
		end = end[:len(end)-1]
	}
	if len(end) == 0 {
		end = []byte{0, 0}
	}
	end[len(end)-1]++
	res, err := s.store.rangeKeys(rangeRequest{Key: []byte(prefix), RangeEnd: end})
	if err != nil {
		return nil
	}
	return res.KVs
}

// watchEvents converts history events to watch events, with the previous values
// if withPrev is set.
func watchEvents(events []event, withPrev bool) []watchEvent {
	return lo.Map(events, func(e event, _ int) watchEvent {
		out := watchEvent{KV: &e.kv}
		if e.deleted {
			out.Type = "DELETE"
		}
		if withPrev {
			out.PrevKV = e.prev
		}
		return out
	})
}
