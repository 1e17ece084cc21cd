// Package hwevent defines the catalogue of numbered log events and writes events as structured log lines.
package hwevent

import (
	"io"
	"os"
	"sync"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level int

// The severity levels, in ascending order.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

var levels = map[Level]log.Level{
	Debug: log.DebugLevel,
	Info:  log.InfoLevel,
	Warn:  log.WarnLevel,
	Error: log.ErrorLevel,
}

// String returns the level's name as written in log lines.
func (l Level) String() string { return levels[l].String() }

// Event is an entry of the catalogue.
type Event struct {
	Number      int
	Level       Level
	Name        string
	Description string
}

var catalogue []Event

func register(number int, level Level, name, description string) Event {
	event := Event{
		Number:      number,
		Level:       level,
		Name:        name,
		Description: description,
	}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns a copy of all events in the order of their declaration.
func Catalogue() []Event {
	return append([]Event(nil), catalogue...)
}

// Field is a key-value pair of a log line. Names are in kebab case.
type Field struct {
	Name  string
	Value any
}

// With returns a field with the given name and value.
func With(name string, value any) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}

// Logger writes events, each with one write, and one after the other: it is safe for concurrent use, whatever its writer is. The zero value is not usable; use New or Discard.
type Logger struct {
	logger *log.Logger
}

// New returns a logger that writes events of the given level or higher to w as JSON lines.
// If w is nil, it writes to standard error.
func New(w io.Writer, level Level) *Logger {
	if w == nil {
		w = os.Stderr
	}
	return &Logger{
		logger: &log.Logger{
			Level: levels[level],
			Writer: &log.IOWriter{
				Writer: &serialWriter{
					writer: w,
				},
			},
		},
	}
}

// serialWriter lets one write at a time through, because not every writer is safe for concurrent use.
type serialWriter struct {
	lock   sync.Mutex
	writer io.Writer
}

func (w *serialWriter) Write(line []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.writer.Write(line)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, Error)
}

// Emit writes an event with the given fields, unless its level is below the logger's.
func (l *Logger) Emit(event Event, fields ...Field) {
	entry := l.logger.WithLevel(levels[event.Level])
	if entry == nil {
		return
	}
	entry = entry.Int("event", event.Number).Str("name", event.Name)
	for _, f := range fields {
		entry = appendField(entry, f)
	}
	entry.Msg("")
}

// appendField adds a field to a log entry. Common types are written without reflection.
func appendField(entry *log.Entry, f Field) *log.Entry {
	switch value := f.Value.(type) {
	case string:
		return entry.Str(f.Name, value)
	case int:
		return entry.Int(f.Name, value)
	case int64:
		return entry.Int64(f.Name, value)
	case uint64:
		return entry.Uint64(f.Name, value)
	case bool:
		return entry.Bool(f.Name, value)
	default:
		return entry.Any(f.Name, value)
	}
}
