package main

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Late, failed and refused requests must be countable by route, time and cause
// from the logs of all routers alone, without a request ID.
func TestLosses(t *testing.T) {
	tests := []struct {
		name string
		args []string
	}{
		{"losses", []string{"losses"}},
		{"losses-every", []string{"losses", "-every", "2s"}},
		{"losses-json", []string{"losses", "-o", "json"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logs, err := os.Open("testdata/losses.log")
			assert.NilError(t, err)
			defer func() { _ = logs.Close() }()
			var out bytes.Buffer
			code := run(t.Context(), test.args, app{in: logs, out: &out, err: &out})
			assert.Equal(t, code, exitOK)
			golden.Assert(t, out.String(), test.name+".golden")
		})
	}
}
