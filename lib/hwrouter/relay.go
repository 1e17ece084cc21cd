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

// The bounds of what is held of an answer.
const (
	maxResponseBytes = 32 << 20
	maxEventBytes    = 1 << 20
)

// relay passes an answer on.
func (d *delivery) relay(id string, answer *hwupstream.Answer) error {
	if answer.IsStream() {
		return d.relayStream(id, answer)
	}
	return d.relayBuffered(answer)
}

func (d *delivery) relayBuffered(answer *hwupstream.Answer) error {
	body, err := answer.Whole(maxResponseBytes)
	if err != nil {
		return err
	}
	d.cost = max(d.cost, d.bufferedCost(body))
	d.responseComplete = true
	d.responseStatus = answer.Status
	d.responseBody = body
	header := d.prepareHeader(answer)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(answer.Status)
	return d.writeToCaller(body)
}

// prepareHeader takes over the head of an answer. The caller of it writes the status.
func (d *delivery) prepareHeader(answer *hwupstream.Answer) http.Header {
	header := d.writer.Header()
	hwintake.CopyHeader(header, answer.Header)
	header.Set(hwintake.ExecutionHeader, string(hwerror.Ran))
	d.headerWritten = true
	d.firstByteAt = time.Now()
	return header
}

// writeToCaller writes to the caller. A caller that takes nothing for as long as an upstream may be silent is gone: its slot would be stuck.
func (d *delivery) writeToCaller(body []byte) error {
	// Writers without deadlines exist in tests only.
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	if _, err := d.writer.Write(body); err != nil {
		d.callerGone = true
		return err
	}
	return nil
}

func (d *delivery) relayStream(id string, answer *hwupstream.Answer) error {
	d.router.metrics.openStreams.Add(1)
	defer d.router.metrics.openStreams.Add(-1)
	if !d.headerWritten {
		d.prepareHeader(answer)
		d.writer.WriteHeader(answer.Status)
		d.cost = d.call.PromptTokens * d.call.Pool.PromptWeight
		// The head goes out before the first event, from a goroutine of its own: the library sorts headers deep down its stack, and the stack of the goroutine that relays the stream would stay doubled for as long as the stream is open.
		if err := <-hwtask.Start(context.Background(), func(context.Context) error { return d.flush() }); err != nil {
			return err
		}
	}
	return answer.Events(maxEventBytes, func(event sse.Event) error {
		d.eventsSent++
		if event.LastEventID != "" {
			d.lastEventID = event.LastEventID
		}
		if event.Data != hwupstream.EndMark {
			d.cost += d.call.Pool.GeneratedWeight
			if settled := d.usageCost(event.Data); settled > 0 {
				d.cost = max(d.cost, settled)
			}
			d.pool.chargeProgress(time.Now(), id, d.cost-d.chargedCost)
		}
		return d.writeEvent(d.lastEventID, event.Type, event.Data)
	})
}

// writeEvent sends one event to the caller.
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

// flush sends what was written. A writer that cannot flush sends it at the end.
func (d *delivery) flush() error {
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	err := d.controller.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		d.callerGone = true
		return err
	}
	return nil
}

type usageResponse struct {
	Usage *struct {
		PromptTokens     float64 `json:"prompt_tokens"`
		CompletionTokens float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usageCost returns the cost that a piece of an answer states, or 0 if it states none.
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

// bytesPerToken is the rough size of a token in an answer that states no usage.
const bytesPerToken = 4

func (d *delivery) bufferedCost(body []byte) float64 {
	if d.call.Pool.Kind == hwdocument.KindService {
		return 0
	}
	if cost := d.usageCost(string(body)); cost > 0 {
		return cost
	}
	return d.call.PromptTokens*d.call.Pool.PromptWeight + float64(len(body))/bytesPerToken*d.call.Pool.GeneratedWeight
}
