package platform

import (
	"time"

	"github.com/samber/lo"
)

// grant creates a lease. If req.ID is zero, the store assigns the ID.
func (s *store) grant(req leaseRequest) (*leaseResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.TTL <= 0 {
		return nil, newStatusError(codeInvalidArgument, "etcdserver: too small lease TTL")
	}
	id := req.ID
	if id == 0 {
		s.lastLeaseID++
		id = leaseIDBase + s.lastLeaseID
	}
	if s.leases[id] != nil {
		return nil, newStatusError(codeAlreadyExists, "etcdserver: lease already exists")
	}
	l := &lease{id: id, ttl: time.Duration(req.TTL) * time.Second, keys: make(map[string]bool)}
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(l) })
	s.leases[id] = l
	return &leaseResponse{Header: s.headerLocked(), ID: id, TTL: req.TTL}, nil
}

// keepAlive renews a lease. For an unknown or expired lease, the TTL in the
// response is zero.
func (s *store) keepAlive(req leaseRequest) *keepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := leaseResponse{Header: s.headerLocked(), ID: req.ID}
	if l := s.leases[req.ID]; l != nil {
		l.timer.Reset(l.ttl)
		res.TTL = Int64(l.ttl / time.Second)
	}
	return &keepAliveResponse{Result: res}
}

// revoke ends a lease and deletes its keys.
func (s *store) revoke(req leaseRequest) (*leaseResponse, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[req.ID]
	if l == nil {
		return nil, newStatusError(codeNotFound, "etcdserver: requested lease not found")
	}
	l.timer.Stop()
	s.deleteLeaseLocked(l)
	return &leaseResponse{Header: s.headerLocked()}, nil
}

// expire ends a lease whose TTL elapsed, unless it has already ended.
func (s *store) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] == l {
		s.deleteLeaseLocked(l)
	}
}

// deleteLeaseLocked deletes a lease and, at a single revision, its keys.
func (s *store) deleteLeaseLocked(l *lease) {
	delete(s.leases, l.id)
	if len(l.keys) == 0 {
		return
	}
	s.revision++
	for _, key := range lo.Keys(l.keys) {
		s.removeLocked(s.current[key])
	}
	s.trimAndNotifyLocked()
}
