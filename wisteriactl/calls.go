package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// callStatuses are the outcomes of calls to the platform that routers log, in the order of
// the columns printed by calls.
var callStatuses = []string{"applied", "conflict", "unavailable", "throttled", "unknown", "rejected"}

// callLine holds the fields of a router's log line that calls evaluates. Status is the
// outcome of a call, or a number in lines about requests.
type callLine struct {
	Event  int             `json:"event"`
	Name   string          `json:"msg"`
	Call   string          `json:"call"`
	Status json.RawMessage `json:"status"`
	Error  string          `json:"error"`
}

// callRow counts the outcomes of one kind of call. Its name is that of the event, with the
// kind of call if the event tells it.
type callRow struct {
	Name     string         `json:"name"`
	Outcomes map[string]int `json:"outcomes"`
	Error    string         `json:"error,omitempty"` // the last one
}

func (a app) calls() *command {
	return &command{
		app: a, name: "calls", args: "< LOGS", offline: true,
		synopsis: "count from routers' logs how their calls to the platform ended, by kind, as far as events tell it",
		do: func(_ context.Context, c *command) error {
			rows, err := countCalls(c.in)
			if err != nil {
				return err
			}
			return c.show(rows, func() { c.printCalls(rows) })
		},
	}
}

func (c *command) printCalls(rows []*callRow) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\t"+strings.ToUpper(strings.Join(callStatuses, "\t"))+"\tLAST ERROR")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t", r.Name)
		for _, status := range callStatuses {
			fmt.Fprintf(w, "%d\t", r.Outcomes[status])
		}
		fmt.Fprintln(w, r.Error)
	}
	_ = w.Flush() // write errors are ignored, as for all other output
}

// countCalls counts the outcomes of calls that the lines of r tell of, in the order of the
// kinds' names.
func countCalls(r io.Reader) ([]*callRow, error) {
	rows := make(map[string]*callRow)
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var l callLine
		var status string
		if json.Unmarshal(s.Bytes()[i:], &l) != nil || l.Event == 0 || json.Unmarshal(l.Status, &status) != nil || !slices.Contains(callStatuses, status) {
			continue
		}
		name := strings.TrimSpace(l.Name + " " + l.Call)
		if rows[name] == nil {
			rows[name] = &callRow{Name: name, Outcomes: make(map[string]int)}
		}
		rows[name].Outcomes[status]++
		if l.Error != "" {
			rows[name].Error = l.Error
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *callRow) int { return strings.Compare(a.Name, b.Name) }), s.Err()
}
