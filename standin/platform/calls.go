package platform

// callKind names a kind of call.
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

// Calls counts what arrived, by kind. Throttled and Refused calls are also
// counted under their kind.
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

// Writes returns the number of calls that count against the cap on writes.
func (c Calls) Writes() int {
	return c.Put + c.DeleteRange + c.Txn + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke
}

// Reads returns the number of calls that count against the cap on reads.
func (c Calls) Reads() int { return c.Range + c.Watch }

// Calls returns the counts since the start.
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
