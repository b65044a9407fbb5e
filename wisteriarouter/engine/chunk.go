package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"wisteriaspool/coordination"
)

// wireChunk holds the fields of a chunk that the router reads. Only the first
// choice is used; an array of length one avoids allocating a slice for each
// token.
type wireChunk struct {
	Choices [1]struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// chunkDecoder decodes the chunks of one stream. It reuses one json.Decoder for
// all of them: json.Unmarshal allocates new decoder state for each token, which
// accounted for half of the router's allocations. It must not be used after an
// error.
type chunkDecoder struct {
	data       strings.Reader
	json       *json.Decoder
	wire       wireChunk
	inputBytes int64 // total bytes of the chunks passed to decode
}

func newChunkDecoder() *chunkDecoder {
	d := &chunkDecoder{}
	d.json = json.NewDecoder(&d.data)
	return d
}

// errTrailingData means that a chunk has data after its JSON value.
var errTrailingData = errors.New("data after the JSON value")

// decode decodes one chunk. Every error wraps ErrMalformed.
func (d *chunkDecoder) decode(data string) (Chunk, error) {
	text := strings.TrimRight(data, " \t\r\n")
	d.data.Reset(text)
	d.inputBytes += int64(len(text))
	d.wire = wireChunk{}
	if err := d.json.Decode(&d.wire); err != nil {
		// The cause is not wrapped: for empty data it is io.EOF, which callers
		// would take for the end of a complete answer.
		return Chunk{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	// The decoder would read unconsumed input as part of the next chunk.
	if d.json.InputOffset() != d.inputBytes {
		return Chunk{}, fmt.Errorf("%w: %w", ErrMalformed, errTrailingData)
	}
	return d.chunk(oneLine(text)), nil
}

// chunk converts the decoded wire format to a Chunk with the given data.
func (d *chunkDecoder) chunk(data string) Chunk {
	first := &d.wire.Choices[0]
	c := Chunk{Data: data, Text: first.Delta.Content, Finish: first.FinishReason}
	if u := d.wire.Usage; u != nil {
		c.Usage = &Usage{
			Prompt:     coordination.Tokens(u.Prompt),
			Cached:     coordination.Tokens(u.Details.Cached),
			Completion: coordination.Tokens(u.Completion),
		}
	}
	return c
}

// oneLine replaces the line breaks of a JSON value by spaces. An engine may
// send the value as several data lines; forwarded unchanged, the line breaks
// would end the caller's SSE event early. JSON strings contain no raw line
// breaks, so the value does not change.
func oneLine(data string) string {
	if strings.IndexByte(data, '\n') < 0 {
		return data
	}
	return strings.ReplaceAll(data, "\n", " ")
}
