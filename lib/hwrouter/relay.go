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
	largestAnswer = 32 << 20
	largestEvent  = 1 << 20
)

// relay passes an answer on.
func (d *delivery) relay(id string, answer *hwupstream.Response) error {
	if answer.IsStream() {
		return d.relayStream(id, answer)
	}
	return d.relayWhole(answer)
}

func (d *delivery) relayWhole(answer *hwupstream.Response) error {
	body, err := answer.ReadAll(largestAnswer)
	if err != nil {
		return err
	}
	d.cost = max(d.cost, d.wholeCost(body))
	d.answered = true
	d.status = answer.Status
	d.kept = body
	header := d.head(answer)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(answer.Status)
	return d.toCaller(body)
}

// head takes over the head of an answer. The caller of it writes the status.
func (d *delivery) head(answer *hwupstream.Response) http.Header {
	header := d.writer.Header()
	hwintake.CopyResponseHeader(header, answer.Header)
	header.Set(hwintake.ExecutionHeader, string(hwerror.ExecutionRan))
	d.headed = true
	d.firstByte = time.Now()
	return header
}

// toCaller writes to the caller. A caller that takes nothing for as long as an upstream may be silent is gone: its slot would be stuck.
func (d *delivery) toCaller(body []byte) error {
	// Writers without deadlines exist in tests only.
	_ = d.control.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	if _, err := d.writer.Write(body); err != nil {
		d.callerGone = true
		return err
	}
	return nil
}

func (d *delivery) relayStream(id string, answer *hwupstream.Response) error {
	d.router.metrics.streaming.Add(1)
	defer d.router.metrics.streaming.Add(-1)
	if !d.headed {
		d.head(answer)
		d.writer.WriteHeader(answer.Status)
		d.cost = d.call.PromptTokens * d.call.Pool.PromptWeight
		// The head goes out before the first event, from a goroutine of its own: the library sorts headers deep down its stack, and the stack of the goroutine that relays the stream would stay doubled for as long as the stream is open.
		if err := <-hwtask.Start(context.Background(), func(context.Context) error { return d.flush() }); err != nil {
			return err
		}
	}
	return answer.ReadEvents(largestEvent, func(event sse.Event) error {
		d.events++
		if event.LastEventID != "" {
			d.lastEventID = event.LastEventID
		}
		if event.Data != hwupstream.DoneMarker {
			d.cost += d.call.Pool.GeneratedWeight
			if settled := d.usageCost(event.Data); settled > 0 {
				d.cost = max(d.cost, settled)
			}
			d.pool.progress(time.Now(), id, d.cost-d.base)
		}
		return d.write(d.lastEventID, event.Type, event.Data)
	})
}

// write sends one event to the caller.
func (d *delivery) write(id, kind, data string) error {
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
	if err := d.toCaller([]byte(b.String())); err != nil {
		return err
	}
	return d.flush()
}

// flush sends what was written. A writer that cannot flush sends it at the end.
func (d *delivery) flush() error {
	_ = d.control.SetWriteDeadline(time.Now().Add(d.call.Pool.ProgressTimeout.Std()))
	err := d.control.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		d.callerGone = true
		return err
	}
	return nil
}

type usageAnswer struct {
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
	var stated usageAnswer
	if err := json.Unmarshal([]byte(text), &stated); err != nil || stated.Usage == nil {
		return 0
	}
	return stated.Usage.PromptTokens*d.call.Pool.PromptWeight + stated.Usage.CompletionTokens*d.call.Pool.GeneratedWeight
}

// bytesPerToken is the rough size of a token in an answer that states no usage.
const bytesPerToken = 4

func (d *delivery) wholeCost(body []byte) float64 {
	if d.call.Pool.Kind == hwdocument.KindService {
		return 0
	}
	if cost := d.usageCost(string(body)); cost > 0 {
		return cost
	}
	return d.call.PromptTokens*d.call.Pool.PromptWeight + float64(len(body))/bytesPerToken*d.call.Pool.GeneratedWeight
}
