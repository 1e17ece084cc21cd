package hwrouter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlimit"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// attempt sends the request to an upstream, relays the response and charges the cost. Its steps are separate functions, because otherwise their stack frames would be held for as long as the stream is open.
func (d *delivery) attempt(ctx context.Context, id, upstream string) *hwupstream.Error {
	if d.intentRecorded {
		ctx = context.WithoutCancel(ctx)
	}
	startedAt := time.Now()
	d.beginTrial(startedAt)
	response, err := d.send(ctx, id, upstream)
	d.pause = 0
	if err == nil {
		if response.Status == http.StatusServiceUnavailable {
			d.pause, _ = hwlimit.ParseRetryAfter(response.Header)
		}
		err = d.relay(id, response)
		response.Close()
	}
	return d.finishAttempt(ctx, startedAt, id, upstream, err)
}

// send sends the request to an upstream and returns the response once its header has arrived.
func (d *delivery) send(ctx context.Context, id, upstream string) (*hwupstream.Response, error) {
	idleTimeout := d.call.ResponseTimeout
	if d.call.Stream {
		idleTimeout = min(idleTimeout, d.call.Pool.ProgressTimeout.Std())
	}
	header := d.call.Header
	if d.resuming {
		header = header.Clone()
		header.Set("Last-Event-Id", d.lastEventID)
	}
	return d.router.upstreams.Do(ctx, hwupstream.Attempt{
		ID:          id,
		Upstream:    upstream,
		Method:      d.call.Method,
		Path:        d.call.Path,
		Header:      header,
		Body:        d.call.Body,
		Idempotent:  d.call.Idempotent,
		IdleTimeout: idleTimeout,
	})
}

// finishAttempt frees the attempt's slot, charges its cost and reports a failure to the dispatcher. If the upstream crashed, the request is recorded as a possible cause.
func (d *delivery) finishAttempt(ctx context.Context, startedAt time.Time, id, upstream string, err error) *hwupstream.Error {
	now := time.Now()
	var failure *hwupstream.Error
	if err != nil {
		failure = d.upstreamError(upstream, err)
	}
	if d.call.Pool.Kind == hwdocument.KindService {
		d.cost += float64(now.Sub(startedAt).Microseconds()) / 1000 * d.call.Pool.MillisecondWeight
	}
	d.pool.finish(now, id, hwdispatch.AttemptResult{
		Cost:          d.cost - d.chargedCost,
		Failed:        failure != nil,
		ConnectFailed: failure != nil && !failure.MaybeSent,
		Pause:         d.pause,
	})
	d.chargedCost = d.cost
	if failure == nil {
		d.recordExposure(now, upstream)
		return nil
	}
	d.logFailure(failure)
	if failure.ConnectionBroken && d.router.upstreamCrashed(ctx, upstream) {
		d.recordSegmentCrash(now, upstream)
		d.router.reportCrash(d.fingerprint, upstream)
	}
	return failure
}

// upstreamError returns err as an *hwupstream.Error. An error of another type is a failed write to the caller, which ends the attempt too.
func (d *delivery) upstreamError(upstream string, err error) *hwupstream.Error {
	var failure *hwupstream.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &hwupstream.Error{
		Upstream:  upstream,
		MaybeSent: true,
		Cause:     err,
	}
}

func (d *delivery) logFailure(failure *hwupstream.Error) {
	event := hwevent.UpstreamFailed
	if failure.ResponseMismatch {
		event = hwevent.AnswerCrossed
	}
	d.router.logger.Emit(event,
		hwevent.With("request", d.call.ID),
		hwevent.With("upstream", failure.Upstream),
		hwevent.With("handed-over", failure.MaybeSent),
		hwevent.With("error", failure.Cause.Error()))
}
