package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings"
)

// routerStatus is the status reported by a router.
type routerStatus struct {
	Instance    coordination.Instance    `json:"instance"`
	Incarnation coordination.Incarnation `json:"incarnation"`
	Zone        coordination.Zone        `json:"availability_zone"`
	State       string                   `json:"state"`
	Started     time.Time                `json:"started"`
	InFlight    int                      `json:"in_flight"`
	Platform    struct {
		Watching       bool  `json:"watching"`
		ConfirmedMsAgo int64 `json:"confirmed_ms_ago"`
	} `json:"platform"`
	Peers []struct {
		Instance coordination.Instance `json:"instance"`
		Zone     coordination.Zone     `json:"availability_zone"`
		State    string                `json:"state"`
	} `json:"peers"`
	Endpoints []struct {
		Endpoint coordination.Endpoint `json:"endpoint"`
		Pool     coordination.Pool     `json:"pool"`
		Zone     coordination.Zone     `json:"availability_zone"`
		State    string                `json:"state"`
		Running  int                   `json:"running"`
		Capacity int                   `json:"capacity"`
		Owner    coordination.Instance `json:"owner,omitempty"`
	} `json:"endpoints"`
	Settings []settings.TeamStatus `json:"settings"`
	Calls    []struct {
		Call      string `json:"call"`
		Problem   string `json:"problem"`
		Succeeded int    `json:"succeeded"`
		Failed    int    `json:"failed"`
		Rejected  int    `json:"rejected"`
		FailingMs int64  `json:"failing_ms"`
	} `json:"calls"`
}

func (a app) status() *command {
	return &command{
		app: a, name: "status",
		synopsis: "print the state of a router, its peers, endpoints and settings",
		do: func(ctx context.Context, c *command) error {
			var s routerStatus
			if err := c.client.call(ctx, http.MethodGet, "/operator/v1/status", nil, &s); err != nil {
				return err
			}
			return c.show(s, func() { c.printStatus(s) })
		},
	}
}

func (c *command) printStatus(s routerStatus) {
	c.printf("router %s  availability zone %s  %s since %s  %d in flight\n", s.Instance, s.Zone, s.State, s.Started.Format(time.RFC3339), s.InFlight)
	confirmed := fmt.Sprintf("confirmed %v ago", time.Duration(s.Platform.ConfirmedMsAgo)*time.Millisecond)
	if s.Platform.ConfirmedMsAgo < 0 {
		confirmed = "never confirmed"
	}
	c.printf("platform %s  watching %v\n", confirmed, s.Platform.Watching)
	c.table("PEER\tZONE\tSTATE", len(s.Peers), func(w io.Writer, i int) {
		p := s.Peers[i]
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.Instance, p.Zone, p.State)
	})
	c.table("ENDPOINT\tPOOL\tZONE\tSTATE\tRUNNING\tCAPACITY\tOWNER", len(s.Endpoints), func(w io.Writer, i int) {
		e := s.Endpoints[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Endpoint, e.Pool, e.Zone, e.State, e.Running, e.Capacity, e.Owner)
	})
	c.table("TEAM\tREVISION\tSINCE\tREFUSED", len(s.Settings), func(w io.Writer, i int) {
		t := s.Settings[i]
		refused := "-"
		if t.Refused != nil {
			refused = fmt.Sprintf("revision %d: %s", t.Refused.Revision, t.Refused.Verdict)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", t.Team, t.Position.Revision, t.Since.Format(time.RFC3339), refused)
	})
	c.table("CALL\tPROBLEM\tSUCCEEDED\tFAILED\tREJECTED\tFAILING FOR", len(s.Calls), func(w io.Writer, i int) {
		x := s.Calls[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\n", x.Call, x.Problem, x.Succeeded, x.Failed, x.Rejected, time.Duration(x.FailingMs)*time.Millisecond)
	})
}

// table prints a header and n rows. It prints nothing if n is zero.
func (c *command) table(header string, n int, row func(w io.Writer, i int)) {
	if n == 0 {
		return
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for i := range n {
		row(w, i)
	}
	_ = w.Flush()
}
