package hwrouter

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwtask"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// Limits on how much of a response is buffered, in bytes.
const (
	maxResponseBytes = 32 << 20
	maxEventBytes    = 1 << 20
)

// relay passes an upstream's response to the caller.
func (d *delivery) relay(id string, response *hwupstream.Response) error {
	switch {
	case response.IsStream():
		return d.relayStream(id, response)
	case d.headerWritten:
		return &NoContinuationError{
			Status: response.Status,
		}
	default:
		return d.relayBuffered(response)
	}
}

// NoContinuationError reports that an upstream answered the request for the rest of a stream with something else. None of it may be written into the stream.
type NoContinuationError struct {
	Status int
}

// Error returns a message with the upstream's status.
func (e *NoContinuationError) Error() string {
	return "the response to a resumed stream is no stream, status " + strconv.Itoa(e.Status)
}

func (d *delivery) relayBuffered(response *hwupstream.Response) error {
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	d.cost = max(d.cost, d.bufferedCost(body))
	d.responseComplete = true
	d.responseStatus = response.Status
	d.responseBody = body
	header := d.prepareHeader(response)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(response.Status)
	return d.writeToCaller(body)
}

// prepareHeader copies the upstream's response header to the response for the caller, but doesn't write it: WriteHeader must follow.
func (d *delivery) prepareHeader(response *hwupstream.Response) http.Header {
	header := d.writer.Header()
	hwintake.CopyResponseHeader(header, response.Header)
	header.Set(hwintake.ExecutionHeader, string(hwerror.ExecutionRan))
	d.headerWritten = true
	d.firstByteAt = time.Now()
	return header
}

// writeToCaller writes to the caller. A caller that accepts no data for as long as an upstream may be silent is treated as disconnected, because it would block the upstream's slot.
func (d *delivery) writeToCaller(body []byte) error {
	// Only writers in tests don't support deadlines.
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	if _, err := d.writer.Write(body); err != nil {
		d.callerGone = true
		return err
	}
	return nil
}

func (d *delivery) relayStream(id string, response *hwupstream.Response) error {
	d.router.metrics.openStreams.Add(1)
	defer d.router.metrics.openStreams.Add(-1)
	if !d.headerWritten {
		d.prepareHeader(response)
		d.writer.WriteHeader(response.Status)
		d.cost = d.call.PromptTokens * d.call.Pool.PromptWeight
		// The header is sent before the first event, from a separate goroutine: net/http sorts headers deep in its call stack, which would double the stack of the relaying goroutine for as long as the stream is open.
		if err := <-hwtask.Start(context.Background(), func(context.Context) error { return d.flush() }); err != nil {
			return err
		}
	}
	return response.ReadEvents(maxEventBytes, func(event sse.Event) error {
		if event.LastEventID != "" {
			d.lastEventID = event.LastEventID
		}
		if event.Data != hwupstream.DoneMarker {
			d.cost += d.call.Pool.GeneratedWeight
			if settled := d.usageCost(event.Data); settled > 0 {
				d.cost = max(d.cost, settled)
			}
			d.pool.chargeProgress(time.Now(), id, d.cost-d.chargedCost)
		}
		return d.writeEvent(d.lastEventID, event.Type, event.Data)
	})
}

// writeEvent sends one server-sent event to the caller.
func (d *delivery) writeEvent(id, kind, data string) error {
	var b strings.Builder
	if id != "" {
		b.WriteString("id: ")
		b.WriteString(id)
		b.WriteByte('\n')
	}
	if kind != "" {
		b.WriteString("event: ")
		b.WriteString(kind)
		b.WriteByte('\n')
	}
	for line := range strings.SplitSeq(data, "\n") {
		b.WriteString("data: ")
		b.WriteString(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	if err := d.writeToCaller([]byte(b.String())); err != nil {
		return err
	}
	return d.flush()
}

// flush sends buffered data to the caller. A writer that doesn't support flushing sends it when the response ends.
func (d *delivery) flush() error {
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	err := d.controller.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		d.callerGone = true
		return err
	}
	return nil
}

// usageResponse is the part of an OpenAI-compatible response that states its token usage.
type usageResponse struct {
	Usage *struct {
		PromptTokens     float64 `json:"prompt_tokens"`
		CompletionTokens float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usageCost returns the cost of the token usage stated in a response or an event, or 0 if none is stated.
func (d *delivery) usageCost(text string) float64 {
	if !strings.Contains(text, `"usage"`) || strings.Contains(text, `"usage":null`) {
		return 0
	}
	var stated usageResponse
	if err := json.Unmarshal([]byte(text), &stated); err != nil || stated.Usage == nil {
		return 0
	}
	return stated.Usage.PromptTokens*d.call.Pool.PromptWeight + stated.Usage.CompletionTokens*d.call.Pool.GeneratedWeight
}

// bytesPerToken is the assumed size of a token in a response that states no usage.
const bytesPerToken = 4

// bufferedCost returns the cost of a buffered response. A service is charged by time instead, when the attempt ends.
func (d *delivery) bufferedCost(body []byte) float64 {
	if d.call.Pool.Kind == hwdocument.KindService {
		return 0
	}
	if cost := d.usageCost(string(body)); cost > 0 {
		return cost
	}
	return d.call.PromptTokens*d.call.Pool.PromptWeight + float64(len(body))/bytesPerToken*d.call.Pool.GeneratedWeight
}
