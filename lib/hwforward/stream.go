package hwforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

// largestEvent bounds one event of a stream, in bytes.
const largestEvent = 1 << 20

// readSize is the buffer into which a stream is read, in bytes; events are small.
const readSize = 4 << 10

// relayStream relays an event stream event by event, so that a stream that breaks off inside an event never shows half of it and can go on elsewhere.
func (d *delivery) relayStream(ctx context.Context, answer *hwlink.Response) attempt {
	err := d.relayEvents(answer)
	var lost *callerLostError
	switch {
	case err == nil:
		// The end of the answer is still to be written, maybe long after the last event.
		d.extendWrite()
		d.finish(ctx, false, false)
		answer.ReleaseConnection(d.router.clock.Now())
		d.log(nil)
		d.router.acquit(d.router.clock.Now(), d.fingerprint)
		return attempt{
			outcome: done,
		}
	case errors.As(err, &lost):
		d.finish(ctx, false, false)
		d.log(nil)
		panic(http.ErrAbortHandler)
	}
	d.finish(ctx, true, true)
	d.excluded = append(d.excluded, d.choice.Upstream.ID)
	return attempt{
		outcome: failed,
		cause:   err,
	}
}

// callerLostError says that the caller does not take its answer.
type callerLostError struct {
	cause error
}

func (e *callerLostError) Error() string {
	return "the caller does not take its answer: " + e.cause.Error()
}

// relayEvents relays whole events until the stream ends.
func (d *delivery) relayEvents(answer *hwlink.Response) error {
	var pending []byte
	chunk := make([]byte, readSize)
	for {
		n, err := answer.Body.Read(chunk)
		kept := cap(pending)
		pending = append(pending, chunk[:n]...)
		if grown := cap(pending) - kept; grown > 0 {
			if failure := d.hold(int64(grown)); failure != nil {
				return failure
			}
		}
		if n > 0 {
			rest, failure := d.relayComplete(answer, pending)
			if failure != nil {
				return failure
			}
			pending = append(pending[:0], rest...)
			if len(pending) > largestEvent {
				return &ResponseError{
					Reason: "has an event that is too large",
				}
			}
		}
		switch {
		case err == io.EOF:
			return d.endOfStream(answer, pending)
		case err != nil:
			return err
		}
	}
}

// endOfStream relays the rest of a stream that has ended as its frame says.
func (d *delivery) endOfStream(answer *hwlink.Response, rest []byte) error {
	if len(rest) > 0 && answer.CloseDelimited() {
		return &ResponseError{
			Reason: "ends inside an event",
		}
	}
	if !d.headed || len(rest) > 0 {
		return d.write(answer, rest)
	}
	return nil
}

// relayComplete relays the complete events of a buffer and returns what is left of it.
func (d *delivery) relayComplete(answer *hwlink.Response, buffer []byte) ([]byte, error) {
	var out []byte
	for {
		end := eventEnd(buffer)
		if end < 0 {
			break
		}
		event := buffer[:end]
		buffer = buffer[end:]
		id := eventID(event)
		if d.repeated(id) {
			continue
		}
		if id != "" {
			d.lastEvent = id
		}
		d.events++
		out = append(out, event...)
	}
	if len(out) == 0 {
		return buffer, nil
	}
	d.answered()
	return buffer, d.write(answer, out)
}

// eventEnd returns the position after the blank line that ends the first event, or -1.
func eventEnd(buffer []byte) int {
	end := -1
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(buffer, []byte(mark)); i >= 0 && (end < 0 || i+len(mark) < end) {
			end = i + len(mark)
		}
	}
	return end
}

// eventID returns an event's id, or nothing.
func eventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if id, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:"); found {
			return strings.TrimSpace(id)
		}
	}
	return ""
}

// repeated reports whether the caller already has an event, because a resumed stream began too early.
func (d *delivery) repeated(id string) bool {
	if id == "" || d.lastEvent == "" {
		return false
	}
	last, err := strconv.ParseInt(d.lastEvent, 10, 64)
	if err != nil {
		return id == d.lastEvent
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number <= last
}

// write sends bytes of the stream to the caller, with the head before the first of them. A resumed stream keeps the head of its first part.
func (d *delivery) write(answer *hwlink.Response, out []byte) error {
	now := d.router.clock.Now()
	if !d.headed {
		h := d.writer.Header()
		d.router.edge.CopyResponseHeader(h, answer.Header)
		d.status = answer.Status
		d.headed = true
		d.writer.WriteHeader(answer.Status)
	}
	if d.firstByte.IsZero() {
		d.firstByte = now
	}
	d.extendWriteAt(now)
	if _, err := d.writer.Write(out); err != nil {
		return &callerLostError{
			cause: err,
		}
	}
	if err := d.control.Flush(); err != nil {
		return &callerLostError{
			cause: err,
		}
	}
	return nil
}

// extendWriteAt is extendWrite for a caller that knows the time. A stream sets its deadline anew only now and then.
func (d *delivery) extendWriteAt(now time.Time) {
	if now.Sub(d.extended) < d.router.settings.WriteTimeout/4 {
		return
	}
	d.extended = now
	_ = d.control.SetWriteDeadline(now.Add(d.router.settings.WriteTimeout))
}
