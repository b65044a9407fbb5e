package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/lo"

	"wisteriaspool/coordination"
)

// placementPreview is where a router would place a request.
type placementPreview struct {
	Route        string                `json:"route"`
	Pool         coordination.Pool     `json:"pool"`
	Key          string                `json:"key"`
	Candidates   []previewCandidate    `json:"candidates"`
	Endpoint     coordination.Endpoint `json:"endpoint,omitempty"`
	Code         string                `json:"code,omitempty"`
	RetryAfterMs int64                 `json:"retry_after_ms,omitempty"`
	Explanation  string                `json:"explanation"`
}

// previewCandidate is an endpoint that the router would ask for.
type previewCandidate struct {
	Endpoint coordination.Endpoint `json:"endpoint"`
	Zone     coordination.Zone     `json:"availability_zone"`
	Owner    coordination.Instance `json:"owner,omitempty"`
	Rank     int                   `json:"rank"`
	Cached   bool                  `json:"cached"`
	Skip     string                `json:"skip,omitempty"`
	Answer   string                `json:"answer,omitempty"`
	Final    bool                  `json:"final,omitempty"`
	Decision string                `json:"decision,omitempty"`
	Code     string                `json:"code,omitempty"`
	State    *previewState         `json:"state,omitempty"`
}

// previewState is the state of an endpoint at its owner.
type previewState struct {
	Load          int    `json:"load"`
	Bound         int    `json:"bound"`
	Capacity      int    `json:"capacity"`
	Queue         int    `json:"queue"`
	WaitMs        int64  `json:"wait_ms"`
	Cold          bool   `json:"cold"`
	SumsAgeMs     *int64 `json:"sums_age_ms,omitempty"`
	Pace          int    `json:"pace"`
	Measured      int    `json:"measured_limit"`
	EstimateAgeMs int64  `json:"estimate_age_ms"`
}

func (a app) preview() *command {
	query := make(map[string]*string)
	asJSON := false
	return &command{
		app: a, name: "preview", args: "-host H -path P [-account A] [-part ID:TOKENS,...] [-request ID]",
		synopsis: "print where a router would place a request now, and why, without sending it",
		flags: func(f *flag.FlagSet) {
			query["host"] = f.String("host", "", "`host` of the request")
			query["path"] = f.String("path", "", "`path` of the request")
			query["account"] = f.String("account", "", "name of the client `account`")
			query["parts"] = f.String("part", "", "`parts` of the prompt as ID:TOKENS, separated by commas")
			query["request"] = f.String("request", "", "`ID` of the request")
			f.BoolVar(&asJSON, "json", false, "the same as -o json")
		},
		do: func(ctx context.Context, c *command) error {
			switch {
			case *query["host"] == "":
				return errUsage.New("-host is missing: say to which host the request goes")
			case *query["path"] == "":
				return errUsage.New("-path is missing: say which path it has")
			}
			if asJSON {
				c.format = formatJSON
			}
			v := url.Values{}
			for name, value := range query {
				if *value != "" {
					v.Set(name, *value)
				}
			}
			var p placementPreview
			if err := c.client.call(ctx, http.MethodGet, "/operator/v1/placement?"+v.Encode(), nil, &p); err != nil {
				return err
			}
			return c.show(p, func() { c.printPreview(p) })
		},
	}
}

func (c *command) printPreview(p placementPreview) {
	c.printf("route %s  pool %s  key %s\n", p.Route, p.Pool, lo.CoalesceOrEmpty(p.Key, "-"))
	c.table("RANK\tENDPOINT\tZONE\tOWNER\tCACHED\tDECISION\tCODE\tLOAD\tBOUND\tCAPACITY\tPACE\tMEASURED\tQUEUE\tWAIT\tCOLD\tSUMS AGE", len(p.Candidates), func(w io.Writer, i int) {
		x := p.Candidates[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\t%s\t%s\n", x.Rank, x.Endpoint, x.Zone, lo.CoalesceOrEmpty(x.Owner, "-"), x.Cached, x.decision(), lo.CoalesceOrEmpty(x.Code, "-"), x.State.columns())
	})
	c.printf("%s\n", p.Explanation)
	if p.RetryAfterMs > 0 {
		c.printf("refused with %s, Retry-After %v\n", p.Code, time.Duration(p.RetryAfterMs)*time.Millisecond)
	}
}

// decision returns the decision on a candidate, and how it came about if its owner has
// not decided.
func (x *previewCandidate) decision() string {
	switch {
	case x.Skip == "not-reached" && x.Answer == "answered":
		return x.Skip + ", " + x.Decision
	case x.Skip != "":
		return x.Skip
	case x.Answer == "not-handled":
		return "unknown: older owner"
	case x.Answer == "no-answer":
		return x.Decision + " without owner: no answer"
	case x.Answer == "not-asked":
		return x.Decision + " without owner: not asked"
	default:
		return x.Decision
	}
}

// columns returns the state in the columns of the table.
func (s *previewState) columns() string {
	if s == nil {
		return "-\t-\t-\t-\t-\t-\t-\t-\t-"
	}
	sums := "-"
	if s.SumsAgeMs != nil {
		sums = (time.Duration(*s.SumsAgeMs) * time.Millisecond).String()
	}
	pace := "-"
	if s.Pace > 0 {
		pace = strconv.Itoa(s.Pace) + "%"
	}
	return fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%d\t%v\t%v\t%s", s.Load, s.Bound, orDash(s.Capacity), pace, orDash(s.Measured), s.Queue, time.Duration(s.WaitMs)*time.Millisecond, s.Cold, sums)
}

// orDash returns n, or a dash for zero.
func orDash(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}
