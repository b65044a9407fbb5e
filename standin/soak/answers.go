package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// steadyKey is an API key that all desired states contain.
const steadyKey = "steady"

// endpointHeaders are headers of endpoints' responses, routerHeaders those that a router
// may also set itself.
var (
	endpointHeaders = []string{"X-Attempt-Id", "X-Server-Signature", "X-Instance-Id", "X-Instance-Load", "Server-Leaving", "Server-Brittle", "X-Not-Executed"}
	routerHeaders   = []string{"Content-Length", "Content-Type", "Date", "Connection", "Keep-Alive", "Retry-After"}
)

// headerForms matches the allowed values of headers.
var headerForms = map[string]*regexp.Regexp{
	"Retry-After": regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`), // seconds
	"Connection":  regexp.MustCompile(`^(?i:close|keep-alive)$`),
	"Keep-Alive":  regexp.MustCompile(`^timeout=[0-9]+(, *max=[0-9]+)?$`), // seconds
}

// promises are the statuses which say that a request has not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkHead reports what the interface does not allow in the head of the response to a
// request with an id and an API key.
func (l *load) checkHead(id, key string, resp *http.Response) {
	problems := append(statusProblems(key, resp), headerProblems(resp.Header)...)
	problems = append(problems, ownerProblems(id, resp)...)
	for _, problem := range problems {
		l.soak.reportViolation("request %s got a response of status %d: %s", id, resp.StatusCode, problem)
	}
}

// statusProblems checks the status of the response to a well-formed request of a route that
// always exists.
func statusProblems(key string, resp *http.Response) (problems []string) {
	signed := resp.Header.Get("X-Server-Signature") != ""
	switch status := resp.StatusCode; {
	case status == http.StatusOK && !signed:
		problems = append(problems, "it has no signature")
	case status == http.StatusOK, status == http.StatusInternalServerError && signed, slices.Contains(promises, status):
	case status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
	case status == http.StatusUnauthorized && key != steadyKey && !slices.Contains(calmAccounts, key) && key != surgingAccount:
	default:
		problems = append(problems, "the request gave no reason for it")
	}
	if resp.Header.Get("X-Not-Executed") != "" && !slices.Contains(promises, resp.StatusCode) {
		problems = append(problems, "it has X-Not-Executed")
	}
	if len(resp.Trailer) > 0 {
		problems = append(problems, fmt.Sprintf("it has trailers: %v", resp.Trailer))
	}
	if resp.Proto != "HTTP/1.1" {
		problems = append(problems, "the version of HTTP is "+resp.Proto)
	}
	return problems
}

// headerProblems checks which headers a response has, and their form.
func headerProblems(h http.Header) (problems []string) {
	for name, values := range h {
		form := headerForms[name]
		switch {
		case !slices.Contains(endpointHeaders, name) && !slices.Contains(routerHeaders, name):
			problems = append(problems, fmt.Sprintf("%s is a header of the router's own: %q", name, values))
		case len(values) > 1:
			problems = append(problems, fmt.Sprintf("it has %s %d times: %q", name, len(values), values))
		case form != nil && !form.MatchString(values[0]):
			problems = append(problems, fmt.Sprintf("%s is %q", name, values[0]))
		}
	}
	return problems
}

// ownerProblems checks that a response belongs to the request with an id. Only the response
// of an endpoint has to name the request.
func ownerProblems(id string, resp *http.Response) (problems []string) {
	signature, named := resp.Header.Get("X-Server-Signature"), resp.Header.Get("X-Attempt-Id")
	if signature != "" && !strings.HasSuffix(signature, "."+id) {
		problems = append(problems, fmt.Sprintf("its signature is %q", signature))
	}
	if named != id && (named != "" || signature != "") {
		problems = append(problems, fmt.Sprintf("it is the one to %q", named))
	}
	return problems
}

// eventProblem returns what is wrong with whole events of a stream that goes on after an
// event: their ids rise by one.
func eventProblem(events string, after int) string {
	for n, event := range strings.SplitAfter(events, "\n\n") {
		if event == "" {
			continue // behind the last one
		}
		if want := "id: " + strconv.Itoa(after+n+1) + "\n"; !strings.HasPrefix(event, want) || strings.Count(event, "id: ") != 1 {
			return fmt.Sprintf("in place of event %d it got %q", after+n+1, event)
		}
	}
	return ""
}
