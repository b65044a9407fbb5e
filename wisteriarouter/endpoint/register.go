package endpoint

import (
	"sync"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/wisteriarouter/event"
	"wisteriaspool/wisteriarouter/platform"
)

// Change is one change of what the store holds of an endpoint.
type Change struct {
	platform.Entry
	Gone bool // there is no entry any more; only ID is set
}

const (
	// lapseHold is for how long an endpoint is kept whose entry was removed
	// while the store was away: entries that lapsed are back within two seconds
	// of its return.
	lapseHold = 2200 * time.Millisecond
	// massWindow and massShare tell a lapse of leases from endpoints that end:
	// so large a part of a pool does not end within so short a time without
	// having announced it.
	massWindow = 500 * time.Millisecond
	massShare  = 0.34
)

// Register takes the changes of endpoints' entries into a directory. An entry
// that is removed means that its endpoint has left or died, unless the store
// was away: then leases of endpoints that live and serve have run out, and
// dropping them would leave a router without any endpoint for some seconds.
type Register struct {
	Directory *Directory
	Log       event.Log

	mu      sync.Mutex
	lost    bool      // the store does not answer
	back    time.Time // when it last answered again
	removed []time.Time
	held    map[coordination.Endpoint]*time.Timer
}

// StoreLost takes in that the store does not answer.
func (r *Register) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
}

// StoreBack takes in that the store answers again.
func (r *Register) StoreBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.back = false, time.Now()
}

// Take takes in changes, in the order in which they were made.
func (r *Register) Take(changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var put []platform.Entry
	var gone []coordination.Endpoint
	for _, c := range changes {
		if !c.Gone {
			r.release(c.ID)
			put = append(put, c.Entry)
			continue
		}
		if r.hold(now, c.ID) {
			continue
		}
		gone = append(gone, c.ID)
	}
	r.Directory.Apply(put, gone)
}

// hold keeps an endpoint for a while after its entry was removed, if the entry
// may be back, and reports whether it does.
func (r *Register) hold(now time.Time, id coordination.Endpoint) bool {
	k, ok := r.Directory.Find(id)
	if !ok || k.Leaving() {
		return false
	}
	if !r.lost && now.Sub(r.back) > lapseHold && !r.mass(now, len(r.Directory.Pool(k.Pool))) {
		return false
	}
	if r.held == nil {
		r.held = make(map[coordination.Endpoint]*time.Timer)
	}
	r.release(id)
	r.held[id] = time.AfterFunc(lapseHold, func() { r.drop(id) })
	r.Log.Emit(event.EndpointHeld, event.F("endpoint", id), event.F("for-ms", lapseHold.Milliseconds()))
	return true
}

// mass notes a removal and reports whether very many have come of late.
func (r *Register) mass(now time.Time, endpoints int) bool {
	recent := r.removed[:0]
	for _, at := range r.removed {
		if now.Sub(at) < massWindow {
			recent = append(recent, at)
		}
	}
	r.removed = append(recent, now)
	return len(r.removed) > 1 && float64(len(r.removed)) > massShare*float64(endpoints)
}

// release ends the wait for an entry. The caller holds r.mu.
func (r *Register) release(id coordination.Endpoint) {
	if t := r.held[id]; t != nil {
		t.Stop()
		delete(r.held, id)
	}
}

// drop gives up on an entry that has not come back. While the store is away,
// nobody can tell, and the endpoint stays.
func (r *Register) drop(id coordination.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[id] == nil {
		return
	}
	if r.lost || time.Since(r.back) < lapseHold {
		r.held[id] = time.AfterFunc(lapseHold, func() { r.drop(id) })
		return
	}
	delete(r.held, id)
	r.Directory.Apply(nil, []coordination.Endpoint{id})
}
