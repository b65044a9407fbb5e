package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attemptLines returns the log lines of an attempt that was sent at a time, in
// milliseconds, and has ended 10 ms later.
func attemptLines(request string, sent int, rest string) string {
	at := func(ms int) string {
		return historyStart.Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	}
	return fmt.Sprintf(`{"event":806,"request":%q,"attempt":1,"endpoint":"e1","time":%q}
{"event":800,"request":%q,"attempt":1,"endpoint":"e1","time":%q,%s}
`, request, at(sent), request, at(sent+10), rest)
}

// Guards against a soak that does not notice requests to endpoints that leave or pause.
func TestUnheeded(t *testing.T) {
	const leaves, pauses, served = `"leaving":true`, `"asked-pause-ms":3000`, `"ended":"delivered"`
	for _, test := range []struct {
		name string
		log  string
		want string
	}{
		{"leaves", attemptLines("a", 0, leaves) + attemptLines("b", 2500, served), "leaves"},
		{"leaves, in time", attemptLines("a", 0, leaves) + attemptLines("b", 1900, served), ""},
		{"leaves, held back", attemptLines("a", 0, leaves) + attemptLines("b", 2500, `"ended":"withheld"`), ""},
		{"leaves, restarted", attemptLines("a", 0, leaves) + `{"event":100}` + "\n" + attemptLines("b", 2500, served), ""},
		{"pauses", attemptLines("a", 0, pauses) + attemptLines("b", 600, served) + attemptLines("c", 700, served) + attemptLines("d", 800, served), "pause"},
		{"pauses, two", attemptLines("a", 0, pauses) + attemptLines("b", 600, served) + attemptLines("c", 700, served), ""},
		{"pauses, over", attemptLines("a", 0, pauses) + attemptLines("b", 3100, served) + attemptLines("c", 3200, served) + attemptLines("d", 3300, served), ""},
	} {
		found, err := unheeded(strings.NewReader(test.log))
		assert.NilError(t, err)
		assert.Equal(t, len(found) > 0, test.want != "", "%s: %q", test.name, found)
		assert.Assert(t, strings.Contains(strings.Join(found, ""), test.want), "%s: %q", test.name, found)
	}
}
