package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const fuzzAttempt = "e1-00112233445566778899aabbccddeeff-f0"

// tokenEvent returns an event with one token of the attempt under test.
func tokenEvent(offset, text string) string {
	return "id: " + fuzzAttempt + "." + offset + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":null}]}\n\n"
}

// finalEvent returns the event that ends an answer of total tokens.
func finalEvent(total string) string {
	return "id: " + fuzzAttempt + "." + total + "\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
}

// streamSeeds are valid, reordered, duplicated, truncated and malformed
// streams.
var streamSeeds = []string{
	"",
	tokenEvent("1", "a ") + tokenEvent("2", "b ") + finalEvent("2") + "data: [DONE]\n\n",
	tokenEvent("2", "b ") + tokenEvent("1", "a ") + tokenEvent("1", "a ") + finalEvent("2"),
	finalEvent("2") + tokenEvent("1", "a ") + tokenEvent("2", "b "),
	tokenEvent("1", "a ") + finalEvent("2") + "data: [DONE]\n\n",
	tokenEvent("1", "a ") + finalEvent("0"),
	tokenEvent("1", "a ") + strings.Replace(tokenEvent("2", "b "), "e1-", "e2-", 1) + finalEvent("1"),
	tokenEvent("-1", "a ") + tokenEvent("99999999999999999999", "a ") + tokenEvent("9223372036854775807", "a "),
	"id: " + fuzzAttempt + ".1\n\n",
	"id: " + fuzzAttempt + ".1\ndata:\n\n",
	"id: " + fuzzAttempt + ".1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]} {}\n\n" + tokenEvent("2", "b "),
	"id: " + fuzzAttempt + ".1\ndata: {\"choices\":[\ndata:\ndata: ]}\n\n" + finalEvent("1"),
	"id: " + fuzzAttempt + ".1\ndata: {\"choices\":{}}\n\n",
	"id: " + fuzzAttempt + ".1\ndata: null\n\nid: " + fuzzAttempt + ".2\ndata: [\n\n",
	"\xef\xbb\xbf:comment\r\n" + strings.ReplaceAll(tokenEvent("1", "a "), "\n", "\r\n") + strings.ReplaceAll(finalEvent("1"), "\n", "\r"),
	"event: error\nid\nretry: 1\ndata\n\n\n\n",
	strings.Repeat(tokenEvent("5", "x "), 3) + strings.Repeat("data: \n", 100) + "\n",
}

// newBytesStream returns a stream that reads data, starting after token offset.
func newBytesStream(data []byte, offset int) *Stream {
	return newStream(io.NopCloser(bytes.NewReader(data)), newWatchdog(context.Background(), 0), fuzzAttempt, offset)
}

// Whatever an engine sends, the router must not panic, deliver a token twice or
// out of order, take a broken answer for a complete one, or corrupt the stream
// to the caller.
func FuzzStream(f *testing.F) {
	for _, seed := range streamSeeds {
		f.Add([]byte(seed), 0)
		f.Add([]byte(seed), 1)
	}
	f.Fuzz(func(t *testing.T, data []byte, offset int) {
		if offset < 0 {
			return // routers never resume at a negative offset
		}
		s := newBytesStream(data, offset)
		defer s.Close()
		whole := false
		for {
			c, err := s.Next()
			if err != nil {
				checkFinalError(t, err, whole)
				return
			}
			assert.Assert(t, !whole, "a chunk after the final one")
			checkChunk(t, c, offset)
			offset = c.Offset
			whole = c.Finish != ""
		}
	})
}

// checkChunk checks the chunk that follows token offset.
func checkChunk(t *testing.T, c Chunk, offset int) {
	t.Helper()
	if c.Finish == "" {
		offset++
	}
	assert.Equal(t, c.Offset, offset)
	assert.Assert(t, json.Valid([]byte(c.Data)), "%q", c.Data)
	assert.Assert(t, !strings.ContainsAny(c.Data, "\r\n"), "%q", c.Data)
}

// checkFinalError checks the error that ended a stream. whole tells whether the
// final chunk was returned before it.
func checkFinalError(t *testing.T, err error, whole bool) {
	t.Helper()
	if whole {
		assert.Equal(t, err, io.EOF)
		return
	}
	assert.Assert(t, !errors.Is(err, io.EOF), "a broken answer was taken for a complete one: %v", err)
	assert.Assert(t, errors.Is(err, ErrTruncated) || errors.Is(err, ErrMalformed), "%v", err)
}

// A caller can send any Last-Event-ID. Every id that is accepted must be
// unchanged by formatting and parsing it again.
func FuzzEventID(f *testing.F) {
	for _, seed := range []string{"", ".", fuzzAttempt + ".0", fuzzAttempt + ".-1", fuzzAttempt + ".+1", fuzzAttempt + ".01", "a.b.3", "--.1", "-.\x00.9"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err != nil {
			return
		}
		assert.Assert(t, id.Offset >= 0)
		back, err := ParseEventID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, back, id)
		if e, fp, err := ParseAttempt(id.Attempt); err == nil {
			assert.Assert(t, e != "" && fp != "")
		}
	})
}

// An engine sends a chunk as several data lines, without data, or with data
// after the JSON value. The caller's stream would break within an event, or a
// broken answer would look complete.
func TestMultilineAndMalformedChunks(t *testing.T) {
	s := newBytesStream([]byte("id: "+fuzzAttempt+".1\ndata: {\"choices\":[\ndata:\ndata: ]}\n\n"), 0)
	defer s.Close()
	c, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, c.Data, `{"choices":[  ]}`)
	for _, data := range []string{"", "data:\n", "data: {} {}\n", "data: {}]\n", "data: {\n", "data: []\n"} {
		s := newBytesStream([]byte("id: "+fuzzAttempt+".1\n"+data+"\n"), 0)
		defer s.Close()
		_, err := s.Next()
		assert.ErrorIs(t, err, ErrMalformed, "%q", data)
		assert.Assert(t, !errors.Is(err, io.EOF), "%q", data)
	}
}

// The decoder of a stream reuses its state. A chunk that omits fields must not
// return the values of the previous chunk.
func TestDecoderResetsBetweenChunks(t *testing.T) {
	d := newChunkDecoder()
	c, err := d.decode(`{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}],"usage":{"prompt_tokens":7}}`)
	assert.NilError(t, err)
	assert.Equal(t, c.Text+c.Finish, "astop")
	assert.Equal(t, int(c.Usage.Prompt), 7)
	for _, data := range []string{`{}`, `{"choices":[]}`, `{"choices":[{}]}`, `null`, ` {"choices":[{"delta":{}}]} `} {
		c, err := d.decode(data)
		assert.NilError(t, err)
		assert.Equal(t, c.Text+c.Finish, "", data)
		assert.Assert(t, c.Usage == nil, data)
	}
}
