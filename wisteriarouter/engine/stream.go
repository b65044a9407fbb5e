package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"iter"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"wisteriaspool/coordination"
)

// doneData is the data of the event that ends an OpenAI-compatible stream.
const doneData = "[DONE]"

// newStartRequest builds the request of an attempt. Its body cannot be rewound: the
// transport would otherwise send it a second time over a new connection when
// an idle one breaks, and the model would run twice.
func newStartRequest(ctx context.Context, address string, req Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(req.Body))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(req.Body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(headerAttempt, string(req.Attempt))
	r.Header.Set(headerPriority, formatPriority(req.Priority))
	r.Header.Set(headerChat, string(scopedChatFromContext(ctx, req.Chat)))
	return r, nil
}

// reorderWindow is how many chunks may be ahead of a missing one before the missing
// one is taken for lost.
const reorderWindow = 64

// Stream is the open answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	body          io.Closer
	watchdog      *idleWatchdog
	readEvent     func() (sse.Event, error, bool)
	stopReading   func()
	attempt       coordination.Attempt
	offset        int           // of the last chunk that Next returned
	outOfOrder    map[int]Chunk // chunks that came before their predecessors
	final         *Chunk        // the chunk that ends the answer, once it came
	finished      bool          // the closing chunk was returned
	foreignChunks int
	decoder       *chunkDecoder
}

func newStream(body io.ReadCloser, w *idleWatchdog, id coordination.Attempt, offset int) *Stream {
	next, release := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})))
	return &Stream{body: body, watchdog: w, readEvent: next, stopReading: release, attempt: id, offset: offset, decoder: newChunkDecoder()}
}

// ForeignChunks returns how many chunks came that belong to another attempt. They
// were dropped.
func (s *Stream) ForeignChunks() int { return s.foreignChunks }

// Close ends the connection. It does not cancel the attempt.
func (s *Stream) Close() {
	s.stopReading()
	s.watchdog.stop()
	s.body.Close()
}

// Next returns the next chunk of the answer, each offset once and in order. It
// returns io.EOF behind a whole answer, ErrTruncated when the rest did not come over
// this connection, and ErrMalformed when what came cannot be read.
func (s *Stream) Next() (Chunk, error) {
	for {
		if c, ok := s.nextBuffered(); ok {
			return c, nil
		}
		if s.finished {
			return Chunk{}, io.EOF
		}
		if len(s.outOfOrder) > reorderWindow {
			return Chunk{}, fmt.Errorf("%w: token %d is missing", ErrTruncated, s.offset+1)
		}
		e, err, ok := s.readEvent()
		if !ok || e.Data == doneData {
			return Chunk{}, ErrTruncated
		}
		if err != nil {
			// Not wrapped: an io.EOF among its causes would pass for the end of
			// a whole answer.
			return Chunk{}, fmt.Errorf("%w: %v", ErrTruncated, err)
		}
		s.watchdog.recordEvent()
		c, ok, err := s.receive(e)
		if err != nil {
			return Chunk{}, err
		}
		if ok {
			return c, nil
		}
	}
}

// nextBuffered returns the chunk that follows the last one, if it has come. The chunk
// that ends the answer waits until all tokens before it have been returned.
func (s *Stream) nextBuffered() (Chunk, bool) {
	if c, ok := s.outOfOrder[s.offset+1]; ok {
		delete(s.outOfOrder, s.offset+1)
		s.offset++
		return c, true
	}
	if s.final != nil && !s.finished && s.final.Offset == s.offset {
		s.finished = true
		return *s.final, true
	}
	return Chunk{}, false
}

// receive sorts in one event, and returns its chunk if that is the next one. An
// event of another attempt is dropped: it would put somebody else's words into
// the answer. One that came before is dropped, too: it would put a word in
// twice. One that comes too early waits.
func (s *Stream) receive(e sse.Event) (Chunk, bool, error) {
	id, err := ParseEventID(e.LastEventID)
	if err != nil || id.Attempt != s.attempt {
		s.foreignChunks++
		return Chunk{}, false, nil
	}
	c, err := s.decoder.decode(e.Data)
	if err != nil {
		return Chunk{}, false, err
	}
	c.Offset = id.Offset
	switch {
	case c.Finish != "":
		closing := c
		s.final = &closing
	case c.Offset == s.offset+1:
		s.offset++
		return c, true, nil
	case c.Offset > s.offset:
		s.buffer(c)
	}
	return Chunk{}, false, nil
}

// buffer has a chunk wait for its predecessors.
func (s *Stream) buffer(c Chunk) {
	if s.outOfOrder == nil {
		s.outOfOrder = make(map[int]Chunk)
	}
	s.outOfOrder[c.Offset] = c
}
