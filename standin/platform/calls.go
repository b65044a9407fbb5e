package platform

// callKind identifies a counter of Calls.
type callKind int

const (
	rangeCall callKind = iota
	putCall
	deleteCall
	txnCall
	grantCall
	keepAliveCall
	revokeCall
	watchCall
	listCall
	throttledCall
	refusedCall
)

// Calls holds the number of calls received, by kind. Throttled and refused
// calls are also counted under their own kind.
type Calls struct {
	Range          int `json:"range"`
	Put            int `json:"put"`
	DeleteRange    int `json:"delete_range"`
	Txn            int `json:"txn"`
	LeaseGrant     int `json:"lease_grant"`
	LeaseKeepAlive int `json:"lease_keep_alive"`
	LeaseRevoke    int `json:"lease_revoke"`
	Watch          int `json:"watch"`
	List           int `json:"list"`
	Throttled      int `json:"throttled"`
	Refused        int `json:"refused"`
	WatchEvents    int `json:"watch_events"`
	OpenWatches    int `json:"open_watches"`
}

// Writes returns the number of calls that are subject to the write rate limit.
func (c Calls) Writes() int {
	return c.Put + c.DeleteRange + c.Txn + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke
}

// Reads returns the number of calls that are subject to the read rate limit.
func (c Calls) Reads() int { return c.Range + c.Watch }

// Calls returns the call counts since the server was created.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) countCall(k callKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.calls
	counters := [...]*int{
		rangeCall: &c.Range, putCall: &c.Put, deleteCall: &c.DeleteRange, txnCall: &c.Txn,
		grantCall: &c.LeaseGrant, keepAliveCall: &c.LeaseKeepAlive, revokeCall: &c.LeaseRevoke,
		watchCall: &c.Watch, listCall: &c.List, throttledCall: &c.Throttled, refusedCall: &c.Refused,
	}
	*counters[k]++
}

func (s *Server) countEvents(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.WatchEvents += n
}

func (s *Server) addOpenWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.OpenWatches += n
}
