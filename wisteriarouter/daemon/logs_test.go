package daemon_test

import (
	"bytes"
	"strings"
	"sync"
)

// logs collects the logs of the routers of a test.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// lines returns the log lines of an event.
func (l *logs) lines(event string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, `"msg":"`+event+`"`) {
			found = append(found, line)
		}
	}
	return found
}
