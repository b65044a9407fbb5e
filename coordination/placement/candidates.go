package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// Set is an immutable snapshot of the endpoints that may take new work, by pool.
// It may be shared without locks. The zero Set has no endpoints.
type Set struct {
	pools     map[coordination.Pool]*pool
	byID      map[coordination.Endpoint]*Descriptor
	evacuated map[coordination.Pool]int // number of evacuated endpoints
}

// pool holds the endpoints of one pool and the data for rendezvous hashing.
type pool struct {
	endpoints []*Descriptor
	hashes    []uint64
	weights   []float64
	uniform   bool // all weights are equal
	hints     map[Hint]int
	versions  func() map[coordination.SoftwareVersion]*pool // the endpoints by version; computed on first use
}

func newPool() *pool {
	p := &pool{uniform: true, hints: make(map[Hint]int)}
	p.versions = sync.OnceValue(p.splitByVersion)
	return p
}

// NewSet returns a snapshot of endpoints. [Set.Find] returns leaving and evacuated
// endpoints too, but they are not candidates.
func NewSet(endpoints []Descriptor) *Set {
	own := slices.Clone(endpoints)
	slices.SortFunc(own, func(a, b Descriptor) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	s := &Set{
		pools:     make(map[coordination.Pool]*pool),
		byID:      make(map[coordination.Endpoint]*Descriptor, len(own)),
		evacuated: make(map[coordination.Pool]int),
	}
	for i := range own {
		s.add(&own[i])
	}
	return s
}

func (s *Set) add(d *Descriptor) {
	s.byID[d.ID] = d
	if d.State == Evacuated {
		s.evacuated[d.Pool]++
	}
	if !d.takesRequests() {
		return
	}
	p := s.pools[d.Pool]
	if p == nil {
		p = newPool()
		s.pools[d.Pool] = p
	}
	p.add(d)
}

func (p *pool) add(d *Descriptor) {
	w := d.weight()
	if len(p.weights) > 0 && p.weights[0] != w {
		p.uniform = false
	}
	if d.State == Live {
		p.hints[HintOf(d.ID, d.Incarnation)] = len(p.endpoints)
	}
	p.endpoints = append(p.endpoints, d)
	p.hashes = append(p.hashes, xxhash.Sum64String(string(d.ID)))
	p.weights = append(p.weights, w)
}

func (p *pool) splitByVersion() map[coordination.SoftwareVersion]*pool {
	all := make(map[coordination.SoftwareVersion]*pool)
	for _, d := range p.endpoints {
		if all[d.Version] == nil {
			all[d.Version] = newPool()
		}
		all[d.Version].add(d)
	}
	return all
}

// Find returns the descriptor of an endpoint, or nil.
func (s *Set) Find(id coordination.Endpoint) *Descriptor {
	return s.byID[id]
}

// Len returns the number of candidate endpoints of a pool.
func (s *Set) Len(name coordination.Pool) int {
	if p := s.pools[name]; p != nil {
		return len(p.endpoints)
	}
	return 0
}

// LenOfVersion returns the number of candidate endpoints of a pool whose software has a
// version.
func (s *Set) LenOfVersion(name coordination.Pool, v coordination.SoftwareVersion) int {
	if p := s.ofVersion(name, v); p != nil {
		return len(p.endpoints)
	}
	return 0
}

// ofVersion returns the candidates of a pool whose software has a version, or nil.
func (s *Set) ofVersion(name coordination.Pool, v coordination.SoftwareVersion) *pool {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	return p.versions()[v]
}

// Pools returns the names of the pools that have candidates, sorted.
func (s *Set) Pools() []coordination.Pool {
	names := lo.Keys(s.pools)
	slices.Sort(names)
	return names
}

// Warm returns the endpoint that a hint names in a pool, or nil.
func (s *Set) Warm(name coordination.Pool, hint Hint) *Descriptor {
	p := s.pools[name]
	if p == nil || hint == 0 {
		return nil
	}
	if i, ok := p.hints[hint]; ok {
		return p.endpoints[i]
	}
	return nil
}

// LostSince returns the endpoints of an older snapshot that have disappeared or
// restarted without having been marked as leaving, sorted by ID.
func (s *Set) LostSince(old *Set) []Descriptor {
	var lost []Descriptor
	for id, d := range old.byID {
		now := s.byID[id]
		if d.State != Leaving && (now == nil || now.Incarnation > d.Incarnation) {
			lost = append(lost, *d)
		}
	}
	slices.SortFunc(lost, func(a, b Descriptor) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return lost
}

// scored is an endpoint with its score in a selection; a lower score is better.
type scored struct {
	score float64
	index int
}

// inlineCandidates is the number of candidates selected without allocating.
const inlineCandidates = 16

// Candidates appends to dst up to limit endpoints of a pool in the order in
// which a request with this key should try them: the one that hint names, then
// the others by weighted rendezvous hashing. An unknown, stale or forged hint can
// only reorder them; the owner decides what an endpoint may take.
func (s *Set) Candidates(dst []*Descriptor, name coordination.Pool, key Key, hint Hint, limit int) []*Descriptor {
	return s.pools[name].candidates(dst, key, hint, limit)
}

// CandidatesOfVersion is like Candidates for the endpoints whose software has a version.
func (s *Set) CandidatesOfVersion(dst []*Descriptor, name coordination.Pool, v coordination.SoftwareVersion, key Key, hint Hint, limit int) []*Descriptor {
	return s.ofVersion(name, v).candidates(dst, key, hint, limit)
}

func (p *pool) candidates(dst []*Descriptor, key Key, hint Hint, limit int) []*Descriptor {
	if p == nil || limit <= 0 {
		return dst
	}
	limit = min(limit, len(p.endpoints))
	warm := -1
	if i, ok := p.hints[hint]; ok {
		warm = i
		dst = append(dst, p.endpoints[i])
		limit--
	}
	var buf [inlineCandidates]scored
	best := buf[:0]
	if limit > len(buf) {
		best = make([]scored, 0, limit)
	}
	best = p.selectBest(best, key, warm, limit)
	for _, c := range best {
		dst = append(dst, p.endpoints[c.index])
	}
	return dst
}

// Subset appends to dst up to limit endpoints of a pool in the order in which a
// request that may run anywhere should try them: first a subset of size endpoints
// that is the same for all keys, chosen by rendezvous hashing with subsetKey and
// ordered by the request's key; then the others, ordered by subsetKey. Each router
// uses its own subsetKey, so that all endpoints are chosen equally often. If the
// subset would exceed half of the pool, the whole pool is used, which spreads
// requests more evenly.
func (s *Set) Subset(dst []*Descriptor, name coordination.Pool, subsetKey, key Key, size, limit int) []*Descriptor {
	p := s.pools[name]
	if p == nil || 2*size > len(p.endpoints) {
		return s.Candidates(dst, name, key, 0, limit)
	}
	var buf [inlineCandidates]scored
	best := buf[:0]
	if n := max(size, limit); n > len(buf) {
		best = make([]scored, 0, n)
	}
	best = p.selectBest(best, subsetKey, -1, max(size, limit))
	first := best[:size]
	for i, c := range first {
		first[i].score = p.score(mix(p.hashes[c.index], uint64(key)), c.index)
	}
	slices.SortFunc(first, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	for _, c := range best[:min(limit, len(best))] {
		dst = append(dst, p.endpoints[c.index])
	}
	return dst
}

// selectBest fills best with the limit best endpoints except skip, in order. It
// inserts into a short sorted list, since a request seldom needs more than a few
// of several hundred endpoints.
func (p *pool) selectBest(best []scored, key Key, skip, limit int) []scored {
	if limit <= 0 {
		return best
	}
	for i, h := range p.hashes {
		if i == skip {
			continue
		}
		score := p.score(mix(h, uint64(key)), i)
		if len(best) == limit {
			if score >= best[limit-1].score {
				continue
			}
			best = best[:limit-1]
		}
		at := len(best)
		for at > 0 && best[at-1].score > score {
			at--
		}
		best = append(best, scored{})
		copy(best[at+1:], best[at:])
		best[at] = scored{score: score, index: i}
	}
	return best
}

// score turns a hash into the rendezvous score of endpoint i: an exponential
// variate whose rate is the endpoint's weight, so that each endpoint has the lowest
// score in proportion to its weight. With equal weights the hash itself gives the
// same order without a logarithm.
func (p *pool) score(h uint64, i int) float64 {
	u := float64(h>>11) + 0.5
	if p.uniform {
		return -u
	}
	return -math.Log(u/(1<<53)) / p.weights[i]
}
