package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const settingsPage = "../docs/SETTINGS.md"

// Scripts rely on the documented exit codes, so the page must list those of the
// program.
func TestExitCodesMatchDocumentation(t *testing.T) {
	var b strings.Builder
	b.WriteString("| code | meaning |\n| --- | --- |\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "| %d | %s |\n", e.code, e.meaning)
	}
	data, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	before, after, found := strings.Cut(string(data), "## Exit codes of wisteriactl\n\n")
	assert.Assert(t, found)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(before+"## Exit codes of wisteriactl\n\n"+b.String()), 0o644))
		return
	}
	assert.Equal(t, after, b.String())
}
