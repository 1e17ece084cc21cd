// Package hwkratos writes the log lines of the kratos library to the event log.
package hwkratos

import (
	"fmt"

	"github.com/go-kratos/kratos/v2/log"

	"github.com/hickorywick/hickorywick/lib/hwevent"
)

// Logger implements the kratos logger interface by emitting events.
type Logger struct {
	events *hwevent.Logger
}

// New returns a kratos logger that writes to the event log.
func New(events *hwevent.Logger) Logger {
	return Logger{
		events: events,
	}
}

// Log emits one log line of the library as an event.
func (l Logger) Log(level log.Level, keyvals ...any) error {
	l.events.Emit(hwevent.LibraryLine,
		hwevent.With("library", "kratos"),
		hwevent.With("level", level.String()),
		hwevent.With("line", fmt.Sprint(keyvals...)))
	return nil
}
