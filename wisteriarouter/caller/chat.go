package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/outcome"
	"wisteriaspool/coordination/suspicion"
	"wisteriaspool/wisteriarouter/engine"
)

// ChatHeaders are the headers of a chat request.
type ChatHeaders struct {
	Team        string `header:"X-Team" doc:"Team whose settings serve the request. Required."`
	Account     string `header:"X-Client-Account" doc:"Client account. Required."`
	Chat        string `header:"X-Chat-Id" doc:"Conversation, which may return."`
	Hint        string `header:"X-Route-Hint" doc:"Hint of the chat's last answer."`
	Priority    int    `header:"X-Priority" doc:"Higher goes first; capped by the team's settings."`
	DeadlineMs  int    `header:"X-Deadline-Ms" minimum:"0" doc:"Milliseconds in which the answer must start."`
	LastEventID string `header:"Last-Event-ID" doc:"Continue the stream behind this event."`
	RequestID   string `header:"X-Request-Id" maxLength:"128" doc:"Names the request in logs; made by the router if missing."`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string   `json:"role" minLength:"1"`
	Content any      `json:"content,omitempty"`
	_       struct{} `json:"-" additionalProperties:"true"`
}

// chatBody holds the fields of an OpenAI-compatible body that the router
// reads. All other fields are passed to the engine unchanged.
type chatBody struct {
	Model    string        `json:"model" minLength:"1" doc:"Model, without version."`
	Messages []chatMessage `json:"messages" minItems:"1"`
	Stream   bool          `json:"stream,omitempty" doc:"Answer with server-sent events."`
	Partial  string        `json:"partial,omitempty" doc:"With Last-Event-ID: the text that has arrived so far, so that the answer can go on if its endpoint is lost, too."`
	_        struct{}      `json:"-" additionalProperties:"true"`
}

// chat is a validated chat request.
type chat struct {
	requestID   string // logged with every event of the request
	team        coordination.Team
	account     coordination.Account
	id          coordination.Chat
	hint        string
	plan        Plan
	deadline    time.Time
	stream      bool
	partial     string
	maxTokens   int // limit for the whole answer
	resumeFrom  *engine.EventID
	body        body
	binding     engine.Fingerprint
	fingerprint uint64
	arrived     time.Time
}

// body is the JSON object of a caller, with its fields undecoded.
type body map[string]json.RawMessage

// parseBody decodes raw and removes the fields that only routers understand.
func parseBody(raw []byte) (body, error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("caller: body: %w", err)
	}
	if err := b.checkFieldNames(); err != nil {
		return nil, err
	}
	delete(b, fieldPartial)
	return b, nil
}

// Names of the body fields that the router reads or sets.
const (
	fieldModel                = "model"
	fieldPartial              = "partial"
	fieldStream               = "stream"
	fieldStreamOptions        = "stream_options"
	fieldMessages             = "messages"
	fieldContinueFinalMessage = "continue_final_message"
	fieldAddGenerationPrompt  = "add_generation_prompt"
)

// limitFields are the fields in which a caller may limit the generated tokens,
// in order of precedence.
var limitFields = []string{"max_completion_tokens", "max_tokens"}

// checkFieldNames rejects fields whose names differ only in case from those
// that the router reads. encoding/json treats them as the same field and
// engines do not: a caller could have the router check one model or text and
// the engine run another.
func (b body) checkFieldNames() error {
	if err := b.checkCase(fieldModel, fieldMessages, fieldStream, fieldPartial); err != nil {
		return err
	}
	var messages []body
	if err := json.Unmarshal(b[fieldMessages], &messages); err != nil {
		return fmt.Errorf("caller: messages: %w", err)
	}
	for _, m := range messages {
		if err := m.checkCase("role", "content"); err != nil {
			return err
		}
	}
	return nil
}

func (b body) checkCase(names ...string) error {
	for field := range b {
		for _, name := range names {
			if field != name && strings.EqualFold(field, name) {
				return fmt.Errorf("caller: field %q: the name is %q", field, name)
			}
		}
	}
	return nil
}

// forEngine returns the body to send to an engine: streaming, with at most
// left new tokens if the caller set a limit, and continuing text if part of
// the answer has been delivered.
func (b body) forEngine(text string, left int) ([]byte, error) {
	out := maps.Clone(b)
	out[fieldStream] = json.RawMessage("true")
	out[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	for _, f := range limitFields {
		if _, set := out[f]; set {
			out[f] = json.RawMessage(strconv.Itoa(left))
		}
	}
	if text != "" {
		messages, err := b.withPartial(text)
		if err != nil {
			return nil, err
		}
		out[fieldMessages] = messages
		out[fieldContinueFinalMessage] = json.RawMessage("true")
		out[fieldAddGenerationPrompt] = json.RawMessage("false")
	}
	return json.Marshal(out)
}

// maxTokens returns the token limit of the whole answer: the limit set by the
// caller, but no more than most.
func (b body) maxTokens(most int) int {
	for _, f := range limitFields {
		var n int
		if err := json.Unmarshal(b[f], &n); err == nil && n > 0 {
			return min(n, most)
		}
	}
	return most
}

// withPartial returns the messages followed by the answer so far.
func (b body) withPartial(text string) (json.RawMessage, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(b[fieldMessages], &messages); err != nil {
		return nil, err
	}
	last, err := json.Marshal(chatMessage{Role: "assistant", Content: text})
	if err != nil {
		return nil, err
	}
	return json.Marshal(append(messages, last))
}

// newChat validates a request. It refuses an invalid one before anything is
// sent to an endpoint.
func (s *Server) newChat(h ChatHeaders, in chatBody, raw []byte) (*chat, *outcome.Refusal) {
	if h.Team == "" {
		return nil, refuse(outcome.UnknownTeam, "the X-Team header is missing")
	}
	if h.Account == "" {
		return nil, refuse(outcome.MissingAccount, "the X-Client-Account header is missing")
	}
	b, err := parseBody(raw)
	if err != nil {
		return nil, refuse(outcome.Malformed, err.Error())
	}
	c := &chat{
		requestID: h.RequestID,
		team:      coordination.Team(h.Team),
		account:   coordination.Account(h.Account),
		id:        coordination.Chat(h.Chat),
		hint:      h.Hint,
		stream:    in.Stream,
		partial:   in.Partial,
		body:      b,
		arrived:   time.Now(),
	}
	var refusal *outcome.Refusal
	c.plan, refusal = s.Planner.PlanChat(c.team, c.account, coordination.Model(in.Model), coordination.Priority(h.Priority))
	if refusal != nil {
		return nil, refusal
	}
	c.maxTokens = b.maxTokens(int(c.plan.MaxTokens))
	c.setDeadline(h.DeadlineMs)
	c.bind(in.Model)
	c.fingerprint = fingerprintOf(in.Messages)
	return c, c.setResume(h.LastEventID)
}

// maxDeadlineMs is the maximum deadline that a caller may set: one day. An
// unlimited one could overflow time.Duration.
const maxDeadlineMs = 24 * 60 * 60 * 1000

func (c *chat) setDeadline(ms int) {
	within := c.plan.StartTimeout
	if requested := time.Duration(min(ms, maxDeadlineMs)) * time.Millisecond; requested > 0 && (within == 0 || requested < within) {
		within = requested
	}
	if within > 0 {
		c.deadline = c.arrived.Add(within)
	}
}

// bindingBytes is the length of the part of a digest that attempt ids contain.
const bindingBytes = 12

// bind sets the binding, which ties the attempts of the request to its team,
// account, model and messages.
func (c *chat) bind(model string) {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q ", c.team, c.account, model)
	h.Write(c.body[fieldMessages])
	c.binding = engine.Fingerprint(hex.EncodeToString(h.Sum(nil)[:bindingBytes]))
}

// fingerprintOf returns a fingerprint of the conversation that depends neither
// on the caller's account nor on the whitespace of its JSON.
func fingerprintOf(messages []chatMessage) uint64 {
	parts := make([]string, 0, 2*len(messages))
	for _, m := range messages {
		text, ok := m.Content.(string)
		if !ok {
			text = marshal(m.Content)
		}
		parts = append(parts, m.Role, text)
	}
	return uint64(suspicion.FingerprintOf(parts...))
}

// setResume parses Last-Event-ID. It refuses an id made for another request,
// which would deliver the answer to a different caller.
func (c *chat) setResume(last string) *outcome.Refusal {
	if last == "" {
		return nil
	}
	id, err := engine.ParseEventID(last)
	if err != nil {
		return refuse(outcome.Malformed, "Last-Event-ID: "+err.Error())
	}
	_, binding, err := engine.ParseAttempt(id.Attempt)
	if err != nil || binding != c.binding {
		return refuse(outcome.Malformed, "Last-Event-ID belongs to another request; send the same body, team and account")
	}
	c.resumeFrom = &id
	return nil
}

func (c *chat) placementRequest(exclude []coordination.Endpoint) PlacementRequest {
	return PlacementRequest{
		Team:        c.team,
		Account:     c.account,
		Pool:        c.plan.Pool,
		Chat:        c.id,
		Hint:        c.hint,
		Priority:    c.plan.Priority,
		Deadline:    c.deadline,
		Exclude:     exclude,
		Fingerprint: c.fingerprint,
	}
}

// refuse returns the refusal of a request that was sent to no endpoint and
// that would be refused again if repeated unchanged.
func refuse(code outcome.Code, message string) *outcome.Refusal {
	return &outcome.Refusal{Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfterBadRequest}
}

// retryAfterBadRequest is the Retry-After of an invalid request. By then the
// settings may have changed.
const retryAfterBadRequest = 5 * time.Second

// serve runs one chat request and writes its answer to sink.
func (s *Server) serve(ctx context.Context, c *chat, sink responseSink) {
	s.Metrics.inFlight.Inc()
	defer s.Metrics.inFlight.Dec()
	s.Retries.RecordRequest(c.team)
	a := &chatRun{Server: s, chat: c, sink: sink}
	a.run(ctx)
}
