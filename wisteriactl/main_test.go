package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriaspool/standin/raw"
)

const (
	settingsJSON = `{"team":"solco","text":"[team]\npriority-cap = 5\n\n[model \"chat\"]\nversion = 7\n","revision":12,"fresh":true,
		"change":{"change_id":"019ae0c0-0000-7000-8000-000000000001","sequence":12,"previous_revision":9,"author":"ada","reason":"new model","time":"2026-12-02T09:00:00Z","digest":"x"},
		"in_force":{"sequence":12,"revision":12}}`
	refusedJSON = `{"team":"solco","text":"[team]\npriority-cap = high\n","revision":15,"fresh":true,"in_force":{"sequence":12,"revision":12},"in_force_text":"[team]\npriority-cap = 5\n",
		"refused":{"verdict":"invalid","revision":15,"time":"2026-12-02T10:00:00Z","problems":[{"file":"solco","line":2,"section":"team","key":"priority-cap","message":"\"high\" is not right"}]}}`
	historyJSON = `{"team":"solco","fresh":true,"entries":[
		{"change_id":"019ae0c0-0000-7000-8000-000000000002","sequence":12,"previous_revision":9,"author":"ada","reason":"new model","time":"2026-12-02T09:00:00Z","digest":"x","diff":"-version = 6\n+version = 7\n","revision":12},
		{"change_id":"019ae0c0-0000-7000-8000-000000000001","sequence":1,"previous_revision":0,"author":"grace","reason":"first settings","time":"2026-12-01T09:00:00Z","digest":"x","diff":"+[team]\n","revision":9}]}`
	acceptedJSON    = `{"team":"solco","revision":13,"sequence":13,"repeated":false}`
	allJSON         = `{"team":"solco","revision":13,"routers":3,"in_force":3,"behind":[],"unreachable":[]}`
	someJSON        = `{"team":"solco","revision":13,"routers":3,"in_force":1,"behind":[{"instance":"r2","revision":12,"sequence":12,"refused_revision":13}],"unreachable":["r3"]}`
	conflictJSON    = `{"error":{"code":"conflict","message":"another change stands; nothing was written. The difference leads from it to yours","diff":"-priority-cap = 5\n+priority-cap = 7\n","standing":` + settingsJSON + `}}`
	invalidJSON     = `{"error":{"code":"invalid","message":"the change has problems; nothing was written","problems":[{"file":"solco","line":2,"section":"team","key":"priority-cap","message":"unknown key"}]}}`
	noTeamJSON      = `{"error":{"code":"unknown-team","message":"the team has no settings; put the first ones with base revision 0"}}`
	unavailableJSON = `{"error":{"code":"platform-unavailable","message":"the platform could not be reached; nothing was written. The settings in force stay","retry_after_ms":1000}}`
	unknownJSON     = `{"error":{"code":"unknown","message":"no answer came in time; the change may or may not be accepted. Put it again with the same change id"}}`
	statusJSON      = `{"instance":"r1","incarnation":1,"availability_zone":"a","state":"ready","started":"2026-12-02T08:00:00Z","in_flight":3,
		"platform":{"watching":true,"confirmed_ms_ago":1500},
		"peers":[{"instance":"r2","availability_zone":"b","state":"alive"}],
		"endpoints":[{"endpoint":"e1","pool":"chat@7","availability_zone":"a","state":"live","running":4,"capacity":16,"owner":"r2"}],
		"settings":[{"team":"solco","in_force":{"sequence":12,"revision":12},"since":"2026-12-02T09:00:01Z","refused":{"verdict":"older","revision":15,"time":"2026-12-02T10:00:00Z"}}]}`
)

// statusCallsJSON is the status of a relaying router whose writes the store finds wrong.
const statusCallsJSON = `{"instance":"r1","incarnation":1,"availability_zone":"a","state":"ready","started":"2026-12-02T08:00:00Z","in_flight":0,
	"platform":{"watching":true,"confirmed_ms_ago":20},
	"calls":[{"call":"store create","problem":"rejected","succeeded":0,"failed":1,"rejected":233,"failing_ms":61200},
		{"call":"store list","problem":"none","succeeded":9,"failed":0,"rejected":0,"failing_ms":0}]}`

const (
	suspectsJSON = `{"suspects":[
		{"kind":"part","fingerprint":"5c1e07a2","state":"convicted","pool":"chat@7","crashes":4,"last":"2026-12-02T10:00:00Z","trials":1,"next_trial":"2026-12-02T10:00:09Z","expires":"2026-12-02T10:15:00Z"},
		{"kind":"request","fingerprint":"91bd","state":"suspect","crashes":1,"last":"2026-12-02T09:59:00Z","trials":0,"expires":"2026-12-02T10:04:00Z"}]}`
	clearedJSON   = `{"kind":"part","fingerprint":"5c1e07a2"}`
	noSuspectJSON = `{"error":{"code":"unknown-suspect","message":"this router knows of no such suspect"}}`
)

const (
	previewJSON = `{"route":"chat","pool":"chat@7","key":"aa","candidates":[
		{"endpoint":"e3","availability_zone":"a","owner":"r1","rank":0,"cached":true,"skip":"outlier"},
		{"endpoint":"e1","availability_zone":"b","owner":"r2","rank":1,"cached":false,"answer":"answered","decision":"next","code":"over-bound","state":{"load":9,"bound":8,"capacity":16,"queue":2,"wait_ms":140,"cold":false,"sums_age_ms":120,"pace":250,"measured_limit":9,"estimate_age_ms":80}},
		{"endpoint":"e4","availability_zone":"a","owner":"r3","rank":2,"cached":false,"answer":"no-answer","decision":"next","code":"unreachable"},
		{"endpoint":"e2","availability_zone":"a","owner":"r1","rank":3,"cached":false,"answer":"answered","decision":"granted","state":{"load":3,"bound":8,"capacity":0,"queue":0,"wait_ms":0,"cold":true,"pace":0,"measured_limit":0,"estimate_age_ms":0}},
		{"endpoint":"e5","availability_zone":"c","owner":"r2","rank":4,"cached":false,"skip":"not-reached","answer":"answered","decision":"next","code":"full","state":{"load":16,"bound":20,"capacity":16,"queue":1,"wait_ms":60,"cold":false,"sums_age_ms":40,"pace":0,"measured_limit":0,"estimate_age_ms":0}}],
		"endpoint":"e2","explanation":"e2 would run the request: the 3 before it are skipped or do not take it."}`
	previewRefusedJSON = `{"route":"chat","pool":"chat@7","key":"","candidates":[],"code":"no-endpoint-known","retry_after_ms":500,"explanation":"The request would be refused: no endpoint can take the request now: no-endpoint-known."}`
	noPlacementJSON    = `{"error":{"code":"no-placement","message":"no route serves this host and path"}}`
)

// cannedResponse is the response of a fakeRouter to one method and path.
type cannedResponse struct {
	status int
	body   string
}

// fakeRouter serves canned responses and records the bodies of PUT requests.
type fakeRouter struct {
	mu      sync.Mutex
	answers map[string]cannedResponse
	puts    []putRequest
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodPut {
		var c putRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		f.puts = append(f.puts, c)
	}
	a, ok := f.answers[r.Method+" "+strings.TrimPrefix(r.URL.Path, "/operator/v1/")]
	if !ok {
		a = cannedResponse{http.StatusNotFound, "no such page"}
	}
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(a.body))
}

func okResponse(body string) cannedResponse { return cannedResponse{http.StatusOK, body} }

func startRouter(t *testing.T, answers map[string]cannedResponse) (*fakeRouter, string) {
	t.Helper()
	f := &fakeRouter{answers: answers}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, s.URL
}

// runCommand runs the program and returns its exit code and its output.
func runCommand(t *testing.T, args ...string) (exitCode, string) {
	t.Helper()
	var out, err bytes.Buffer
	code := run(context.Background(), args, app{in: strings.NewReader(""), out: &out, err: &err})
	return code, out.String() + "--- stderr\n" + err.String()
}

// closedURL returns a URL whose port has no listener.
func closedURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

var putArgs = strings.Fields("settings put -file testdata/good.ini -author ada -reason raise solco")

func appendArgs(args []string, more ...string) []string {
	return append(append([]string{}, args...), more...)
}

func TestOutput(t *testing.T) {
	const s = "settings/solco"
	for _, tt := range []struct {
		name    string
		args    []string
		answers map[string]cannedResponse
		want    exitCode
	}{
		{"get", strings.Fields("settings get solco"), map[string]cannedResponse{"GET " + s: okResponse(settingsJSON)}, exitOK},
		{"get-json", strings.Fields("settings get solco -o json"), map[string]cannedResponse{"GET " + s: okResponse(settingsJSON)}, exitOK},
		{"get-refused", strings.Fields("settings get solco"), map[string]cannedResponse{"GET " + s: okResponse(refusedJSON)}, exitOK},
		{"get-standing", strings.Fields("settings get -standing solco"), map[string]cannedResponse{"GET " + s: okResponse(refusedJSON)}, exitOK},
		{"get-no-team", strings.Fields("settings get solco"), map[string]cannedResponse{"GET " + s: {404, noTeamJSON}}, exitNoTeam},
		{"history", strings.Fields("settings history solco"), map[string]cannedResponse{"GET " + s + "/history": okResponse(historyJSON)}, exitOK},
		{"history-diff", strings.Fields("settings history -diff solco"), map[string]cannedResponse{"GET " + s + "/history": okResponse(historyJSON)}, exitOK},
		{"diff", strings.Fields("settings diff -file testdata/good.ini solco"), map[string]cannedResponse{"GET " + s: okResponse(settingsJSON)}, exitDiffers},
		{"put", putArgs, map[string]cannedResponse{"PUT " + s: okResponse(acceptedJSON)}, exitOK},
		{"put-wait", appendArgs(putArgs, "-wait", "2s"), map[string]cannedResponse{"PUT " + s: okResponse(acceptedJSON), "GET " + s + "/in-force": okResponse(allJSON)}, exitOK},
		{"put-behind", appendArgs(putArgs, "-wait", "1ms"), map[string]cannedResponse{"PUT " + s: okResponse(acceptedJSON), "GET " + s + "/in-force": okResponse(someJSON)}, exitBehind},
		{"put-behind-json", appendArgs(putArgs, "-wait", "1ms", "-o", "json"), map[string]cannedResponse{"PUT " + s: okResponse(acceptedJSON), "GET " + s + "/in-force": okResponse(someJSON)}, exitBehind},
		{"put-conflict", putArgs, map[string]cannedResponse{"PUT " + s: {409, conflictJSON}}, exitConflict},
		{"put-conflict-json", appendArgs(putArgs, "-o", "json"), map[string]cannedResponse{"PUT " + s: {409, conflictJSON}}, exitConflict},
		{"put-refused", putArgs, map[string]cannedResponse{"PUT " + s: {422, invalidJSON}}, exitInvalid},
		{"put-invalid", strings.Fields("settings put -file testdata/bad.ini -author ada -reason raise solco"), nil, exitInvalid},
		{"put-no-reason", strings.Fields("settings put -file testdata/good.ini -author ada solco"), nil, exitUsage},
		{"put-other-team", strings.Fields("settings put -file testdata/good.ini -author ada -reason raise msimbazi"), nil, exitUsage},
		{"suspects", strings.Fields("suspects list"), map[string]cannedResponse{"GET suspects": okResponse(suspectsJSON)}, exitOK},
		{"suspects-clear", strings.Fields("suspects clear -author ada -reason fixed 5C1E07A2"), map[string]cannedResponse{"POST suspects/part/5c1e07a2/clear": okResponse(clearedJSON)}, exitOK},
		{"suspects-clear-unknown", strings.Fields("suspects clear -kind request -author ada -reason fixed 1f"), map[string]cannedResponse{"POST suspects/request/1f/clear": {404, noSuspectJSON}}, exitFailed},
		{"suspects-clear-no-reason", strings.Fields("suspects clear -author ada 5c1e07a2"), nil, exitUsage},
		{"suspects-clear-bad", strings.Fields("suspects clear -author ada -reason fixed part-5"), nil, exitUsage},
		{"preview", strings.Fields("preview -host api -path /v1/chat -account solco -part aa:50,bb:10"), map[string]cannedResponse{"GET placement": okResponse(previewJSON)}, exitOK},
		{"preview-json", strings.Fields("preview -host api -path /v1/chat -json"), map[string]cannedResponse{"GET placement": okResponse(previewJSON)}, exitOK},
		{"preview-refused", strings.Fields("preview -host api -path /v1/chat"), map[string]cannedResponse{"GET placement": okResponse(previewRefusedJSON)}, exitOK},
		{"preview-no-route", strings.Fields("preview -host api -path /v2"), map[string]cannedResponse{"GET placement": {404, noPlacementJSON}}, exitFailed},
		{"preview-no-host", strings.Fields("preview -path /v2"), nil, exitUsage},
		{"status", strings.Fields("status"), map[string]cannedResponse{"GET status": okResponse(statusJSON)}, exitOK},
		{"status-calls", strings.Fields("status"), map[string]cannedResponse{"GET status": okResponse(statusCallsJSON)}, exitOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, url := startRouter(t, tt.answers)
			t.Setenv(routerVariable, url)
			code, out := runCommand(t, tt.args...)
			assert.Equal(t, code, tt.want, out)
			golden.Assert(t, out, tt.name+".golden")
		})
	}
}

func TestOfflineOutput(t *testing.T) {
	t.Setenv(routerVariable, "")
	for _, tt := range []struct {
		name string
		args string
		want exitCode
	}{
		{"check", "settings check -file testdata/good.ini", exitOK},
		{"check-bad", "settings check -file testdata/bad.ini", exitInvalid},
		{"check-bad-json", "settings check -o json -file testdata/bad.ini", exitInvalid},
		{"check-no-file", "settings check", exitUsage},
		{"usage", "", exitUsage},
		{"help", "help", exitOK},
		{"unknown-command", "settings set", exitUsage},
		{"put-help", "settings put -help", exitUsage},
		{"bad-router", "status -router localhost", exitUsage},
		{"bad-format", "status -o xml", exitUsage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("USER", "ada")
			code, out := runCommand(t, strings.Fields(tt.args)...)
			assert.Equal(t, code, tt.want, out)
			golden.Assert(t, out, tt.name+".golden")
		})
	}
}

// If a router is down, cannot reach the platform or does not know the outcome of
// a change, the next one is tried with the same change ID, so that the change
// cannot be applied twice.
func TestNextRouterIsTried(t *testing.T) {
	down, downURL := startRouter(t, map[string]cannedResponse{"PUT settings/solco": {503, unavailableJSON}})
	lost, lostURL := startRouter(t, map[string]cannedResponse{"PUT settings/solco": {504, unknownJSON}})
	last, lastURL := startRouter(t, map[string]cannedResponse{"PUT settings/solco": okResponse(acceptedJSON)})
	code, out := runCommand(t, appendArgs(putArgs, "-router", strings.Join([]string{closedURL(t), downURL, lostURL, lastURL}, ","))...)
	assert.Equal(t, code, exitOK, out)
	assert.Equal(t, len(down.puts)+len(lost.puts)+len(last.puts), 3)
	assert.Equal(t, down.puts[0].ChangeID, last.puts[0].ChangeID)
	assert.Equal(t, lost.puts[0].ChangeID, last.puts[0].ChangeID)
	assert.Equal(t, int(last.puts[0].BaseRevision), 12)
	assert.Assert(t, !strings.Contains(last.puts[0].Text, "wisteriactl"))
}

// If no router accepts a change but one may have written it, the outcome is
// reported as unknown along with how to resolve it. Reporting that nothing was
// written would cause the operator to apply the change twice.
func TestAmbiguousWriteIsReportedUnknown(t *testing.T) {
	_, downURL := startRouter(t, map[string]cannedResponse{"PUT settings/solco": {503, unavailableJSON}})
	_, lostURL := startRouter(t, map[string]cannedResponse{"PUT settings/solco": {504, unknownJSON}})
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(cut.Close)
	for _, tt := range []struct {
		routers []string
		want    exitCode
	}{
		{[]string{closedURL(t)}, exitUnavailable},
		{[]string{downURL, closedURL(t)}, exitUnavailable},
		{[]string{lostURL, downURL}, exitUnknown},
		{[]string{cut.URL, closedURL(t)}, exitUnknown},
	} {
		code, out := runCommand(t, appendArgs(putArgs, "-router", strings.Join(tt.routers, ","))...)
		assert.Equal(t, code, tt.want, out)
		assert.Equal(t, strings.Contains(out, "put the same file again with -change-id"), tt.want == exitUnknown)
	}
}

// Guards against a broken response that is reported as an accepted change.
func TestBrokenResponseIsReportedUnknown(t *testing.T) {
	texts := raw.Misread("", acceptedJSON)
	for _, status := range raw.Statuses() {
		texts = append(texts, fmt.Sprintf("HTTP/1.1 %s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", status, len(acceptedJSON), acceptedJSON))
	}
	for _, line := range raw.FieldLines() {
		texts = append(texts, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(acceptedJSON), acceptedJSON))
	}
	for _, text := range texts {
		s, closeServer, err := raw.Listen(func(*http.Request) string { return text })
		assert.NilError(t, err)
		code, out := runCommand(t, appendArgs(putArgs, "-router", "http://"+s.Address())...)
		assert.Check(t, code == exitUnknown, "%q: %d %s", text, code, out)
		closeServer()
	}
}

// The first settings of a team have no base: the base revision is 0.
func TestFirstSettings(t *testing.T) {
	f, url := startRouter(t, map[string]cannedResponse{"GET settings/solco": {404, noTeamJSON}, "PUT settings/solco": okResponse(acceptedJSON)})
	var out, errOut bytes.Buffer
	code := run(context.Background(), strings.Fields("settings put -file - -author ada -reason first -router "+url+" solco"),
		app{in: strings.NewReader("[team]\n"), out: &out, err: &errOut})
	assert.Equal(t, code, exitOK, errOut.String())
	assert.Equal(t, int(f.puts[0].BaseRevision), 0)
	assert.Equal(t, f.puts[0].Text, "[team]\n")
}
