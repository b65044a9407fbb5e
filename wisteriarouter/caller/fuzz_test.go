package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/engine"
)

// bodySeeds are fuzz seeds in addition to the bodies of badRequests.
var bodySeeds = []string{
	goodBody,
	`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"tools":[{}]}`,
	`{"model":"m","partial":"so far","messages":[{"role":"user","content":null,"name":"x"}]}`,
	`{"model":"m","max_tokens":-1,"max_completion_tokens":"many","messages":[{"role":"user"}]}`,
	`{"model":"m","model":"n","messages":[{"role":"user","content":"hi"}]}`,
	"{\"model\":\"m\",\"me\u017f\u017fages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
	"{\"model\":\"m\",\"messages\":[{\"role\":\"\xff\",\"content\":\"\\ud800\"}]}",
}

// bodyCapturer keeps the body of the attempt that was sent to an engine.
type bodyCapturer struct {
	noEngines
	body []byte
}

// Start implements caller.Engines.
func (s *bodyCapturer) Start(_ context.Context, _ string, req engine.Request) (*engine.Stream, error) {
	s.count()
	s.body = req.Body
	return nil, &engine.StartError{NotRun: true, Status: http.StatusServiceUnavailable, Err: errNoEngine}
}

// Whatever body a caller sends, the router must not panic, must refuse with a
// complete refusal what it does not pass on, and must pass on only requests
// for the model that it has checked.
func FuzzChatBody(f *testing.F) {
	for _, r := range badRequests {
		if r.path == "" {
			f.Add([]byte(r.body), "")
		}
	}
	for _, body := range bodySeeds {
		f.Add([]byte(body), "")
		f.Add([]byte(body), "e1-00112233445566778899aabbccddeeff-f0.3")
	}
	f.Fuzz(func(t *testing.T, body []byte, lastID string) {
		engines := &bodyCapturer{}
		w := httptest.NewRecorder()
		r := request{body: string(body), header: map[string]string{"Last-Event-ID": lastID}}
		newHandler(engines).ServeHTTP(w, r.http())
		code := refusalOf(t, w.Code, w.Header(), w.Body.Bytes())
		if engines.calls == 0 {
			assert.Assert(t, code != outcome.Overloaded && code != outcome.EndpointLost, "%s", w.Body)
			return
		}
		checkSent(t, engines.body)
	})
}

// checkSent checks a body that was sent to an engine.
func checkSent(t *testing.T, body []byte) {
	t.Helper()
	var out map[string]any
	assert.NilError(t, json.Unmarshal(body, &out), "%s", body)
	assert.Equal(t, out["model"], "m")
	assert.Equal(t, out["stream"], true)
	_, partial := out["partial"]
	assert.Assert(t, !partial)
	messages, ok := out["messages"].([]any)
	assert.Assert(t, ok && len(messages) > 0, "%s", body)
}
