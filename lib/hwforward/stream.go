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
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// streamReadBytes is the size of the buffer for reading a stream. Events are usually smaller.
const streamReadBytes = 4 << 10

// eventStreamType is the media type of event streams.
const eventStreamType = "text/event-stream"

// isStream reports whether a response is an event stream. An upstream that states no type is taken at the route's word.
func (e *exchange) isStream(response *hwlink.Response) bool {
	contentType := response.Header.Get("Content-Type")
	return e.route.Streaming && response.Status == http.StatusOK && (contentType == "" || mediaType(contentType) == eventStreamType)
}

// mediaType returns the type of a Content-Type field without parameters and in lower case.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// continuesStream reports whether a response can be the continuation of the stream that the client has begun to receive.
func (e *exchange) continuesStream(response *hwlink.Response) bool {
	return e.isStream(response) && mediaType(response.Header.Get("Content-Type")) == mediaType(e.writer.Header().Get("Content-Type"))
}

// relayStream relays an event stream in complete events only. If the stream breaks off inside an event, the client receives no part of that event and the stream can be resumed at another upstream.
func (e *exchange) relayStream(ctx context.Context, response *hwlink.Response) attemptResult {
	// Only events with IDs show where a continuation begins.
	e.resuming = e.lastEventID != ""
	err := e.relayEvents(response)
	var writeErr *clientWriteError
	switch {
	case err == nil:
		// The end of the response body is still to be written, possibly long after the last event.
		e.extendWriteDeadline()
		e.finishAttempt(ctx, false, nil)
		response.ReleaseConnection(e.router.clock.Now())
		e.logEnd(nil)
		e.proof = hwquarantine.ProvesSegments
		return attemptResult{
			outcome: done,
		}
	case errors.As(err, &writeErr):
		e.finishAttempt(ctx, false, nil)
		e.logEnd(nil)
		panic(http.ErrAbortHandler)
	}
	e.finishAttempt(ctx, true, err)
	e.excluded = append(e.excluded, e.choice.Upstream.ID)
	return attemptResult{
		outcome: failed,
		cause:   err,
	}
}

// clientWriteError reports that writing the response to the client failed.
type clientWriteError struct {
	cause error
}

func (e *clientWriteError) Error() string {
	return "writing the response to the client failed: " + e.cause.Error()
}

// relayEvents relays events until the stream ends.
func (e *exchange) relayEvents(response *hwlink.Response) error {
	var pending []byte
	chunk := make([]byte, streamReadBytes)
	for {
		n, err := response.Body.Read(chunk)
		oldCap := cap(pending)
		pending = append(pending, chunk[:n]...)
		if grown := cap(pending) - oldCap; grown > 0 {
			if reserveErr := e.reserveMemory(int64(grown)); reserveErr != nil {
				return reserveErr
			}
		}
		if n > 0 {
			rest, relayErr := e.relayCompleteEvents(response, pending)
			if relayErr != nil {
				return relayErr
			}
			pending = append(pending[:0], rest...)
			if len(pending) > maxEventBytes {
				return &ResponseError{
					Reason: "has an event that is too large",
				}
			}
		}
		switch {
		case err == io.EOF:
			return e.relayRemainder(response, pending)
		case err != nil:
			return err
		}
	}
}

// relayRemainder handles what follows the last complete event once the body has ended. Anything but line ends means that the upstream broke off inside an event, even if the framing of the body is complete.
func (e *exchange) relayRemainder(response *hwlink.Response, rest []byte) error {
	if len(bytes.Trim(rest, "\r\n")) > 0 {
		return &ResponseError{
			Reason: "ends inside an event",
		}
	}
	if !e.headerSent || len(rest) > 0 {
		return e.writeStream(response, rest)
	}
	return nil
}

// relayCompleteEvents relays the complete events of a buffer and returns the remainder.
func (e *exchange) relayCompleteEvents(response *hwlink.Response, buffer []byte) ([]byte, error) {
	var out []byte
	for {
		end := eventEnd(buffer)
		if end < 0 {
			break
		}
		event := buffer[:end]
		buffer = buffer[end:]
		id := eventID(event)
		if id == "" && e.resuming && !isComment(event) {
			return nil, &ResponseError{
				Reason: "to a resumed stream begins without an event ID",
			}
		}
		e.resuming = e.resuming && id == ""
		if e.alreadyRelayed(id) {
			continue
		}
		if id != "" {
			e.lastEventID = id
		}
		e.eventCount++
		out = append(out, event...)
	}
	if len(out) == 0 {
		return buffer, nil
	}
	e.recordProgress()
	return buffer, e.writeStream(response, out)
}

// eventEnd returns the position after the blank line that ends the first event, or -1.
func eventEnd(buffer []byte) int {
	for begin := 0; ; {
		i := bytes.IndexByte(buffer[begin:], '\n')
		if i < 0 {
			return -1
		}
		begin += i + 1
		switch rest := buffer[begin:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return begin + 1
		case i > 0 && buffer[begin-2] == '\r' && bytes.HasPrefix(rest, []byte("\r\n")):
			return begin + 2
		}
	}
}

// eventID returns an event's id, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// isComment reports whether an event consists of comments, which upstreams send to keep a connection alive.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// alreadyRelayed reports whether an event was relayed before, as happens if a resumed stream begins too early.
func (e *exchange) alreadyRelayed(id string) bool {
	if id == "" || e.lastEventID == "" {
		return false
	}
	last, err := strconv.ParseInt(e.lastEventID, 10, 64)
	if err != nil {
		return id == e.lastEventID
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number <= last
}

// writeStream writes a part of the stream to the client, preceded by the response header if it was not sent yet. A resumed stream keeps the header of its first part.
func (e *exchange) writeStream(response *hwlink.Response, out []byte) error {
	now := e.router.clock.Now()
	if !e.headerSent {
		h := e.writer.Header()
		e.router.protocol.CopyResponseHeader(h, response.Header)
		e.status = response.Status
		e.headerSent = true
		e.recordBegin(now)
		e.writer.WriteHeader(response.Status)
	}
	if e.firstByteAt.IsZero() {
		e.firstByteAt = now
	}
	e.extendStreamWriteDeadline(now)
	if _, err := e.writer.Write(out); err != nil {
		return &clientWriteError{
			cause: err,
		}
	}
	if err := e.controller.Flush(); err != nil {
		return &clientWriteError{
			cause: err,
		}
	}
	return nil
}

// extendStreamWriteDeadline is extendWriteDeadline for streams. It moves the deadline at most once per quarter of the write timeout.
func (e *exchange) extendStreamWriteDeadline(now time.Time) {
	if now.Sub(e.writeDeadlineSetAt) < e.router.settings.WriteTimeout/4 {
		return
	}
	e.writeDeadlineSetAt = now
	_ = e.controller.SetWriteDeadline(now.Add(e.router.settings.WriteTimeout))
}
