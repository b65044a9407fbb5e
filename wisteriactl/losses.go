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

// The causes for which a request is not answered in full and on time, in the
// order in which losses prints them.
var lossCauses = []string{
	"late-waiting", // most of the time to its first byte it waited for a place
	"late-moved",   // an attempt before had failed, or met silence
	"late-endpoint",
	"late-pause",
	"endpoint-failed", // with a status of the endpoint's own
	"broke-off",
	"refused", // not run: 503, 429
	"router-failed",
	"caller-left",
	"unfinished", // no line tells of its end: its router has died
}

// lossRow counts the requests of one route, or of one span of time.
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
	_ = w.Flush() // as with all other output, nobody is told if it cannot be written
}

// countLosses counts requests by route, or by spans of time if every is not zero,
// and in all.
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

// rowName returns the row in which a request counts that begins with l.
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

// lossCause returns for what reason the request of these lines was not answered
// in full and on time, or "" if it was.
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
		return "" // the caller's own mistake
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
