package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
)

const (
	dialTimeout      = 2 * time.Second
	callTimeout      = 15 * time.Second // a router settles a lost answer in 6 s and waits up to 10 s
	maxResponseBytes = 4 << 20
)

// The codes of failures that the program tells apart.
const (
	codeUnknownTeam = "unknown-team"
	codeConflict    = "conflict"
	codeInvalid     = "invalid"
	codeUnavailable = "platform-unavailable"
	codeUnknown     = "unknown"
)

// routerError is what a router answers if it did not do what it was asked.
type routerError struct {
	Code     string             `json:"code"`
	Message  string             `json:"message"`
	Problems []settings.Problem `json:"problems,omitempty"`
	Current  *teamSettings      `json:"standing,omitempty"`
	Diff     string             `json:"diff,omitempty"`
}

// Error implements error.
func (f *routerError) Error() string { return f.Code + ": " + f.Message }

// teamSettings is what a router tells of a team's settings.
type teamSettings struct {
	Team     coordination.Team `json:"team"`
	Text     string            `json:"text"`
	Revision kv.Revision       `json:"revision"`
	Fresh    bool              `json:"fresh"`
	Change   *settings.Change  `json:"change,omitempty"`
	InForce  settings.Position `json:"in_force"`
	Refused  *settings.Refusal `json:"refused,omitempty"`

	InForceText string `json:"in_force_text,omitempty"` // if a value is refused
}

// client speaks to the first router that can be reached.
type client struct {
	routers []string
	http    *http.Client
}

func newClient(routers string) (*client, error) {
	c := &client{http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}}
	for _, r := range strings.Split(routers, ",") {
		u, err := url.Parse(strings.TrimSpace(r))
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errUsage.New("-router %q is no URL; write it as in %s", r, defaultRouter)
		}
		c.routers = append(c.routers, strings.TrimRight(u.String(), "/"))
	}
	return c, nil
}

// call asks one router after the other until one answers. With a body that
// changes something, an answer that got lost leaves it open what happened; the
// next router is asked all the same, since a change has an id.
func (c *client) call(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("wisteriactl: encoding a request: %w", err)
	}
	lost := false
	var last error
	for _, router := range c.routers {
		last = c.callRouter(ctx, method, router+path, data, answer)
		var f *routerError
		answered := errors.As(last, &f)
		if last == nil || answered && f.Code != codeUnavailable && f.Code != codeUnknown {
			return last
		}
		lost = lost || answered && f.Code == codeUnknown || !answered && !isDialError(last)
	}
	if lost && method != http.MethodGet {
		return errUnknown.New("%v", last)
	}
	return errUnavailable.New("%v", last)
}

// isDialError reports whether no connection could be made, so that nothing
// can have been done.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *client) callRouter(ctx context.Context, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(data, answer)
	}
	var failed struct {
		Error *routerError `json:"error"`
	}
	if json.Unmarshal(data, &failed) != nil || failed.Error == nil {
		return fmt.Errorf("%s answered %s", url, res.Status)
	}
	return failed.Error
}

func settingsPath(team coordination.Team) string {
	return "/operator/v1/settings/" + url.PathEscape(string(team))
}

// get reads the settings of a team.
func (c *client) get(ctx context.Context, team coordination.Team) (teamSettings, error) {
	var s teamSettings
	return s, classifyError(c.call(ctx, http.MethodGet, settingsPath(team), nil, &s))
}

// classifyError gives a router's failure the kind that has its exit code.
func classifyError(err error) error {
	var f *routerError
	if !errors.As(err, &f) {
		return err
	}
	switch f.Code {
	case codeUnknownTeam:
		return errNoTeam.New("%s", f.Message)
	case codeConflict:
		return errConflict.New("%s", f.Message)
	case codeInvalid:
		return errInvalid.New("%s", f.Message)
	default:
		return err
	}
}
