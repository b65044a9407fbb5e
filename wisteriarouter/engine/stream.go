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

// newStartRequest builds the HTTP request of an attempt. Its body cannot be
// rewound: otherwise the transport would resend it over a new connection when
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

// reorderWindow is the number of out-of-order chunks that may be buffered
// before the missing chunk is considered lost.
const reorderWindow = 64

// Stream is the open answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	body          io.Closer
	watchdog      *idleWatchdog
	readEvent     func() (sse.Event, error, bool)
	stopReading   func()
	attempt       coordination.Attempt
	offset        int           // offset of the last chunk returned by Next
	outOfOrder    map[int]Chunk // chunks received before their predecessors, by offset
	reorderBytes  int           // size of outOfOrder
	final         *Chunk        // last chunk of the answer, nil until received
	finished      bool          // the final chunk has been returned
	foreignChunks int
	decoder       *chunkDecoder
}

func newStream(body io.ReadCloser, w *idleWatchdog, id coordination.Attempt, offset int) *Stream {
	next, release := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})))
	return &Stream{body: body, watchdog: w, readEvent: next, stopReading: release, attempt: id, offset: offset, decoder: newChunkDecoder()}
}

// ForeignChunks returns the number of chunks that were dropped because their
// event id was invalid or named another attempt.
func (s *Stream) ForeignChunks() int { return s.foreignChunks }

// Close closes the connection. It does not cancel the attempt.
func (s *Stream) Close() {
	s.stopReading()
	s.watchdog.stop()
	s.body.Close()
}

// Next returns the next chunk of the answer, each offset once and in order. The
// error is io.EOF after a complete answer, wraps ErrTruncated if the rest of
// the answer did not arrive over this connection, and wraps ErrMalformed if a
// chunk cannot be decoded.
func (s *Stream) Next() (Chunk, error) {
	for {
		if c, ok := s.nextBuffered(); ok {
			return c, nil
		}
		if s.finished {
			return Chunk{}, io.EOF
		}
		if len(s.outOfOrder) > reorderWindow || s.reorderBytes > maxReorderBytes {
			return Chunk{}, fmt.Errorf("%w: token %d is missing", ErrTruncated, s.offset+1)
		}
		e, err, ok := s.readEvent()
		if !ok || e.Data == doneData {
			return Chunk{}, ErrTruncated
		}
		if err != nil {
			// The cause is not wrapped: callers would take an io.EOF in its chain
			// for the end of a complete answer.
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

// nextBuffered returns the chunk after the last returned one, if it is
// buffered. The final chunk is held back until all tokens before it have been
// returned.
func (s *Stream) nextBuffered() (Chunk, bool) {
	if c, ok := s.outOfOrder[s.offset+1]; ok {
		delete(s.outOfOrder, s.offset+1)
		s.reorderBytes -= size(c)
		s.offset++
		return c, true
	}
	if s.final != nil && !s.finished && s.final.Offset == s.offset {
		s.finished = true
		return *s.final, true
	}
	return Chunk{}, false
}

// receive processes one event and returns its chunk if that is the next one.
// Events of other attempts are dropped, because they would insert text of a
// different answer. Chunks that were already returned are dropped, because they
// would repeat text. Chunks received early are buffered.
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
		final := c
		s.final = &final
	case c.Offset == s.offset+1:
		s.offset++
		return c, true, nil
	case c.Offset > s.offset:
		s.buffer(c)
	}
	return Chunk{}, false, nil
}

// buffer stores a chunk until its predecessors have been returned.
func (s *Stream) buffer(c Chunk) {
	if s.outOfOrder == nil {
		s.outOfOrder = make(map[int]Chunk)
	}
	s.reorderBytes += size(c) - size(s.outOfOrder[c.Offset])
	s.outOfOrder[c.Offset] = c
}

// size returns about how many bytes a chunk takes.
func size(c Chunk) int { return len(c.Data) + len(c.Text) }
