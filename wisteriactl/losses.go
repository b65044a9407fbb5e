package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// lossCauses are the reasons why a request was not answered completely and on
// time, in the order of the columns printed by losses.
var lossCauses = []string{
	"late-waiting", // over half of the time to the first byte was spent waiting for placement
	"late-moved",   // a previous attempt failed or received no response
	"late-endpoint",
	"late-pause",
	"endpoint-failed", // with an error status returned by the endpoint
	"broke-off",
	"refused", // not executed: 503, 429
	"router-failed",
	"caller-left",
	"unfinished", // the log has no outcome because the router terminated
}

// lossRow counts the requests of one route or one time interval.
type lossRow struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	OnTime   int            `json:"on-time"`
	Lost     map[string]int `json:"lost"`
}

func (a app) losses() *command {
	var every time.Duration
	return &command{
		app: a, name: "losses", args: "< LOGS", offline: true,
		synopsis: "count from routers' logs what was late, failed or refused, by route or by time, and for what reason",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&every, "every", 0, "a row for each `span` of time in place of one for each route")
		},
		do: func(_ context.Context, c *command) error {
			lines, err := readLines(c.in)
			if err != nil {
				return err
			}
			rows := countLosses(lines, every)
			return c.show(rows, func() { c.printLosses(rows) })
		},
	}
}

func (c *command) printLosses(rows []*lossRow) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\trequests\ton-time\t"+strings.Join(lossCauses, "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t", r.Name, r.Requests, r.OnTime)
		for _, name := range lossCauses {
			fmt.Fprintf(w, "%d\t", r.Lost[name])
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // write errors are ignored, as for all other output
}

// countLosses counts requests by route, or by time intervals of length every if
// it is not zero. The last row is the total.
func countLosses(lines []logLine, every time.Duration) []*lossRow {
	byRequest := make(map[string][]logLine)
	var order []string
	for _, l := range lines {
		if l.Request == "" || !l.placed() && !l.attempted() && !l.refused() && !l.callerGone() && l.Event != eventRelayCut {
			continue
		}
		if byRequest[l.Request] == nil {
			order = append(order, l.Request)
		}
		byRequest[l.Request] = append(byRequest[l.Request], l)
	}
	rows := make(map[string]*lossRow)
	all := &lossRow{Name: "all", Lost: make(map[string]int)}
	for _, id := range order {
		requestLines := byRequest[id]
		name := requestLines[0].rowName(lines[0].Time, every)
		if rows[name] == nil {
			rows[name] = &lossRow{Name: name, Lost: make(map[string]int)}
		}
		rows[name].add(requestLines)
		all.add(requestLines)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *lossRow) int { return strings.Compare(a.Name, b.Name) })
	return append(sorted, all)
}

// rowName returns the name of the row that counts the request whose first line is
// l.
func (l logLine) rowName(start time.Time, every time.Duration) string {
	if every > 0 {
		return fmt.Sprintf("%08.1fs", l.Time.Sub(start).Truncate(every).Seconds())
	}
	if l.Route == "" {
		return "none"
	}
	return l.Route
}

func (r *lossRow) add(requestLines []logLine) {
	r.Requests++
	if cause := lossCause(requestLines); cause != "" {
		r.Lost[cause]++
		return
	}
	r.OnTime++
}

// lossCause returns the reason why a request was not answered completely and on
// time, or "" if it was or if the caller's request was at fault.
func lossCause(requestLines []logLine) string {
	last := requestLines[len(requestLines)-1]
	waited := int64(0)
	for _, l := range requestLines {
		waited += l.PlaceMs
	}
	switch {
	case last.callerGone():
		return "caller-left"
	case last.Event == eventRelayCut:
		return "broke-off"
	case last.refused() && (last.Status == 503 || last.Status == 429):
		return "refused"
	case last.refused() && last.Status >= 500:
		return "router-failed"
	case last.refused():
		return "" // caused by the caller's request
	case last.placed():
		return "unfinished"
	case last.Ended == "cut" || last.Ended == "broken":
		return "broke-off"
	case last.Status >= 500:
		return "endpoint-failed"
	case last.Late == "pause":
		return "late-pause"
	case last.Late == "":
		return ""
	case 2*waited > cmp.Or(last.FirstMs, last.Ms):
		return "late-waiting"
	case last.Attempt > 1:
		return "late-moved"
	default:
		return "late-endpoint"
	}
}
