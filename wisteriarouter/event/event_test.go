package event_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriaspool/wisteriarouter/event"
)

const eventsPage = "../../docs/EVENTS.md"

// Operators look up the numbers of alerts on the page, so it must hold exactly
// the rows of the catalogue. Run the test with WISTERIA_UPDATE=1 to regenerate
// the page.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of a router carries `event`, one of these numbers. A test holds\nthis page and package event together.\n\n")
	b.WriteString("| number | name | level | meaning, and what to do |\n| --- | --- | --- | --- |\n")
	for _, k := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", k.Number, k.Name, k.Level, k.Help)
	}
	if os.Getenv("WISTERIA_UPDATE") != "" {
		assert.NilError(t, os.WriteFile(eventsPage, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(eventsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), b.String())
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	last := event.Number(0)
	for _, k := range event.Catalogue() {
		assert.Assert(t, k.Number > last, "%d is not in order", k.Number)
		assert.Assert(t, !names[k.Name], "%s is listed twice", k.Name)
		last = k.Number
		names[k.Name] = true
	}
}

func TestCatalogueIsComplete(t *testing.T) {
	assert.Equal(t, len(declaredKinds(t)), len(event.Catalogue()))
}

// declaredKinds returns the names of the kinds that catalogue.go declares.
func declaredKinds(t *testing.T) []string {
	f, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	assert.NilError(t, err)
	var names []string
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.VAR {
			continue
		}
		for _, spec := range g.Specs {
			names = append(names, spec.(*ast.ValueSpec).Names[0].Name)
		}
	}
	return names
}

func TestEmit(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	event.NewLog(logger).Emit(event.Started, event.F("instance", "r1"))
	assert.Equal(t, out.String(), `{"event":100,"instance":"r1","level":"info","msg":"started"}`+"\n")
	event.Log{}.Emit(event.Started)
}

// The page would otherwise document events that the router never logs.
func TestEveryEventIsEmitted(t *testing.T) {
	var code strings.Builder
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		code.Write(text)
	}
	for _, name := range declaredKinds(t) {
		used := regexp.MustCompile(`(event\.|\bwrite\()` + name + `\b`).MatchString(code.String())
		assert.Check(t, used, "nothing emits %s", name)
	}
}
