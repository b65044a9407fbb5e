package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"wisteriaspool/coordination"
)

// wireChunk is the part of a chunk that a router reads. Only the first choice
// counts, so that an array of one spares a slice for each token.
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

// chunkDecoder decodes the chunks of one stream. It keeps one json.Decoder for
// all of them: json.Unmarshal makes its state anew for each token, which was
// half of all that a router allocated. It is of no use behind an error.
type chunkDecoder struct {
	data       strings.Reader
	json       *json.Decoder
	wire       wireChunk
	inputBytes int64 // bytes of all chunks so far
}

func newChunkDecoder() *chunkDecoder {
	d := &chunkDecoder{}
	d.json = json.NewDecoder(&d.data)
	return d
}

// errTrailingData is the error of a chunk with more than one value.
var errTrailingData = errors.New("text behind the value")

// decode returns the chunk in data. Its error is ErrMalformed.
func (d *chunkDecoder) decode(data string) (Chunk, error) {
	text := strings.TrimRight(data, " \t\r\n")
	d.data.Reset(text)
	d.inputBytes += int64(len(text))
	d.wire = wireChunk{}
	if err := d.json.Decode(&d.wire); err != nil {
		// Not wrapped: the decoder's error for no data is io.EOF, which would
		// pass for the end of a whole answer.
		return Chunk{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	// What the decoder has not taken would be read as the next chunk.
	if d.json.InputOffset() != d.inputBytes {
		return Chunk{}, fmt.Errorf("%w: %w", ErrMalformed, errTrailingData)
	}
	return d.chunk(oneLine(text)), nil
}

// chunk returns what was decoded from data.
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

// oneLine returns a JSON value without line breaks, which an engine may send as
// several data lines. Passed on as they are they would end the event of the
// caller in its middle. Within strings JSON has none.
func oneLine(data string) string {
	if strings.IndexByte(data, '\n') < 0 {
		return data
	}
	return strings.ReplaceAll(data, "\n", " ")
}
