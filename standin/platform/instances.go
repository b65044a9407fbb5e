package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// State says whether an instance accepts new work.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Kind        string `json:"kind"`
	Pool        string `json:"pool"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Capacity    int    `json:"capacity"`
}

// List is the response body of GET /v1/instances.
type List struct {
	Instances []Instance `json:"instances"`
}

// snapshot is the instance list as of a point in time, valid until the next
// snapshot.
type snapshot struct {
	at        time.Time
	instances map[string]Instance
}

// instanceList holds the current list and its past versions, which are returned
// when the list lags.
type instanceList struct {
	mu        sync.Mutex
	snapshots []snapshot // in order of time; the last is current
}

func newInstanceList() *instanceList {
	return &instanceList{snapshots: []snapshot{{instances: map[string]Instance{}}}}
}

// update appends a copy of the current list, modified by change, and drops
// the snapshots that no lag up to maxListLag can select.
func (l *instanceList) update(change func(map[string]Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.snapshots[len(l.snapshots)-1].instances)
	change(next)
	now := time.Now()
	l.snapshots = append(l.snapshots, snapshot{at: now, instances: next})
	for len(l.snapshots) > 1 && now.Sub(l.snapshots[1].at) > maxListLag {
		l.snapshots = l.snapshots[1:]
	}
}

// list returns the list as of lag ago, ordered by ID.
func (l *instanceList) list(lag time.Duration) List {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := time.Now().Add(-lag)
	shown := l.snapshots[0]
	for _, s := range l.snapshots {
		if !s.at.After(asOf) {
			shown = s
		}
	}
	instances := slices.Collect(maps.Values(shown.instances))
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if instances == nil {
		instances = []Instance{}
	}
	return List{Instances: instances}
}
