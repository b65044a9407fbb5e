package settings_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriaspool/coordination/settings"
)

const (
	page  = "../../docs/SETTINGS.md"
	begin = "<!-- begin: made from coordination/settings by go test -update -->\n"
	end   = "<!-- end -->"
)

// The reference on the page for operators must match the schema. With -update the
// test rewrites it.
func TestPageMatchesSchema(t *testing.T) {
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(data), begin)
	assert.Assert(t, found)
	reference, after, found := strings.Cut(rest, end)
	assert.Assert(t, found)
	want := "\n" + settings.Schema.Markdown(3) + "\n"
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, []byte(before+begin+want+end+after), 0o644))
		return
	}
	assert.Equal(t, reference, want)
}

// The example on the page must be valid, since new users copy it.
func TestPageExample(t *testing.T) {
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(data), "```ini\n")
	example, _, found := strings.Cut(rest, "```")
	assert.Assert(t, found)
	_, problems := settings.Parse("page", []byte(example))
	assert.Equal(t, len(problems), 0, "%v", problems)
}
