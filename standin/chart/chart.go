// Package chart draws charts from the output of go test -bench.
package chart

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ErrNoData is returned if no result matches the Spec of a chart.
var ErrNoData = errors.New("chart: no matching results")

// Result is one line of benchmark output.
type Result struct {
	Name   string             // benchmark name without parameters
	Params map[string]string  // parameters, such as routers=7
	Values map[string]float64 // values by unit, such as sent-B/s
}

// Read parses the benchmark results in r and ignores all other lines. It returns
// an error if reading fails.
func Read(r io.Reader) ([]Result, error) {
	var all []Result
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if res, ok := parse(lines.Text()); ok {
			all = append(all, res)
		}
	}
	return all, lines.Err()
}

// parse parses a line such as "BenchmarkFleet/routers=7-12  1  88.5 sent-B/s".
func parse(line string) (Result, bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return Result{}, false
	}
	res := Result{Params: make(map[string]string), Values: make(map[string]float64)}
	res.setName(fields[0])
	for i := 2; i+1 < len(fields); i += 2 {
		if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
			res.Values[fields[i+1]] = v
		}
	}
	return res, true
}

// setName splits the full name of a benchmark into its name and parameters. The
// part after the last dash is GOMAXPROCS and is dropped.
func (r *Result) setName(full string) {
	if i := strings.LastIndexByte(full, '-'); i > 0 {
		full = full[:i]
	}
	parts := strings.Split(full, "/")
	r.Name = strings.TrimPrefix(parts[0], "Benchmark")
	for i, p := range parts[1:] {
		key, value, ok := strings.Cut(p, "=")
		if !ok {
			key, value = fmt.Sprintf("part%d", i+1), p
		}
		r.Params[key] = value
	}
}

// Spec describes a chart: the unit Y plotted over the parameter X, with one line
// for each value of the parameter By.
type Spec struct {
	Title  string
	Name   string // benchmark name
	X, Y   string
	By     string
	Limit  float64 // if positive, drawn as a horizontal line
	Legend string  // label of the limit line
}

// Draw draws the results that match s. It returns ErrNoData if there are none.
func Draw(all []Result, s Spec) (*plot.Plot, error) {
	series := make(map[string]plotter.XYs)
	for _, r := range all {
		x, err := strconv.ParseFloat(r.Params[s.X], 64)
		y, ok := r.Values[s.Y]
		if r.Name != s.Name || err != nil || !ok {
			continue
		}
		series[r.Params[s.By]] = append(series[r.Params[s.By]], plotter.XY{X: x, Y: y})
	}
	if len(series) == 0 {
		return nil, fmt.Errorf("%w: %s over %s", ErrNoData, s.Y, s.X)
	}
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.X
	p.Y.Label.Text = s.Y
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	return p, s.addLines(p, series)
}

// addLines adds the lines to the plot, in order of their names.
func (s Spec) addLines(p *plot.Plot, series map[string]plotter.XYs) error {
	var lines []any
	for _, name := range slices.Sorted(maps.Keys(series)) {
		points := series[name]
		slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		lines = append(lines, s.label(name), points)
	}
	if s.Limit > 0 {
		lines = append(lines, s.Legend, plotter.XYs{{Y: s.Limit}, {X: s.maxX(series), Y: s.Limit}})
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return plotutil.AddLinePoints(p, lines...)
}

func (s Spec) label(name string) string {
	if s.By == "" {
		return s.Y
	}
	return s.By + "=" + name
}

func (s Spec) maxX(series map[string]plotter.XYs) float64 {
	most := 0.0
	for _, points := range series {
		for _, p := range points {
			most = max(most, p.X)
		}
	}
	return most
}

// The size of a saved chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Save writes the chart to a file whose extension, such as .svg, determines the
// format.
func Save(p *plot.Plot, file string) error { return p.Save(width, height, file) }
