package schema_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/settings/schema"
)

var table = schema.Schema{
	{Name: "server", Doc: "The server.", Keys: []schema.Key{
		{Name: "listen", Kind: schema.Address, Default: "127.0.0.1:0", Doc: "Where it listens."},
		{Name: "seeds", Kind: schema.Addresses, Doc: "Peers to start from."},
		{Name: "platform", Kind: schema.URL, Default: "http://127.0.0.1:2379", Doc: "The platform."},
		{Name: "wait", Kind: schema.Duration, Default: "50ms", Min: "0ms", Max: "100ms", Doc: "How long."},
		{Name: "limit", Kind: schema.Size, Default: "1MiB", Min: "1B", Doc: "How much."},
		{Name: "open", Kind: schema.Boolean, Default: "true", Doc: "Whether."},
	}},
	{Name: "model", Named: true, Doc: "A model.", Keys: []schema.Key{
		{Name: "bound", Kind: schema.Number, Unit: "times the mean", Default: "1.25", Min: "1", Max: "10", Doc: "Load."},
		{Name: "slots", Kind: schema.Integer, Unit: "requests", Required: true, Min: "1", Doc: "Slots."},
		{Name: "tags", Kind: schema.Names, Doc: "Tags."},
		{Name: "title", Kind: schema.Text, Doc: "A title."},
	}},
}

func TestParse(t *testing.T) {
	text := "\ufeff# comment\r\n[server] ; the [one]\r\nwait = 25ms # short\r\n\r\n[model \"a.b\"]\r\nslots=4\r\ntags = x, y\r\ntitle = \"a = b; c\"\r\n[model c]\nslots = 2\n"
	f, problems := table.Parse("f.ini", []byte(text))
	assert.Equal(t, len(problems), 0, "%v", problems)
	server := f.Section("server")
	assert.Equal(t, server.Duration("wait"), 25*time.Millisecond)
	assert.Equal(t, server.Int("limit"), 1<<20)
	assert.Equal(t, server.Text("listen"), "127.0.0.1:0")
	assert.Equal(t, server.Bool("open"), true)
	assert.Equal(t, server.IsSet("open"), false)
	models := f.Named("model")
	assert.Equal(t, len(models), 2)
	assert.Equal(t, models[0].Name, "a.b")
	assert.DeepEqual(t, models[0].List("tags"), []string{"x", "y"})
	assert.Equal(t, models[0].Text("title"), "a = b; c")
	assert.Equal(t, models[1].Float("bound"), 1.25)
	assert.Equal(t, models[1].Int("slots"), 2)
}

func TestProblems(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"wait = 1ms", `f.ini:1: "wait" is outside any section; known sections are [server], [model "name"]`},
		{"[server]\nwat = 1ms", "f.ini:2: [server] wat: unknown key; known are listen, seeds, platform, wait, limit, open"},
		{"[server]\nwait = 10", `f.ini:2: [server] wait: "10" is not right; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms`},
		{"[server]\nwait = 0", `f.ini:2: [server] wait: "0" is not right; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms`},
		{"[server]\nwait = 1s", "f.ini:2: [server] wait: 1s is out of bounds; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms"},
		{"[server]\nwait =", `f.ini:2: [server] wait: "" is not right; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms`},
		{"[server]\nlimit = 10", `f.ini:2: [server] limit: "10" is not right; write a whole number with B, KiB, MiB or GiB, as in 64KiB, at least 1B`},
		{"[server]\nlimit = 10MB", `f.ini:2: [server] limit: "10MB" is not right; write a whole number with B, KiB, MiB or GiB, as in 64KiB, at least 1B`},
		{"[server]\nopen = yes", `f.ini:2: [server] open: "yes" is not right; write true or false`},
		{"[server]\nlisten = 1.2.3.4", `f.ini:2: [server] listen: "1.2.3.4" is not right; write host:port, as in 10.0.0.7:8080`},
		{"[server]\nplatform = x:1", `f.ini:2: [server] platform: "x:1" is not right; write an absolute URL, as in http://10.0.0.9:2379`},
		{"[server]\nwait: 1ms", `f.ini:2: [server]: "wait: 1ms" is neither a section nor a key; write key = value`},
		{"[server]\nwait = 1ms\nwait = 2ms", "f.ini:3: [server] wait: the key is already set at line 2"},
		{"[server]\n[server]", "f.ini:2: [server]: the section is already defined at line 1; write its keys there"},
		{"[server x]", "f.ini:1: [server]: the section takes no name; write [server]"},
		{"[model]", `f.ini:1: [model]: the section needs a name: [model "name"]`},
		{"[model \"a b\"]", `f.ini:1: [model "a b"]: "a b" is not a valid name; use letters, digits and . _ @ : / -, at most 128`},
		{"[model a]\nslots = 4ms", `f.ini:2: [model "a"] slots: "4ms" is not right; write a whole number without a unit (requests), at least 1`},
		{"[model a]\nslots = 1\nbound = NaN", `f.ini:3: [model "a"] bound: "NaN" is not right; write a decimal number without a unit (times the mean), from 1 to 10`},
		{"[model a]", `f.ini:1: [model "a"] slots: the key is missing; write a whole number without a unit (requests), at least 1`},
		{"[model a]\nslots = 1\ntags = a,,b", `f.ini:3: [model "a"] tags: "a,,b" is not right; write names separated by commas`},
		{"[model a]\nslots = 1\ntitle = \"\"\"a", `f.ini:3: [model "a"] title: a value must be on one line, plain or in double quotes`},
		{"[models]\nx = 1", `f.ini:1: [models]: unknown section; known are [server], [model "name"]`},
		{"[server", `f.ini:1: [server is not a section header; write [section] or [section "name"]`},
		{"[server]\nwait = \xff", "f.ini:2: [server]: the line is not UTF-8 text"},
	} {
		f, problems := table.Parse("f.ini", []byte(tt.text))
		assert.Assert(t, f == nil, tt.text)
		assert.Equal(t, len(problems), 1, "%q: %v", tt.text, problems)
		assert.Equal(t, problems[0].String(), tt.want)
	}
}

// All problems must be reported at once. If only the first one were, an operator
// would need one attempt per problem.
func TestAllProblemsAtOnce(t *testing.T) {
	text := "[server]\nwait = 1\nopen = maybe\n[nothing]\na = 1\n[model m]\nbound = 11\n"
	_, problems := table.Parse("f.ini", []byte(text))
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, fmt.Sprint(p.Line, " ", p.Key))
	}
	assert.Equal(t, strings.Join(lines, ";"), "2 wait;3 open;4 ;6 slots;7 bound")
}

func TestMarkdownNamesEveryKey(t *testing.T) {
	page := table.Markdown(2)
	for _, sec := range table {
		for _, k := range sec.Keys {
			assert.Assert(t, strings.Contains(page, "| `"+k.Name+"` |"), k.Name)
		}
	}
	assert.Assert(t, strings.Contains(page, "## `[model \"name\"]`"))
}

// The scanner finds the lines and the INI library the values. If they interpreted
// a line differently, a setting would silently get another value or none.
func FuzzParse(f *testing.F) {
	f.Add("[server]\nwait = 1ms\n")
	f.Add("[model \"x\"]\nslots = 1\ntitle = 'a' ; b\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, problems := table.Parse("f.ini", []byte(text))
		assert.Equal(t, file == nil, len(problems) > 0)
	})
}
