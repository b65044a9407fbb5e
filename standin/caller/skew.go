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

// Skew is the ratio of the most loaded engine to the mean, from the engines'
// own view, over samples taken at equal distances.
type Skew struct {
	Samples int     `json:"samples"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Worst   float64 `json:"worst"`
	Bound   float64 `json:"bound"`
	Over    int     `json:"over"` // samples with an engine above ceil(Bound x mean)
}

// skewInterval is the time between two samples.
const skewInterval = 20 * time.Millisecond

// measureSkew reads the engines' histories of load and compares them.
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
	r.Skew = SkewOf(histories, l.start, l.stop, l.opts.Bound)
}

// SkewOf compares histories of load between two times.
func SkewOf(histories [][]engine.Sample, from, to time.Time, bound float64) *Skew {
	s := &Skew{Bound: bound}
	var ratios []float64
	for at := from; at.Before(to); at = at.Add(skewInterval) {
		highest, total := 0, 0
		for _, h := range histories {
			load := loadAt(h, at)
			highest = max(highest, load)
			total += load
		}
		if total == 0 {
			continue
		}
		mean := float64(total) / float64(len(histories))
		ratios = append(ratios, float64(highest)/mean)
		if float64(highest) > math.Ceil(bound*mean) {
			s.Over++
		}
	}
	slices.Sort(ratios)
	s.Samples = len(ratios)
	if s.Samples > 0 {
		s.P50 = ratios[s.Samples/2]
		s.P99 = ratios[s.Samples*99/100]
		s.Worst = ratios[s.Samples-1]
	}
	return s
}

// loadAt returns the load that h shows at a time, zero before its first sample.
func loadAt(h []engine.Sample, at time.Time) int {
	n := sort.Search(len(h), func(i int) bool { return h[i].At.After(at) })
	if n == 0 {
		return 0
	}
	return h[n-1].Load()
}
