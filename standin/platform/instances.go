package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// State tells whether an instance takes new work.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the list of instances.
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

// List is the body of the list of instances.
type List struct {
	Instances []Instance `json:"instances"`
}

// snapshot is the list as it stood from a time on.
type snapshot struct {
	at        time.Time
	instances map[string]Instance
}

// directory keeps the list with enough of its past to answer late.
type directory struct {
	mu   sync.Mutex
	past []snapshot // by time; the last is the current one
}

func newDirectory() *directory {
	return &directory{past: []snapshot{{instances: map[string]Instance{}}}}
}

// update changes a copy of the list.
func (d *directory) update(change func(map[string]Instance)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.past[len(d.past)-1].instances)
	change(next)
	now := time.Now()
	d.past = append(d.past, snapshot{at: now, instances: next})
	for len(d.past) > 1 && now.Sub(d.past[1].at) > maxListLag {
		d.past = d.past[1:]
	}
}

// list returns the list as it stood lag ago, ordered by id.
func (d *directory) list(lag time.Duration) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := time.Now().Add(-lag)
	shown := d.past[0]
	for _, s := range d.past {
		if !s.at.After(seen) {
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
