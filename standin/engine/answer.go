package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minDefaultLength  = 8    // minimum length in tokens of an answer without max_tokens
	defaultLengthSpan = 57   // number of possible lengths in tokens of an answer without max_tokens
	maxAnswerTokens   = 4096 // limit in tokens on every answer
	syllablesPerToken = 5    // each is a consonant and a vowel
)

// Message is one message of a conversation, with the role of its author.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. Its JSON form is a string or a list of
// parts.
type Content string

// UnmarshalJSON decodes a string, null, or a list of parts whose texts are
// concatenated. It returns an error for any other value.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*c = Content(*text)
		}
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("engine: content is neither a string nor a list of parts")
	}
	for _, part := range parts {
		*c += Content(part.Text)
	}
	return nil
}

// Request holds the fields of a chat completion request that the engine uses.
type Request struct {
	Model                string    `json:"model"`
	Messages             []Message `json:"messages"`
	Stream               bool      `json:"stream"`
	MaxTokens            int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens  int       `json:"max_completion_tokens,omitempty"`
	ContinueFinalMessage bool      `json:"continue_final_message,omitempty"`
}

// maxNewTokens returns the requested limit on new tokens, or zero if there is
// none.
func (r Request) maxNewTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// splitPartialAnswer returns the messages before the partial answer to continue,
// and the tokens of that partial answer. Without a partial answer it returns all
// messages.
func (r Request) splitPartialAnswer() ([]Message, []string) {
	last := len(r.Messages) - 1
	if !r.ContinueFinalMessage || last < 0 || r.Messages[last].Role != "assistant" {
		return r.Messages, nil
	}
	return r.Messages[:last], strings.Fields(string(r.Messages[last].Content))
}

// Answer returns the complete answer that every engine gives to messages. If
// maxTokens is zero, the length is derived from the messages. Each token is a
// word with a trailing space.
func Answer(messages []Message, maxTokens int) string {
	return strings.Join(AnswerTokens(messages, maxTokens), "")
}

// AnswerTokens returns the tokens that make up Answer.
func AnswerTokens(messages []Message, maxTokens int) []string {
	hash := conversationHash(messages)
	tokens := make([]string, answerLength(hash, 0, maxTokens))
	for i := range tokens {
		tokens[i] = tokenAt(hash, i)
	}
	return tokens
}

// answerLength returns the length in tokens of the complete answer, including
// the existing tokens of a partial answer. A positive maxTokens sets the number
// of new tokens; otherwise the length is derived from hash.
func answerLength(hash uint64, existing, maxTokens int) int {
	if maxTokens > 0 {
		return min(existing+maxTokens, maxAnswerTokens)
	}
	return max(existing, minDefaultLength+int(hash%defaultLengthSpan))
}

// conversationHash hashes the roles and words of messages. The amount of
// whitespace between words does not matter.
func conversationHash(messages []Message) uint64 {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00")
		for _, word := range strings.Fields(string(m.Content)) {
			_, _ = d.WriteString(word + " ")
		}
		_, _ = d.WriteString("\x01")
	}
	return d.Sum64()
}

// tokenAt returns the token at the zero-based index i of the answer to the
// conversation with the given hash.
func tokenAt(hash uint64, i int) string {
	const consonants, vowels = "bdfgklmnprstvzhj", "aeio"
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], hash)
	binary.LittleEndian.PutUint64(seed[8:], uint64(i))
	bits := xxhash.Sum64(seed[:])
	word := make([]byte, 0, 2*syllablesPerToken+1)
	for range syllablesPerToken {
		word = append(word, consonants[bits%16], vowels[bits/16%4])
		bits /= 64
	}
	return string(append(word, ' '))
}
