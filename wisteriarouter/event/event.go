// Package event numbers what the router logs, so that operators can search,
// count and alert on a number that stays the same when a text changes.
package event

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Number identifies one kind of event. Numbers are never given out again.
type Number int

// Kind describes one numbered event.
type Kind struct {
	Number Number
	Name   string       // kebab case, stable
	Level  logrus.Level // at which it is logged
	Help   string       // what it means and what an operator does
}

// Field is one named value of an event.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes structured, numbered events. The zero value drops them.
type Log struct {
	logger     *logrus.Logger
	limits     *limiter
	baseFields []Field
}

// NewLog returns a log that writes through logger. The fields always go with
// each line.
func NewLog(logger *logrus.Logger, baseFields ...Field) Log {
	return Log{logger: logger, limits: &limiter{kinds: make(map[Number]*lineCount)}, baseFields: baseFields}
}

// Emit logs one event. Of a kind that comes too often the rest of the second is
// dropped, and their number told behind it.
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
