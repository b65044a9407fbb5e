// Package event defines the numbered events of the router's log. Operators can
// search, count and alert on a number, which does not change when the text
// does.
package event

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Number identifies a kind of event. Numbers are never reused.
type Number int

// Kind describes one kind of event.
type Kind struct {
	Number Number
	Name   string       // stable name in kebab case
	Level  logrus.Level // log level
	Help   string       // meaning of the event, and what an operator should do
}

// Field is a named value of an event.
type Field struct {
	Name  string
	Value any
}

// F returns a Field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes structured, numbered events. The zero value discards them.
type Log struct {
	logger     *logrus.Logger
	limits     *limiter
	baseFields []Field
}

// NewLog returns a log that writes to logger. It adds baseFields to each line.
func NewLog(logger *logrus.Logger, baseFields ...Field) Log {
	return Log{logger: logger, limits: &limiter{kinds: make(map[Number]*lineCount)}, baseFields: baseFields}
}

// Emit logs one event. Events of a kind that exceed its limit per second are
// dropped; their number is logged before the first event of the kind in a later
// second.
func (l Log) Emit(k Kind, fields ...Field) {
	if l.logger == nil || !l.logger.IsLevelEnabled(k.Level) {
		return
	}
	ok, dropped := l.limits.allow(time.Now(), k)
	if dropped > 0 {
		l.write(LinesDropped, F("kind", k.Name), F("count", dropped))
	}
	if ok {
		l.write(k, fields...)
	}
}

func (l Log) write(k Kind, fields ...Field) {
	data := make(logrus.Fields, len(fields)+1)
	data["event"] = int(k.Number)
	for _, f := range l.baseFields {
		data[f.Name] = f.Value
	}
	for _, f := range fields {
		data[f.Name] = f.Value
	}
	l.logger.WithFields(data).Log(k.Level, k.Name)
}
