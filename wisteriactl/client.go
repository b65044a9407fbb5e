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
	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/settings"
)

const (
	dialTimeout      = 2 * time.Second
	callTimeout      = 15 * time.Second // a router resolves a lost store reply within 6 s and waits up to 10 s
	maxResponseBytes = 4 << 20
)

// Error codes of routers that determine the exit code or the next router to try.
const (
	codeUnknownTeam = "unknown-team"
	codeConflict    = "conflict"
	codeInvalid     = "invalid"
	codeUnavailable = "platform-unavailable"
	codeUnknown     = "unknown"
)

// routerError is the error in a router's response.
type routerError struct {
	Code     string             `json:"code"`
	Message  string             `json:"message"`
	Problems []settings.Problem `json:"problems,omitempty"`
	Current  *teamSettings      `json:"standing,omitempty"`
	Diff     string             `json:"diff,omitempty"`
}

// Error implements error.
func (e *routerError) Error() string { return e.Code + ": " + e.Message }

// teamSettings holds the settings of a team as returned by a router: the
// revision stored in the platform and the position in force on the router.
type teamSettings struct {
	Team     coordination.Team `json:"team"`
	Text     string            `json:"text"`
	Revision kv.Revision       `json:"revision"`
	Fresh    bool              `json:"fresh"`
	Change   *settings.Change  `json:"change,omitempty"`
	InForce  settings.Position `json:"in_force"`
	Refused  *settings.Refusal `json:"refused,omitempty"`

	InForceText string `json:"in_force_text,omitempty"` // set if the stored revision is refused
}

// client calls the operator API of the first of its routers that responds.
type client struct {
	routers []string
	http    *http.Client
}

func newClient(routers string) (*client, error) {
	c := &client{http: &http.Client{Transport: http1.Transport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})}}
	for _, r := range strings.Split(routers, ",") {
		u, err := url.Parse(strings.TrimSpace(r))
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errUsage.New("-router %q is no URL; write it as in %s", r, defaultRouter)
		}
		c.routers = append(c.routers, strings.TrimRight(u.String(), "/"))
	}
	return c, nil
}

// call tries the routers in order until one gives a definite response. If the
// response to a write is lost, its outcome is unknown; the next router is tried
// nevertheless, because the change ID makes a repeated write idempotent. If all
// routers fail, the error is errUnknown if a write may have taken effect, or
// errUnavailable.
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

// isDialError reports whether err is a failure to connect, in which case the
// request was not sent.
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

// get returns the settings of a team.
func (c *client) get(ctx context.Context, team coordination.Team) (teamSettings, error) {
	var s teamSettings
	return s, classifyError(c.call(ctx, http.MethodGet, settingsPath(team), nil, &s))
}

// classifyError converts a routerError to the error type of its exit code. It
// returns other errors unchanged.
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
