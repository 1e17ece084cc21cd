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

// AsyncWriter is a writer that never blocks: lines wait in memory up to a bound and are written by one goroutine. When half of the bound is taken, lines below Warn are left out, so that failures still find room; a line says how many were left out.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// written is closed when the goroutine has ended.
	written <-chan error
	stop    context.CancelFunc
}

// NewAsyncWriter returns a queue of at most the given number of lines that writes to out.
func NewAsyncWriter(ctx context.Context, out io.Writer, bound int) *AsyncWriter {
	ctx, cancel := context.WithCancel(ctx)
	q := &AsyncWriter{
		lines: make(chan []byte, bound),
		stop:  cancel,
	}
	q.written = hwtask.Start(ctx, func(ctx context.Context) error { return q.run(ctx, out) })
	return q
}

// Write takes one line. It never fails and never waits.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	if len(q.lines) > cap(q.lines)/2 && !urgent(line) {
		q.dropped.Add(1)
		return len(line), nil
	}
	// The logger reuses its buffer.
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// urgent reports whether a line is a refusal, a failure or worse.
func urgent(line []byte) bool {
	text := string(line)
	return strings.Contains(text, `"level":"warn"`) || strings.Contains(text, `"level":"error"`) || strings.Contains(text, `"name":"request-refused"`)
}

// batchBytes bounds what is written at once: many short lines cost one system call.
const batchBytes = 16 << 10

func (q *AsyncWriter) run(ctx context.Context, out io.Writer) error {
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			batch = q.gather(append(batch[:0], line...))
			q.put(out, batch)
		case <-ctx.Done():
			if batch = q.gather(batch[:0]); len(batch) == 0 {
				return nil
			}
			q.put(out, batch)
		}
	}
}

// gather adds the lines that wait, up to the bound.
func (q *AsyncWriter) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (q *AsyncWriter) put(out io.Writer, batch []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		batch = append(batch, `{"level":"warn","event":`+strconv.Itoa(LinesDropped.Number)+`,"name":"`+LinesDropped.Name+`","count":`+strconv.FormatInt(dropped, 10)+"}\n"...)
	}
	// A log that can't be written has nobody to tell.
	_, _ = out.Write(batch)
}

// Close writes what waits and ends the queue. A reader that has stalled holds it up.
func (q *AsyncWriter) Close() error {
	q.stop()
	return hwtask.Join(q.written)
}

// eventWriter turns lines of the standard library into events.
type eventWriter struct {
	logger *Logger
	event  Event
}

// Write emits one line.
func (w eventWriter) Write(line []byte) (int, error) {
	w.logger.Emit(w.event, With("line", strings.TrimSpace(string(line))))
	return len(line), nil
}

// StandardLogger returns a logger of the standard library that emits its lines as events.
func StandardLogger(logger *Logger, event Event) *log.Logger {
	return log.New(eventWriter{
		logger: logger,
		event:  event,
	}, "", 0)
}
