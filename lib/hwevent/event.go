// Package hwevent holds the catalogue of numbered log events and writes them as structured lines.
package hwevent

import (
	"io"
	"os"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level int

// The levels, from least to most severe.
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

// String returns the level's name as it stands in a log line.
func (l Level) String() string { return levels[l].String() }

// Event is one entry of the catalogue.
type Event struct {
	Number      int
	Level       Level
	Name        string
	Description string
}

var catalogue []Event

func register(number int, level Level, name, meaning string) Event {
	event := Event{
		Number:      number,
		Level:       level,
		Name:        name,
		Description: meaning,
	}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns every event in the order of its number.
func Catalogue() []Event {
	return append([]Event(nil), catalogue...)
}

// Field is a name in kebab case and its value.
type Field struct {
	Name  string
	Value any
}

// With returns a field.
func With(name string, value any) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}

// Logger writes events. The zero value is not usable; use New or Discard.
type Logger struct {
	logger *log.Logger
}

// New returns a logger that writes JSON lines of at least the given level to w.
// A nil writer stands for the standard error stream.
func New(w io.Writer, level Level) *Logger {
	if w == nil {
		w = os.Stderr
	}
	return &Logger{
		logger: &log.Logger{
			Level: levels[level],
			Writer: &log.IOWriter{
				Writer: w,
			},
		},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, Error)
}

// Emit writes one event with its fields.
func (l *Logger) Emit(event Event, fields ...Field) {
	entry := l.logger.WithLevel(levels[event.Level])
	if entry == nil {
		return
	}
	entry = entry.Int("event", event.Number).Str("name", event.Name)
	for _, f := range fields {
		entry = add(entry, f)
	}
	entry.Msg("")
}

// add writes a field; the common types go without reflection.
func add(entry *log.Entry, f Field) *log.Entry {
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
