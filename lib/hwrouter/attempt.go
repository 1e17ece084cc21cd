package hwrouter

import (
	"context"
	"errors"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// attempt runs the request at an upstream and settles its cost. Its steps are functions of their own, because their frames would lie below every open stream.
func (d *delivery) attempt(ctx context.Context, id, upstream string) *hwupstream.Error {
	if d.recordedIntent {
		ctx = context.WithoutCancel(ctx)
	}
	began := time.Now()
	answer, err := d.open(ctx, id, upstream)
	if err == nil {
		err = d.relay(id, answer)
		answer.Close()
	}
	return d.settle(ctx, began, id, upstream, err)
}

// open sends the request to an upstream and returns the head of its answer.
func (d *delivery) open(ctx context.Context, id, upstream string) (*hwupstream.Response, error) {
	silence := d.call.ResponseTimeout
	if d.call.Stream {
		silence = min(silence, d.call.Pool.ProgressTimeout.Std())
	}
	header := d.call.Header
	if d.resume {
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
		IdleTimeout: silence,
	})
}

// settle frees the attempt's slot and notes what its end says about the upstream and the request.
func (d *delivery) settle(ctx context.Context, began time.Time, id, upstream string, err error) *hwupstream.Error {
	now := time.Now()
	var failure *hwupstream.Error
	if err != nil {
		failure = d.failure(upstream, err)
	}
	if d.call.Pool.Kind == hwdocument.KindService {
		d.cost += float64(now.Sub(began).Microseconds()) / 1000 * d.call.Pool.MillisecondWeight
	}
	d.pool.finish(now, id, hwdispatch.AttemptResult{
		Cost:          d.cost - d.base,
		Failed:        failure != nil,
		ConnectFailed: failure != nil && !failure.MaybeSent,
	})
	d.base = d.cost
	if failure == nil {
		return nil
	}
	d.logFailure(failure)
	if failure.ConnectionBroken && d.router.crashed(ctx, upstream) {
		d.router.strike(d.fingerprint, upstream)
	}
	return failure
}

// failure returns err as an upstream failure; a caller that stopped reading ends the attempt too.
func (d *delivery) failure(upstream string, err error) *hwupstream.Error {
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
