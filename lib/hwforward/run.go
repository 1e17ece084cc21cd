package hwforward

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// outcome is how one attempt ended.
type outcome int

const (
	// done means that the caller has the answer.
	done outcome = iota
	// notRun means that the request surely did not run at the upstream.
	notRun
	// failed means that the request may have run and that no answer to it can be relayed.
	failed
)

// attempt is the result of one attempt.
type attempt struct {
	outcome outcome
	// unsent tells that not one byte reached the upstream.
	unsent bool
	cause  error
	// spare is an upstream's own failure, which is relayed when no other upstream may be tried.
	spare *wholeAnswer
}

// unsentTries bounds the upstreams to which a connection is tried for one request.
const unsentTries = 4

// run sends the request until an answer is relayed or no further attempt is allowed.
func (d *delivery) run(ctx context.Context) {
	unsent := 0
	for {
		// On a busy processor the goroutine that notices a closed connection may not have run yet; nothing is sent for a caller that has gone.
		runtime.Gosched()
		if ctx.Err() != nil {
			d.ended(ctx, attempt{
				outcome: notRun,
				cause:   ctx.Err(),
			})
			return
		}
		refusal := d.choose(ctx)
		if refusal != nil && d.headed {
			// A stream that has begun can only go on or look cut.
			d.cut(refusal)
		}
		if refusal != nil {
			d.refuse(refusal)
			return
		}
		a := d.try(ctx)
		if a.outcome == done {
			return
		}
		if ctx.Err() != nil {
			d.ended(ctx, a)
			return
		}
		if a.unsent {
			unsent++
		}
		if unsent < unsentTries && d.mayTryAgain(a) {
			d.router.logger.Emit(hwevent.UpstreamRetry,
				hwevent.With("request-id", d.call.ID),
				hwevent.With("upstream", d.ticket.Upstream),
				hwevent.With("sends", d.sends),
				hwevent.With("cause", text(a.cause)))
			continue
		}
		d.giveUp(a)
		return
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// repeatable reports whether the request may run more than once.
func (d *delivery) repeatable() bool {
	if d.route.Streaming {
		return d.route.Resumable
	}
	return d.route.Idempotent
}

// mayTryAgain reports whether another upstream may get the request after an attempt that did not answer it.
func (d *delivery) mayTryAgain(a attempt) bool {
	r := d.router
	if a.unsent {
		return true
	}
	switch a.outcome {
	case notRun:
		// Nothing ran, so any request may go elsewhere.
		if d.sends > max(1, d.route.MaxAttempts) {
			return false
		}
	default:
		if !d.repeatable() || d.ran >= max(1, d.route.MaxAttempts) {
			return false
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.budget(r.clock.Now(), d.pool).TryWithdraw(r.clock.Now())
}

// giveUp ends a request that no upstream answered and that may not be tried again.
func (d *delivery) giveUp(a attempt) {
	switch {
	case d.headed:
		d.cut(a.cause)
	case a.spare != nil:
		d.relayWhole(a.spare)
	case d.ran == 0 && (a.outcome == notRun || a.unsent):
		refusal := refuse(hwerror.KindNoUpstream, "no upstream took the request").WithRetryAfter(noUpstreamRetry)
		refusal.Cause = a.cause
		d.refuse(refusal)
	default:
		d.refuse(hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the upstream failed", a.cause))
	}
}

// ended ends a request whose time is over or whose caller has gone.
func (d *delivery) ended(ctx context.Context, a attempt) {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.status = hwerror.StatusClientClosedRequest
		d.log(hwerror.NewFailure(hwerror.KindCallerGone, hwerror.ExecutionUnknown, hwevent.CallerGone.Number, "the caller closed its connection", a.cause))
		panic(http.ErrAbortHandler)
	case d.headed:
		d.cut(a.cause)
	case d.ran == 0:
		d.refuse(refuse(hwerror.KindDeadlineCannotBeMet, "the time was over before an upstream took the request"))
	default:
		d.refuse(hwerror.NewFailure(hwerror.KindUpstreamTimeout, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the time was over before the upstream answered", a.cause))
	}
}

// cut ends an answer that has begun and can't be finished. The caller must see that it is cut, so its connection is closed without the end of the body.
func (d *delivery) cut(cause error) {
	d.log(hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the answer was cut off", cause))
	panic(http.ErrAbortHandler)
}

// choose picks an upstream. The first time it also decides whether the request is taken.
func (d *delivery) choose(ctx context.Context) *hwerror.RequestError {
	r := d.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	pool := r.pool(d.pool)
	if pool == nil {
		return refuse(hwerror.KindNoUpstream, "the route's pool is not known").WithRetryAfter(noUpstreamRetry)
	}
	ask := hwplace.Request{
		Prompt:    d.prompt,
		Excluded:  d.excluded,
		Random:    r.random.Float64(),
		Retryable: d.repeatable(),
	}
	choice, found := pool.Choose(now, ask)
	if !found && len(d.excluded) > 0 && ctx.Err() == nil {
		// Every upstream was tried; one that only refused may be asked once more.
		ask.Excluded = nil
		choice, found = pool.Choose(now, ask)
	}
	if !found {
		if d.ran > 0 {
			return hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "no other upstream is left", nil)
		}
		return refuse(hwerror.KindNoUpstream, "the pool has no upstream").WithRetryAfter(noUpstreamRetry)
	}
	d.choice = choice
	switch {
	case d.sends == 0:
		if refusal := d.take(now, pool, ask); refusal != nil {
			return refusal
		}
	case d.ran == 0:
		if refusal := d.takeAgain(); refusal != nil {
			return refusal
		}
	}
	d.sends++
	d.ticket = pool.Start(now, d.choice, ask)
	if pool.HasEngines() {
		for _, link := range d.prompt.Segments() {
			r.news.Prefills = append(r.news.Prefills, Prefill{
				Pool:     d.pool,
				Upstream: hwplace.HashID(d.choice.Upstream.ID),
				Prefix:   link,
			})
		}
	}
	return nil
}

// take decides whether the request is taken. An account that gets much less than the best served one may go to an upstream that holds less of its prompt but keeps it waiting less: the homes of its subjects are taken, those of the other account's are not. The lock must be held.
func (d *delivery) take(now time.Time, pool *hwplace.Pool, ask hwplace.Request) *hwerror.RequestError {
	r := d.router
	metered := pool.HasEngines() && d.account != ""
	if metered {
		r.shares.RecordDemand(now, d.account, d.cost)
		d.ratio = r.shares.ShareUsage(now, d.account, r.table.Load().Limits().FleetTokensPerSecond)
	}
	d.wait = d.choice.QueueWait
	d.returning = r.patience.LikelyRetry(now, d.route.Name, d.call.ClientTimeout)
	verdict := r.settings.Admission.Decide(hwadmit.Request{
		QueueWait:        d.wait,
		LatencyObjective: d.route.LatencyObjective,
		ShareUsage:       d.ratio,
		PrefillTime:      d.choice.PrefillTime,
		LikelyRetry:      d.returning,
		Random:           r.random.Float64(),
	})
	if !verdict.Admitted {
		reason := "the wait would be too long"
		if d.wait <= verdict.MaxWait {
			reason = "the account is over its share and idle capacity is not lent for that long"
		}
		refusal := refuse(hwerror.KindDeadlineCannotBeMet, reason).WithRetryAfter(verdict.RetryAfter)
		if !metered || !r.shares.Underserved(now, d.account, r.table.Load().Limits().FleetTokensPerSecond) {
			return refusal
		}
		ask.MaxWait = r.settings.Admission.FairShareMaxWait(d.route.LatencyObjective)
		other, found := pool.Choose(now, ask)
		if !found {
			return refusal
		}
		d.choice = other
		d.wait = other.QueueWait
	}
	if metered {
		r.shares.RecordAdmitted(now, d.account, d.cost)
	}
	return nil
}

// takeAgain decides whether a request that no upstream took so far is still taken. When many upstreams crash or are full at once, what was on its way to them would otherwise pile up at the others without a bound. It is taken like a caller that comes again. The lock must be held.
func (d *delivery) takeAgain() *hwerror.RequestError {
	d.wait = d.choice.QueueWait
	verdict := d.router.settings.Admission.Decide(hwadmit.Request{
		QueueWait:        d.wait,
		LatencyObjective: d.route.LatencyObjective,
		ShareUsage:       d.ratio,
		PrefillTime:      d.choice.PrefillTime,
		LikelyRetry:      true,
		Random:           d.router.random.Float64(),
	})
	if verdict.Admitted {
		return nil
	}
	return refuse(hwerror.KindDeadlineCannotBeMet, "no upstream took the request, and the wait at the next would be too long").WithRetryAfter(verdict.RetryAfter)
}

// try makes one attempt at the chosen upstream.
func (d *delivery) try(ctx context.Context) attempt {
	r := d.router
	now := r.clock.Now()
	// The end of the attempt ends the exchange, whatever way it is left.
	exchange, cancel := d.attemptContext(ctx, now)
	defer cancel()
	answer, failure := r.links.Do(exchange, now, &hwlink.Request{
		Address: d.choice.Upstream.Address,
		Method:  d.request.Method,
		Target:  target(d.request),
		Host:    d.request.Host,
		Header: r.edge.UpstreamHeader(d.request.Header, ForwardInfo{
			TimeLeft:         d.deadline.Sub(now),
			ExpectedUpstream: d.choice.Upstream.ID,
			Account:          d.account,
			FetchCacheFrom:   d.choice.FetchFrom,
			LastEventID:      d.resumeAfter(),
		}),
		Body:            d.body,
		MaxConnIdleTime: d.maxIdle(),
		NewConnection:   slices.Contains(d.excluded, d.choice.Upstream.ID),
		ID:              d.call.ID,
		IDHeader:        r.edge.RequestIDHeader(),
	})
	if failure != nil {
		if failure.MaybeSent {
			d.ran++
		} else if ctx.Err() == nil {
			d.unreachable()
		}
		d.finish(ctx, true, failure.ConnectionFailed && failure.MaybeSent)
		d.excluded = append(d.excluded, d.choice.Upstream.ID)
		return attempt{
			outcome: failed,
			unsent:  !failure.MaybeSent,
			cause:   failure,
		}
	}
	defer answer.Close()
	facts := r.edge.ParseResponse(answer.Status, answer.Header)
	if facts.Load != nil {
		r.lock.Lock()
		if p := r.pools[d.pool]; p != nil {
			p.RecordLoad(r.clock.Now(), d.choice.Upstream.ID, *facts.Load)
		}
		r.lock.Unlock()
	}
	if facts.NotExecuted {
		return d.refusedByUpstream(ctx, answer)
	}
	d.ran++
	if d.route.Streaming && answer.Status == http.StatusOK && facts.Signed {
		return d.relayStream(ctx, answer)
	}
	if d.headed {
		return d.notResumed(ctx, answer)
	}
	return d.whole(ctx, answer, facts)
}

// notResumed ends an attempt to go on with a stream to which the upstream answered anything but a stream. Nothing of it may reach the caller, who has the first part.
func (d *delivery) notResumed(ctx context.Context, answer *hwlink.Response) attempt {
	d.finish(ctx, true, false)
	d.excluded = append(d.excluded, d.choice.Upstream.ID)
	return attempt{
		outcome: failed,
		cause: &ResponseError{
			Reason: "to a stream that goes on is no stream, status " + strconv.Itoa(answer.Status),
		},
	}
}

// idleForOnce is how long a connection may have been idle for a request that must not run twice. Upstreams that drop idle connections without notice do so after seconds.
const idleForOnce = 700 * time.Millisecond

// maxIdle returns how long the attempt's connection may have been idle.
func (d *delivery) maxIdle() time.Duration {
	if d.repeatable() {
		return 0
	}
	return idleForOnce
}

// attemptContext returns the context of an attempt. A plain request that may still be tried elsewhere does not wait all its time for an upstream that has gone silent.
//
// An attempt that may take all the time gets no deadline of its own: the two would end at the same moment, and the attempt's end could be seen first and taken for the upstream's failure.
func (d *delivery) attemptContext(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	patience := max(silentFloor, time.Duration(silentObjectives*float64(d.route.LatencyObjective)))
	if d.route.Streaming || !d.route.Idempotent || d.ran+1 >= d.route.MaxAttempts || now.Add(patience).After(d.deadline) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, patience)
}

const (
	// silentObjectives is how many objectives long a plain upstream may keep a request that can be tried elsewhere: an answer after that is late in any case.
	silentObjectives = 1.5
	// silentFloor is the least such time; a slow moment of an upstream is no reason to run a request twice.
	silentFloor = 200 * time.Millisecond
)

// resumeAfter returns the last event that the caller has, of this answer or of the one that it asks to go on with.
func (d *delivery) resumeAfter() string {
	if d.lastEvent != "" {
		return d.lastEvent
	}
	return d.call.LastEventID
}

// largestRefusal bounds the body of an upstream's refusal, in bytes. Nobody reads it; a new connection costs less than a longer one.
const largestRefusal = 16 << 10

// refusedByUpstream ends an attempt that the upstream says it did not run.
func (d *delivery) refusedByUpstream(ctx context.Context, answer *hwlink.Response) attempt {
	if _, err := readBody(answer.Body, answer.Length, largestRefusal, d.hold); err == nil {
		answer.ReleaseConnection(d.router.clock.Now())
	}
	d.finish(ctx, answer.Status == http.StatusMisdirectedRequest, false)
	d.excluded = append(d.excluded, d.choice.Upstream.ID)
	return attempt{
		outcome: notRun,
		cause: &UpstreamRefusedError{
			Upstream: d.choice.Upstream.ID,
			Status:   answer.Status,
		},
	}
}

// UpstreamRefusedError is the cause when an upstream says that it did not run a request.
type UpstreamRefusedError struct {
	Upstream string
	Status   int
}

// Error names the upstream.
func (e *UpstreamRefusedError) Error() string {
	return "upstream " + e.Upstream + " refused with " + http.StatusText(e.Status)
}

// finish gives the ticket back. Blame counts against the upstream; broken tells that its connection broke while the request was there.
func (d *delivery) finish(ctx context.Context, blame, broken bool) {
	r := d.router
	now := r.clock.Now()
	// What the caller or the time limit ended says nothing about the upstream.
	ours := ctx.Err() != nil
	r.lock.Lock()
	if p := r.pools[d.pool]; p != nil {
		p.Finish(now, d.ticket, blame && !ours)
	}
	r.lock.Unlock()
	if blame && !ours {
		r.logger.Emit(hwevent.UpstreamFailed,
			hwevent.With("request-id", d.call.ID),
			hwevent.With("upstream", d.choice.Upstream.ID),
			hwevent.With("broken", broken),
			hwevent.With("trouble", d.choice.RecentFailures))
	}
	if broken && !ours {
		r.links.CloseIdleConnections(d.choice.Upstream.Address)
		r.suspect(ctx, now, d, d.choice.Upstream.ID, d.choice.Upstream.Address)
	}
}

// unreachable notes that the upstream took no connection, for peers too.
func (d *delivery) unreachable() {
	r := d.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if p := r.pools[d.pool]; p != nil {
		p.RecordConnectFailure(now, d.choice.Upstream.ID)
	}
}

// answered notes the first sign of the run at the upstream.
func (d *delivery) answered() {
	r := d.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	p := r.pools[d.pool]
	if p == nil {
		return
	}
	if first, took := p.RecordProgress(now, d.ticket); first && p.HasEngines() {
		r.metrics.estimated(d.choice.QueueWait, took-d.choice.PrefillTime-hwplace.FirstTokenOverhead)
	}
}
