package replica

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// systemHeaders holds the headers that routers may set, with the form of their values. A
// caller's header of the same name need not reach the endpoint.
var systemHeaders = map[string]func(value string) bool{
	"X-Expect-Instance":  func(value string) bool { return value != "" },
	"X-Deadline-Ms":      isMillis,
	"X-Tenant":           func(value string) bool { return value != "" },
	"X-Request-Priority": regexp.MustCompile(`^[0-9]$`).MatchString,
	"X-Expect-Version":   isNumber,
	"Last-Event-Id":      isNumber,
	"Kv-Fetch":           isAddress,
	"X-Kv-Backup":        isAddress,
	"Kv-From":            isHandle,
	"X-Hold":             func(string) bool { return false }, // no endpoint grants one here
	"X-Pin-Ms":           isMillis,
}

// singleHeaders are other headers that have one value each.
var singleHeaders = []string{"X-Attempt-Id", "Authorization", "X-Model", "X-Token-Usage", "X-Prefix-Hash", "X-Length-Hint", "Content-Length", "Content-Type"}

// channelHeaders concern one connection. Routers must not pass them on.
var channelHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func isNumber(value string) bool {
	_, err := strconv.ParseUint(value, 10, 63)
	return err == nil
}

// isMillis reports whether a value is a number of milliseconds above 0.
func isMillis(value string) bool {
	n, err := strconv.ParseUint(value, 10, 63)
	return err == nil && n > 0
}

func isAddress(value string) bool {
	a, err := netip.ParseAddrPort(value)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func isHandle(value string) bool {
	address, handle, _ := strings.Cut(value, "/")
	return isAddress(address) && handle != ""
}

// inspect checks the head of a request and reports what violates the interface. It returns
// the status with which the interface refuses the request, or 0 if it may run.
func (r *Replica) inspect(req *http.Request) int {
	problems := headProblems(req)
	problems = append(problems, r.opts.Inspector.credentialProblems(req)...)
	problems = append(problems, r.opts.Inspector.sentProblems(req)...)
	for _, problem := range problems {
		r.reportViolation(req, problem)
	}
	switch {
	case req.Header.Get("X-Attempt-Id") == "":
		return http.StatusBadRequest
	case req.Header.Get("Kv-From") != "": // no copy exists
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

func (r *Replica) reportViolation(req *http.Request, problem string) {
	r.opts.Inspector.report("endpoint %s, %s %s, request %q: %s", r.opts.ID, req.Method, req.RequestURI, req.Header.Get("X-Attempt-Id"), problem)
}

// headProblems returns what violates the interface whatever the caller sent.
func headProblems(req *http.Request) (problems []string) {
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if req.Proto != "HTTP/1.1" {
		add("the version of HTTP is %s", req.Proto)
	}
	if req.Header.Get("X-Attempt-Id") == "" {
		add("it has no X-Attempt-Id")
	}
	for name, values := range req.Header {
		form, isSystem := systemHeaders[name]
		switch {
		case (isSystem || slices.Contains(singleHeaders, name)) && len(values) > 1:
			add("it has %s %d times: %q", name, len(values), values)
		case isSystem && !form(values[0]):
			add("%s is %q", name, values[0])
		case slices.Contains(channelHeaders, name):
			add("%s concerns one connection: %q", name, values)
		}
	}
	if req.Header.Get("X-Deadline-Ms") == "" {
		add("it has no X-Deadline-Ms")
	}
	if req.Header.Get("Kv-From") != "" && req.Header.Get("Last-Event-Id") == "" {
		add("it has Kv-From and no Last-Event-Id")
	}
	return problems
}

// credentialProblems reports credentials that must not reach an endpoint.
func (i *Inspector) credentialProblems(req *http.Request) (problems []string) {
	for _, value := range req.Header.Values("Authorization") {
		if !i.mayPass(value) {
			problems = append(problems, "it has the caller's credentials")
		}
	}
	return problems
}

// sentProblems compares a request with those that callers sent under its attempt id. It
// returns how it differs from the last of them, or nothing if it fits one or none is known.
func (i *Inspector) sentProblems(req *http.Request) (problems []string) {
	for _, s := range i.sentRequests(req.Header.Get("X-Attempt-Id")) {
		if problems = i.differences(s, req); len(problems) == 0 {
			return nil
		}
	}
	return problems
}

// differences returns how a request at an endpoint violates what its caller sent.
func (i *Inspector) differences(s *sentRequest, req *http.Request) (problems []string) {
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if req.Method != s.method || req.RequestURI != s.target || req.Host != s.host {
		add("its caller sent %s %s to host %q, and it has host %q", s.method, s.target, s.host, req.Host)
	}
	for name, values := range s.header {
		if s.passes(name) && !equalValues(req.Header[name], values) {
			add("its caller sent %s: %q, and it has %q", name, values, req.Header[name])
		}
	}
	for name, values := range req.Header {
		_, isSystem := systemHeaders[name]
		_, isSent := s.header[name]
		switch {
		case s.concernsConnection(name):
			add("its caller's connection alone has %s: %q", name, values)
		case !isSystem && !isSent && name != "Content-Length":
			add("%s is a header of the router's own: %q", name, values)
		}
	}
	if problem := i.accountProblem(s, req); problem != "" {
		add("%s", problem)
	}
	if problem := deadlineProblem(s, req); problem != "" {
		add("%s", problem)
	}
	if problem := i.resumeProblem(s, req); problem != "" {
		add("%s", problem)
	}
	return problems
}

// passes reports whether a header of a caller must reach the endpoint unchanged.
func (s *sentRequest) passes(name string) bool {
	_, isSystem := systemHeaders[name]
	// Expect is answered by the router, which has read the body. Authorization is checked by
	// credentialProblems.
	return !isSystem && !s.concernsConnection(name) && !slices.Contains([]string{"Authorization", "Expect", "Content-Length"}, name)
}

// concernsConnection reports whether a header concerns the connection of the caller.
func (s *sentRequest) concernsConnection(name string) bool {
	if slices.Contains(channelHeaders, name) {
		return true
	}
	for _, field := range s.header.Values("Connection") {
		for option := range strings.SplitSeq(field, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(option)) == name {
				return true
			}
		}
	}
	return false
}

func equalValues(a, b []string) bool {
	return slices.EqualFunc(a, b, func(x, y string) bool { return strings.TrimSpace(x) == strings.TrimSpace(y) })
}

// accountProblem compares X-Tenant with the client accounts of the caller's API key.
func (i *Inspector) accountProblem(s *sentRequest, req *http.Request) string {
	words := strings.Fields(s.header.Get("Authorization"))
	var accounts []string
	var always bool
	if len(words) == 2 && strings.EqualFold(words[0], "Bearer") {
		accounts, always = i.accountsOf(words[1])
	}
	account := req.Header.Get("X-Tenant")
	if account == "" && always || account != "" && !slices.Contains(accounts, account) {
		return fmt.Sprintf("X-Tenant is %q, and its caller's key is of %q", account, accounts)
	}
	return ""
}

// deadlineProblem compares the time that is left with what the caller set.
func deadlineProblem(s *sentRequest, req *http.Request) string {
	sent, err := strconv.ParseFloat(s.header.Get("X-Deadline-Ms"), 64)
	got, errGot := strconv.ParseFloat(req.Header.Get("X-Deadline-Ms"), 64)
	if err != nil || errGot != nil || got <= sent {
		return "" // the form is checked by headProblems
	}
	return fmt.Sprintf("X-Deadline-Ms is %v, and its caller waits for %v", got, sent)
}

// resumeProblem reports a stream that does not go on where the caller asked, nor after an
// event that an endpoint has written for the request.
func (i *Inspector) resumeProblem(s *sentRequest, req *http.Request) string {
	sent, got := s.header.Get("Last-Event-Id"), req.Header.Get("Last-Event-Id")
	if got == sent {
		return ""
	}
	after, _ := strconv.Atoi(sent) // a missing id means zero
	n, err := strconv.Atoi(got)
	if last := i.lastEvent(req.Header.Get("X-Attempt-Id")); err != nil || n <= after || n > last {
		return fmt.Sprintf("Last-Event-Id is %q, its caller sent %q, and event %d was the last one written", got, sent, last)
	}
	return ""
}

// inspectBody checks the body of a request.
func (r *Replica) inspectBody(req *http.Request, body []byte) {
	sent := r.opts.Inspector.sentRequests(req.Header.Get("X-Attempt-Id"))
	if len(sent) > 0 && !slices.ContainsFunc(sent, func(s *sentRequest) bool { return s.hasBody(body) }) {
		r.reportViolation(req, fmt.Sprintf("its body of %d bytes is not what its caller sent", len(body)))
	}
}
