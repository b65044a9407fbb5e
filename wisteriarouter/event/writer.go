package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// The queues of a Writer, in lines of some 300 bytes. At the rate at which one
// instance logs under full load, some hundred lines a second, they hold several
// seconds; they take 1.2 MB at most.
const (
	urgentQueueSize   = 1024
	ordinaryQueueSize = 3072
)

// Writer writes lines to an output that may block, such as a pipe that nobody
// reads, and never blocks itself: what does not fit its queues is dropped and
// counted. Warnings and errors have a queue of their own and go first, so that
// a flood of successes drowns no failure.
type Writer struct {
	out      io.Writer
	urgent   chan []byte
	ordinary chan []byte
	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
	dropped  atomic.Uint64
}

// NewWriter returns a writer to out, and a function that writes what is queued
// and ends it.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{
		out:      out,
		urgent:   make(chan []byte, urgentQueueSize),
		ordinary: make(chan []byte, ordinaryQueueSize),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go w.run()
	return w, w.stop
}

// stopTimeout is how long a writer that is ended waits for its output: a
// router must not hang at its end because nobody reads its log.
const stopTimeout = 500 * time.Millisecond

func (w *Writer) stop() {
	w.once.Do(func() { close(w.stopping) })
	select {
	case <-w.stopped:
	case <-time.After(stopTimeout):
	}
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// enqueue queues a line, of which it keeps no reference.
func (w *Writer) enqueue(level logrus.Level, line []byte) {
	queue := w.ordinary
	if level <= logrus.WarnLevel {
		queue = w.urgent
	}
	select {
	case queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		w.write(line)
	}
}

// next returns the next line, urgent ones first. It returns false when the
// writer has been ended and all is written.
func (w *Writer) next() ([]byte, bool) {
	select {
	case line := <-w.urgent:
		return line, true
	default:
	}
	select {
	case line := <-w.urgent:
		return line, true
	case line := <-w.ordinary:
		return line, true
	case <-w.stopping:
	}
	select {
	case line := <-w.urgent:
		return line, true
	case line := <-w.ordinary:
		return line, true
	default:
		return nil, false
	}
}

// write writes a line. An output that cannot be written to has nobody to tell;
// the line counts as dropped.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// formatter hands each line to a Writer, with its level, and leaves nothing for
// the logger itself to write.
type formatter struct {
	logrus.Formatter
	writer *Writer
}

// Format implements logrus.Formatter.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	line, err := f.Formatter.Format(e)
	if err != nil {
		return nil, err
	}
	f.writer.enqueue(e.Level, line)
	return nil, nil
}

// Attach has logger write through w.
func (w *Writer) Attach(logger *logrus.Logger) {
	logger.SetFormatter(formatter{Formatter: logger.Formatter, writer: w})
	logger.SetOutput(io.Discard)
}
