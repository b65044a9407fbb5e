package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Capacities of the queues of a Writer, in lines of about 300 bytes. One
// instance at full load logs some hundred lines per second, so the queues hold
// several seconds. They take at most 1.2 MB.
const (
	urgentQueueSize   = 1024
	ordinaryQueueSize = 3072
)

// Writer writes lines to an output that may block, such as a pipe without a
// reader, and never blocks itself: lines that do not fit its queues are dropped
// and counted. Warnings and errors have their own queue and are written first,
// so that many informational lines do not displace them.
type Writer struct {
	out      io.Writer
	urgent   chan []byte
	ordinary chan []byte
	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
	dropped  atomic.Uint64
}

// NewWriter returns a writer to out, and a function that writes the queued
// lines and stops the writer.
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

// stopTimeout limits how long stopping waits for the output: a router must not
// hang at shutdown because nothing reads its log.
const stopTimeout = 500 * time.Millisecond

func (w *Writer) stop() {
	w.once.Do(func() { close(w.stopping) })
	select {
	case <-w.stopped:
	case <-time.After(stopTimeout):
	}
}

// Dropped returns the number of lines that were dropped because a queue was
// full or the output failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// enqueue copies a line to the queue of its level, or drops it if the queue is
// full.
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

// next returns the next line, urgent lines first. It returns false once the
// writer is stopping and the queues are empty.
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

// write writes a line to the output. A line that cannot be written counts as
// dropped, since there is nowhere to report the error.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// formatter passes each formatted line and its level to a Writer. It returns no
// data, so that the logger itself writes nothing.
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

// Attach makes logger write its lines through w.
func (w *Writer) Attach(logger *logrus.Logger) {
	logger.SetFormatter(formatter{Formatter: logger.Formatter, writer: w})
	logger.SetOutput(io.Discard)
}
