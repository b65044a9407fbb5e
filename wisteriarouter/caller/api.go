package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"wisteriaspool/coordination/outcome"
)

// chatInput is a chat request as decoded by huma.
type chatInput struct {
	ChatHeaders
	Body    chatBody
	RawBody []byte
}

// Register adds the operations for callers to api, which must use the humago
// adapter.
func (s *Server) Register(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID:  "create-chat-completion",
		Method:       http.MethodPost,
		Path:         "/v1/chat/completions",
		Summary:      "Answer a chat",
		Description:  "OpenAI-compatible. The answer carries its outcome and a route hint; see docs/PROTOCOLS.md.",
		Tags:         []string{"callers"},
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		Middlewares:  huma.Middlewares{s.limitWriteTime},
	}, s.createChat)
	huma.Register(api, huma.Operation{
		OperationID:  "run-action",
		Method:       http.MethodPost,
		Path:         "/v1/services/{service}/{action}",
		Summary:      "Run an action of a plain service",
		Description:  "An action that the settings mark as non-idempotent needs an Idempotency-Key and runs at most once.",
		Tags:         []string{"callers"},
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		Middlewares:  huma.Middlewares{s.limitWriteTime},
	}, s.runAction)
}

// bodyReadTimeout is how long huma waits for a request body.
const bodyReadTimeout = 5 * time.Second

// limitWriteTime sets the time limit for a caller to read a refusal by huma. A
// caller that sends invalid requests and never reads the responses would
// otherwise keep its connection open forever.
func (s *Server) limitWriteTime(ctx huma.Context, next func(huma.Context)) {
	_, w := humago.Unwrap(ctx)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyReadTimeout + s.Limits.WriteTimeout))
	next(ctx)
}

func (s *Server) createChat(_ context.Context, in *chatInput) (*huma.StreamResponse, error) {
	if in.RequestID == "" {
		in.RequestID = newRequestID()
	}
	if r := s.refuseWhenStopping(); r != nil {
		return s.refusedChat(in.RequestID, r), nil
	}
	c, r := s.newChat(in.ChatHeaders, in.Body, in.RawBody)
	if r != nil {
		return s.refusedChat(in.RequestID, r), nil
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		_, w := humago.Unwrap(ctx)
		w.Header().Set(headerRequest, c.requestID)
		out := newWriter(w, s.Limits.WriteTimeout)
		if c.stream {
			s.serve(ctx.Context(), c, &streamSink{writer: out})
			return
		}
		s.serve(ctx.Context(), c, &jsonSink{writer: out, model: in.Body.Model})
	}}, nil
}

// newRequestID returns an id for a request that carries none.
func newRequestID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// refusedChat logs and returns the refusal of a chat request that was sent to
// no endpoint.
func (s *Server) refusedChat(request string, r *outcome.Refusal) *huma.StreamResponse {
	s.logRefusal(request, r)
	res := s.refused("chat", r)
	write := res.Body
	res.Body = func(ctx huma.Context) {
		ctx.SetHeader(headerRequest, request)
		write(ctx)
	}
	return res
}

// refused counts and returns the refusal of a request that was sent to no
// endpoint.
func (s *Server) refused(kind string, r *outcome.Refusal) *huma.StreamResponse {
	s.Metrics.requestEnded(kind, r.Outcome, string(r.Code))
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		_, w := humago.Unwrap(ctx)
		newWriter(w, s.Limits.WriteTimeout).refuse(r)
	}}
}

// RefusalError is the error of a request that the HTTP layer refused before a
// handler was called. It is encoded as every other refusal.
type RefusalError struct {
	refusal outcome.Refusal
}

// Error implements error.
func (f *RefusalError) Error() string { return f.refusal.Error() }

// GetStatus implements huma.StatusError.
func (f *RefusalError) GetStatus() int { return f.refusal.Code.HTTPStatus() }

// MarshalJSON implements json.Marshaler.
func (f *RefusalError) MarshalJSON() ([]byte, error) { return json.Marshal(f.refusal.Envelope()) }

// Schema implements huma.SchemaProvider. It also prevents huma from adding a
// link to the schema: to do so it would send a copy of the exported fields, of
// which RefusalError has none, and the caller would be told nothing.
func (f *RefusalError) Schema(r huma.Registry) *huma.Schema {
	return huma.SchemaFromType(r, reflect.TypeFor[outcome.Envelope]())
}

// ContentType implements huma.ContentTypeFilter.
func (f *RefusalError) ContentType(string) string { return "application/json" }

// GetHeaders implements huma.HeadersError.
func (f *RefusalError) GetHeaders() http.Header {
	h := http.Header{}
	h.Set(outcome.Header, f.refusal.Outcome.String())
	h.Set(headerRetryAfter, "5")
	return h
}

// init makes huma encode its errors as refusals, in the whole process.
func init() {
	huma.NewError = NewRefusalError
	huma.NewErrorWithContext = newRefusalErrorWithContext
}

// newRefusalErrorWithContext is NewRefusalError that also sets the headers:
// huma sets those of an error only if a handler returns it.
func newRefusalErrorWithContext(ctx huma.Context, status int, message string, errs ...error) huma.StatusError {
	f := NewRefusalError(status, message, errs...)
	if h, ok := f.(huma.HeadersError); ok && ctx != nil {
		for name, values := range h.GetHeaders() {
			ctx.SetHeader(name, values[0])
		}
	}
	return f
}

// NewRefusalError returns the error of a request that huma refuses. It is
// meant for huma.NewError.
func NewRefusalError(status int, message string, errs ...error) huma.StatusError {
	code := outcome.Malformed
	if status == http.StatusRequestEntityTooLarge {
		code = outcome.TooLarge
	}
	for _, err := range errs {
		message += "; " + err.Error()
	}
	return &RefusalError{refusal: *refuse(code, message)}
}
