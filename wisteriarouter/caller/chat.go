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

// chatBody is the part of an OpenAI-compatible body that a router reads. All
// other fields go to the engine as they are.
type chatBody struct {
	Model    string        `json:"model" minLength:"1" doc:"Model, without version."`
	Messages []chatMessage `json:"messages" minItems:"1"`
	Stream   bool          `json:"stream,omitempty" doc:"Answer with server-sent events."`
	Partial  string        `json:"partial,omitempty" doc:"With Last-Event-ID: the text that has arrived so far, so that the answer can go on if its endpoint is lost, too."`
	_        struct{}      `json:"-" additionalProperties:"true"`
}

// chat is one checked chat request.
type chat struct {
	requestID   string // its id in logs
	team        coordination.Team
	account     coordination.Account
	id          coordination.Chat
	hint        string
	plan        Plan
	deadline    time.Time
	stream      bool
	partial     string
	maxTokens   int // tokens of the whole answer
	resumeFrom  *engine.EventID
	body        body
	binding     engine.Fingerprint
	fingerprint uint64
	arrived     time.Time
}

// body is a caller's JSON object with its fields as they came.
type body map[string]json.RawMessage

// parseBody reads raw and takes out what only routers understand.
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

// Names of the fields of a body that a router reads or sets.
const (
	fieldModel                = "model"
	fieldPartial              = "partial"
	fieldStream               = "stream"
	fieldStreamOptions        = "stream_options"
	fieldMessages             = "messages"
	fieldContinueFinalMessage = "continue_final_message"
	fieldAddGenerationPrompt  = "add_generation_prompt"
)

// limitFields are the fields in which a caller may limit the new tokens.
var limitFields = []string{"max_completion_tokens", "max_tokens"}

// checkFieldNames refuses names that differ from those of fields that a router reads
// only in their case. Go's decoder takes them for the same field and engines
// do not: a caller could have the router check one model or one text, and the
// engine run another.
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

// forEngine returns the body that an engine gets: streaming, with at most left
// new tokens if the caller set a limit, and going on behind text when the
// answer has begun.
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

// maxTokens returns the most tokens of the whole answer: what the caller asks for,
// and never more than most.
func (b body) maxTokens(most int) int {
	for _, f := range limitFields {
		var n int
		if err := json.Unmarshal(b[f], &n); err == nil && n > 0 {
			return min(n, most)
		}
	}
	return most
}

// withPartial returns the messages with the answer so far behind them.
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

// newChat checks a request. Whatever is wrong with it is refused before
// anything reaches an endpoint.
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

// maxDeadlineMs is the longest deadline, a day, that a caller may ask for; a
// longer one would not fit into a duration.
const maxDeadlineMs = 24 * 60 * 60 * 1000

func (c *chat) setDeadline(ms int) {
	within := c.plan.StartTimeout
	if asked := time.Duration(min(ms, maxDeadlineMs)) * time.Millisecond; asked > 0 && (within == 0 || asked < within) {
		within = asked
	}
	if within > 0 {
		c.deadline = c.arrived.Add(within)
	}
}

// bindingBytes is how much of a digest stands in an attempt's id.
const bindingBytes = 12

// bind ties the request's attempts to its team, account and body.
func (c *chat) bind(model string) {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q ", c.team, c.account, model)
	h.Write(c.body[fieldMessages])
	c.binding = engine.Fingerprint(hex.EncodeToString(h.Sum(nil)[:bindingBytes]))
}

// fingerprintOf returns what a conversation is known by, through whichever
// account it comes and however its JSON is spaced.
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

// setResume reads Last-Event-ID. An id that was made for another request is
// refused: it would deliver an answer to somebody else.
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

// refuse returns the refusal of a request that was never sent anywhere and
// that makes no sense to repeat soon as it is.
func refuse(code outcome.Code, message string) *outcome.Refusal {
	return &outcome.Refusal{Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfterBadRequest}
}

// retryAfterBadRequest is when a caller whose request is at fault may come back:
// after settings may have changed.
const retryAfterBadRequest = 5 * time.Second

// serve follows one chat request to its end and writes it to sink.
func (s *Server) serve(ctx context.Context, c *chat, sink responseSink) {
	s.Metrics.inFlight.Inc()
	defer s.Metrics.inFlight.Dec()
	s.Retries.RecordRequest(c.team)
	a := &chatRun{Server: s, chat: c, sink: sink}
	a.run(ctx)
}
