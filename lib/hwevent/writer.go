package hwevent

import (
	"context"
	"io"
	"log"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// AsyncWriter is a writer that never blocks: it buffers lines in a bounded queue, which one goroutine writes out.
// When more than half of the queue is full, only high-priority lines (warnings, errors and refused requests) are accepted, so that there is still room for them. A lines-dropped event reports how many lines were dropped.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// done receives the result of the writing goroutine and is then closed.
	done   <-chan error
	cancel context.CancelFunc
}

// NewAsyncWriter returns a writer that queues at most capacity lines and writes them to out.
func NewAsyncWriter(ctx context.Context, out io.Writer, capacity int) *AsyncWriter {
	ctx, cancel := context.WithCancel(ctx)
	w := &AsyncWriter{
		lines:  make(chan []byte, capacity),
		cancel: cancel,
	}
	w.done = hwtask.Start(ctx, func(ctx context.Context) error { return w.writeLoop(ctx, out) })
	return w
}

// Write queues or drops one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(w.lines) > cap(w.lines)/2 && !isHighPriority(line) {
		w.dropped.Add(1)
		return len(line), nil
	}
	// The line is copied because the logger reuses its buffer.
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// isHighPriority reports whether a line is a warning, an error or a refused request.
func isHighPriority(line []byte) bool {
	text := string(line)
	return strings.Contains(text, `"level":"warn"`) || strings.Contains(text, `"level":"error"`) || strings.Contains(text, `"name":"request-refused"`)
}

// maxBatchBytes is the size at which a batch is written; batching writes many short lines with one system call.
const maxBatchBytes = 16 << 10

func (w *AsyncWriter) writeLoop(ctx context.Context, out io.Writer) error {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = w.appendQueued(append(batch[:0], line...))
			w.writeBatch(out, batch)
		case <-ctx.Done():
			if batch = w.appendQueued(batch[:0]); len(batch) == 0 {
				return nil
			}
			w.writeBatch(out, batch)
		}
	}
}

// appendQueued appends queued lines until the queue is empty or the batch has reached maxBatchBytes.
func (w *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (w *AsyncWriter) writeBatch(out io.Writer, batch []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = append(batch, `{"level":"warn","event":`+strconv.Itoa(LinesDropped.Number)+`,"name":"`+LinesDropped.Name+`","count":`+strconv.FormatInt(dropped, 10)+"}\n"...)
	}
	// A failure to write the log is ignored because there is nowhere to report it.
	_, _ = out.Write(batch)
}

// Close writes the queued lines and stops the writing goroutine. It returns the context's error if the context is done first, as when the destination takes nothing more.
func (w *AsyncWriter) Close(ctx context.Context) error {
	w.cancel()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// eventWriter emits lines of a standard library logger as events.
type eventWriter struct {
	logger *Logger
	event  Event
}

// Write emits one line as an event.
func (w eventWriter) Write(line []byte) (int, error) {
	w.logger.Emit(w.event, With("line", strings.TrimSpace(string(line))))
	return len(line), nil
}

// StandardLogger returns a standard library logger that emits its lines as the given event.
func StandardLogger(logger *Logger, event Event) *log.Logger {
	return log.New(eventWriter{
		logger: logger,
		event:  event,
	}, "", 0)
}
