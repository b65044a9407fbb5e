package chart_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/standin/chart"
)

const output = `goos: linux
BenchmarkFleet/routers=7/rate=0-12   1   688.1 sent-B/s   0.99 %core
BenchmarkFleet/routers=15/rate=0-12  1   600.9 sent-B/s   1.03 %core
BenchmarkFleet/routers=7/rate=2-12   1  1079 sent-B/s
BenchmarkOther/plain-12              5   12 ns/op
PASS
`

func TestReadAndDraw(t *testing.T) {
	all, err := chart.Read(strings.NewReader(output))
	assert.NilError(t, err)
	assert.Equal(t, len(all), 4)
	assert.DeepEqual(t, all[0].Params, map[string]string{"routers": "7", "rate": "0"})
	assert.Equal(t, all[0].Values["%core"], 0.99)
	p, err := chart.Draw(all, chart.Spec{Title: "t", Name: "Fleet", X: "routers", Y: "sent-B/s", By: "rate", Limit: 25000, Legend: "limit"})
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "chart.svg")
	assert.NilError(t, chart.Save(p, file))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), "rate=2"))
}

func TestNothingToDraw(t *testing.T) {
	_, err := chart.Draw(nil, chart.Spec{Name: "Fleet", X: "routers", Y: "sent-B/s"})
	assert.ErrorIs(t, err, chart.ErrNoData)
}
