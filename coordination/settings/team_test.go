package settings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings"
)

const example = `[team]
priority-cap = 5
deadline-default = 2s

[model "chat"]
version = 7
load-bound = 1.5
capacity = 16
warm-wait = 20ms

[service orders]
non-idempotent = book-slot, confirm-quote
action-timeout = 3s

[actions]
retention = 12h

[accounts]
only-listed = true

[account "label-a"]
weight = 4
`

func TestParse(t *testing.T) {
	team, problems := settings.Parse("solco.ini", []byte(example))
	assert.Equal(t, len(problems), 0, "%v", problems)
	m, ok := team.Model("chat")
	assert.Assert(t, ok)
	assert.DeepEqual(t, m, settings.Model{
		Name: "chat", Version: "7", LoadBound: 1.5, Capacity: 16, Queue: 256,
		WarmWait: 20 * time.Millisecond, MaxTokens: 4096, LoadPace: 5 * time.Second, StallTimeout: 10 * time.Second,
	})
	assert.Equal(t, m.Pool(), coordination.Pool("chat@7"))
	_, ok = team.Model("other")
	assert.Assert(t, !ok)
	s, ok := team.Service("orders")
	assert.Assert(t, ok)
	assert.Assert(t, s.NonIdempotent("book-slot"))
	assert.Assert(t, !s.NonIdempotent("read"))
	assert.Equal(t, s.ActionTimeout, 3*time.Second)
	assert.Equal(t, team.Priority(9, true), coordination.Priority(5))
	assert.Equal(t, team.Priority(9, false), coordination.Priority(0))
	assert.Equal(t, team.Actions().Retention, 12*time.Hour)
	assert.Equal(t, team.Deadline(), 2*time.Second)
	assert.Equal(t, team.RetryBudget(), 0.1)
	w, allowed := team.Account("label-a")
	assert.Assert(t, allowed && w == 4)
	_, allowed = team.Account("label-b")
	assert.Assert(t, !allowed)
}

func TestEmptyTextIsAllDefaults(t *testing.T) {
	team, problems := settings.Parse("x", nil)
	assert.Equal(t, len(problems), 0)
	w, allowed := team.Account("anyone")
	assert.Assert(t, allowed && w == 1)
	assert.Equal(t, len(team.Models())+len(team.Services()), 0)
}

func TestParseProblems(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"[team]\npriority-default = 11", "t.ini:2: [team] priority-default: 11 is above the cap; write at most 10, or raise priority-cap"},
		{"[team]\npriority-cap = -1", "t.ini:1: [team] priority-default: 0 is above the cap; write at most -1, or raise priority-cap"},
		{"[actions]\nretention = 1m\nclock-skew = 40s", "t.ini:3: [actions] clock-skew: 40s is more than half of the retention; write at most 30s, or raise retention"},
		{"[model a]\nversion = a b", `t.ini:2: [model "a"] version: "a b" is not right; write letters, digits and . _ @ : / -, at most 128`},
		{"[model a]\nwarm-wait = 101ms", `t.ini:2: [model "a"] warm-wait: 101ms is out of bounds; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms`},
		{"#" + strings.Repeat("x", settings.MaxText), fmt.Sprintf("t.ini: the text has %d bytes; at most %d are allowed", settings.MaxText+1, settings.MaxText)},
	} {
		team, problems := settings.Parse("t.ini", []byte(tt.text))
		assert.Assert(t, team == nil)
		assert.Equal(t, len(problems), 1, "%v", problems)
		assert.Equal(t, problems[0].String(), tt.want)
	}
}

func ExampleDiff() {
	fmt.Print(settings.Diff("[team]\npriority-cap = 5\nretry-budget = 0.1\n", "[team]\npriority-cap = 7\nretry-budget = 0.1\n[actions]\n"))
	// Output:
	// -priority-cap = 5
	// +priority-cap = 7
	// +[actions]
}

func ExampleParse() {
	_, problems := settings.Parse("solco.ini", []byte("[model chat]\nload-bound = 0.9\nwarm-wait = 20\n"))
	for _, p := range problems {
		fmt.Println(p)
	}
	// Output:
	// solco.ini:2: [model "chat"] load-bound: 0.9 is out of bounds; write a decimal number without a unit (times the pool's mean), from 1.01 to 10
	// solco.ini:3: [model "chat"] warm-wait: "20" is not right; write a duration with a unit, as in 250ms, 30s or 24h, from 0ms to 100ms
}
