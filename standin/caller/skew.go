package caller

import (
	"context"
	"math"
	"net/url"
	"slices"
	"sort"
	"time"

	"wisteriaspool/standin/engine"
)

// Skew describes the ratio of the highest engine load to the mean, sampled at
// regular intervals from the load that the engines themselves recorded.
type Skew struct {
	Samples     int     `json:"samples"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	Worst       float64 `json:"worst"`
	Bound       float64 `json:"bound"`
	SamplesOver int     `json:"over"` // samples with an engine above ceil(Bound x mean)

	// Placements counts the requests that engines accepted, and PlacementsOver
	// those that raised the load of their engine above ceil(Bound x mean). A
	// sample can also exceed the bound because load on other engines ends, which
	// no placement can prevent.
	Placements     int `json:"placements"`
	PlacementsOver int `json:"placements_over"`
	MaxExcess      int `json:"most_over"` // maximum number of requests above the bound after a placement
}

// skewInterval is the time between two samples of the skew.
const skewInterval = 20 * time.Millisecond

// measureSkew reads the load histories of the engines and stores their skew in r.
func (l *load) measureSkew(ctx context.Context, r *Report) {
	if len(l.opts.Engines) == 0 {
		return
	}
	var histories [][]engine.Sample
	for _, base := range l.opts.Engines {
		var stats engine.Stats
		since := url.QueryEscape(l.start.Format(time.RFC3339Nano))
		if err := getJSON(ctx, l.opts.HTTP, base+"/admin/stats?since="+since, &stats); err != nil {
			r.Unchecked = append(r.Unchecked, err.Error())
			return
		}
		histories = append(histories, stats.History)
	}
	r.Skew = ComputeSkew(histories, l.start, l.stop, l.opts.LoadBound)
}

// ComputeSkew computes the skew of load histories between two times. Bound is the
// permitted ratio of an engine's load to the mean.
func ComputeSkew(histories [][]engine.Sample, from, to time.Time, bound float64) *Skew {
	s := &Skew{Bound: bound}
	var ratios []float64
	for at := from; at.Before(to); at = at.Add(skewInterval) {
		highest, mean := loadsAt(histories, at)
		if highest == 0 {
			continue
		}
		ratios = append(ratios, float64(highest)/mean)
		if exceeds(highest, mean, bound) {
			s.SamplesOver++
		}
	}
	s.countPlacements(histories)
	slices.Sort(ratios)
	s.Samples = len(ratios)
	if s.Samples > 0 {
		s.P50 = ratios[s.Samples/2]
		s.P99 = ratios[s.Samples*99/100]
		s.Worst = ratios[s.Samples-1]
	}
	return s
}

// countPlacements counts each increase of an engine's load as a placement.
func (s *Skew) countPlacements(histories [][]engine.Sample) {
	for _, h := range histories {
		for i := 1; i < len(h); i++ {
			if h[i].Load() <= h[i-1].Load() {
				continue
			}
			s.Placements++
			_, mean := loadsAt(histories, h[i].At)
			if exceeds(h[i].Load(), mean, s.Bound) {
				s.PlacementsOver++
				s.MaxExcess = max(s.MaxExcess, h[i].Load()-int(math.Ceil(s.Bound*mean)))
			}
		}
	}
}

func exceeds(load int, mean, bound float64) bool { return float64(load) > math.Ceil(bound*mean) }

// loadsAt returns the highest and the mean load at a time, over the engines that
// accept new work at that time.
func loadsAt(histories [][]engine.Sample, at time.Time) (highest int, mean float64) {
	total, live := 0, 0
	for _, h := range histories {
		s := sampleAt(h, at)
		if s.State != engine.Live {
			continue
		}
		live++
		highest = max(highest, s.Load())
		total += s.Load()
	}
	return highest, float64(total) / float64(max(live, 1))
}

// sampleAt returns the sample in effect at a time, or the zero Sample before the
// first one.
func sampleAt(h []engine.Sample, at time.Time) engine.Sample {
	n := sort.Search(len(h), func(i int) bool { return h[i].At.After(at) })
	if n == 0 {
		return engine.Sample{}
	}
	return h[n-1]
}
