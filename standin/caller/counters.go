package caller

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Rate is the increase per second of a router metric during the load.
type Rate struct {
	Name    string  `json:"name"`
	Routers int     `json:"routers"` // routers that responded before and after the load
	Mean    float64 `json:"mean"`    // mean per-second rate over the routers
	Highest float64 `json:"highest"` // highest per-second rate of a single router
}

// counterValues holds the sums of the selected metrics of one router, by name.
type counterValues map[string]float64

// readCounters reads the selected metrics of each router. Routers that do not
// respond are omitted.
func (l *load) readCounters(ctx context.Context) map[string]counterValues {
	out := make(map[string]counterValues)
	if len(l.opts.Counters) == 0 {
		return out
	}
	urls := l.opts.Metrics
	if len(urls) == 0 {
		urls = l.opts.Routers
	}
	for _, router := range urls {
		if values, ok := l.readMetrics(ctx, router); ok {
			out[router] = values
		}
	}
	return out
}

func (l *load) readMetrics(ctx context.Context, router string) (counterValues, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, router+"/metrics", nil)
	if err != nil {
		return nil, false
	}
	res, err := l.opts.HTTP.Do(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	values := make(counterValues)
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, value, ok := parseSample(lines.Text())
		if !ok {
			continue
		}
		for _, chosen := range l.opts.Counters {
			if matches(chosen, name) {
				values[chosen] += value
			}
		}
	}
	return values, lines.Err() == nil && res.StatusCode == http.StatusOK
}

// parseSample parses a line of the Prometheus text format without a timestamp.
func parseSample(line string) (string, float64, bool) {
	cut := strings.LastIndexByte(line, ' ')
	if cut < 0 || strings.HasPrefix(line, "#") {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(line[cut+1:], 64)
	return line[:cut], value, err == nil
}

// matches reports whether a sample, given by its name and labels, belongs to the
// selected metric and carries the selected label, if there is one.
func matches(chosen, sample string) bool {
	wantName, wantLabel, _ := strings.Cut(chosen, "{")
	name, labels, _ := strings.Cut(sample, "{")
	return name == wantName && strings.Contains(labels, strings.TrimSuffix(wantLabel, "}"))
}

// rates computes the rates from the values before and after the load.
func (l *load) rates(before, after map[string]counterValues, seconds float64) []Rate {
	var out []Rate
	for _, name := range l.opts.Counters {
		r := Rate{Name: name}
		for router, start := range before {
			end, ok := after[router]
			if !ok {
				continue
			}
			rate := (end[name] - start[name]) / seconds
			r.Routers++
			r.Mean += rate
			r.Highest = max(r.Highest, rate)
		}
		if r.Routers > 0 {
			r.Mean /= float64(r.Routers)
		}
		out = append(out, r)
	}
	return out
}
