package hwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// delivery is one request on its way through the router.
type delivery struct {
	router  *Router
	writer  http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	call    RequestInfo
	route   hwtable.Route
	// pool is the name of the pool that serves the request.
	pool    string
	account string
	body    []byte
	prompt  hwprompt.Prompt
	cost    float64
	arrived time.Time
	// deadline is when the caller must have the final answer.
	deadline    time.Time
	fingerprint hwquarantine.Fingerprint

	// ran counts the upstreams that may have run the request, sends all that it was sent to.
	ran      int
	sends    int
	excluded []string
	ticket   *hwplace.InFlightRequest
	choice   hwplace.Choice
	// headed tells that the head of the answer is out, status which it was.
	headed bool
	status int
	// lastEvent is the id of the last event that was relayed, events their number.
	lastEvent string
	events    int
	firstByte time.Time
	// extended is when the write deadline was last moved.
	extended time.Time
	// wait, ratio and returning are what decided whether the request was taken.
	wait      time.Duration
	ratio     float64
	returning bool
	// holds is the memory of bodies that the request has taken, in bytes.
	holds int64
}

// ServeHTTP serves one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	now := r.clock.Now()
	d := &delivery{
		router:  r,
		writer:  w,
		control: http.NewResponseController(w),
		request: request,
		call:    r.edge.ParseRequest(request),
		arrived: now,
	}
	defer d.release()
	r.metrics.requests.Add(1)
	if r.stopped.Load() != nil || r.cutOff.Load() {
		w.Header().Set("Connection", "close")
	}
	table := r.table.Load()
	if !d.readBody(table) {
		return
	}
	if refusal := d.admit(now, table); refusal != nil {
		d.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), d.deadline)
	defer cancel()
	d.run(ctx)
}

// defaultBodyBytes bounds a body before a table is in force.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body, so that the request can be sent again and its connection stays in step.
func (d *delivery) readBody(table *hwtable.Table) bool {
	if d.request.Body == nil || d.request.ContentLength == 0 {
		return true
	}
	limit := int64(defaultBodyBytes)
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		limit = table.Limits().MaxBodyBytes
	}
	// A caller that stops sending must not hold its connection for ever.
	_ = d.control.SetReadDeadline(d.arrived.Add(d.router.settings.BodyTimeout))
	if d.request.ContentLength > limit {
		// A caller that is still sending would see a reset in place of the refusal; what is far too large is not read.
		_, _ = io.Copy(io.Discard, io.LimitReader(d.request.Body, 2*limit))
		d.refuse(refuse(hwerror.KindBodyTooLarge, "the body is larger than the limit"))
		return false
	}
	body, err := readBody(d.request.Body, d.request.ContentLength, limit, d.hold)
	_ = d.control.SetReadDeadline(time.Time{})
	var larger *BodyTooLargeError
	var memory *BodyMemoryError
	switch {
	case errors.As(err, &larger):
		d.refuse(refuse(hwerror.KindBodyTooLarge, "the body is larger than the limit"))
		return false
	case errors.As(err, &memory):
		refusal := refuse(hwerror.KindQueueFull, "the instance has no memory for the body").WithRetryAfter(noUpstreamRetry)
		refusal.Cause = err
		d.refuse(refusal)
		return false
	case err != nil:
		d.router.logger.Emit(hwevent.CallerGone, hwevent.With("request-id", d.call.ID), hwevent.With("cause", err.Error()))
		panic(http.ErrAbortHandler)
	}
	d.body = body
	return true
}

func refuse(kind hwerror.Kind, message string) *hwerror.RequestError {
	return hwerror.NewRejection(kind, hwevent.RequestRefused.Number, message)
}

// Retry times for causes that have no estimate.
const (
	// notReadyRetry is when a caller should come back to an instance without a confirmed table; other instances may serve it.
	notReadyRetry = 300 * time.Millisecond
	// noUpstreamRetry is when a caller should come back to a pool without any upstream.
	noUpstreamRetry = 500 * time.Millisecond
	// stoppingRetry is when a caller of a stopping instance should come back: another instance serves it at once.
	stoppingRetry = 20 * time.Millisecond
)

// admit finds the request's route and account and checks all that can be checked before an upstream is chosen.
func (d *delivery) admit(now time.Time, table *hwtable.Table) *hwerror.RequestError {
	r := d.router
	if r.drained(now) {
		return refuse(hwerror.KindShuttingDown, "the instance stops").WithRetryAfter(stoppingRetry)
	}
	if table == nil {
		return refuse(hwerror.KindNotReady, "no configuration is in force yet").WithRetryAfter(notReadyRetry)
	}
	known := r.fresh(now, r.settings.TableMaxStaleness)
	route, found := table.Match(d.request.Host, path(d.request))
	if !found {
		if !known {
			return refuse(hwerror.KindNotReady, "the configuration may be outdated").WithRetryAfter(notReadyRetry)
		}
		return refuse(hwerror.KindUnknownRoute, "no route matches")
	}
	d.route = route
	account, holds := table.Authenticate(d.call.APIKey)
	if holds {
		d.account = account.Name
	}
	if table.RequiresKey(route) {
		// A key may have been taken away since the table was last confirmed.
		if !r.fresh(now, r.settings.KeyMaxStaleness) {
			return refuse(hwerror.KindNotReady, "keys can't be confirmed at present").WithRetryAfter(notReadyRetry)
		}
		if !holds {
			if !known {
				return refuse(hwerror.KindNotReady, "the configuration may be outdated").WithRetryAfter(notReadyRetry)
			}
			return refuse(hwerror.KindUnknownKey, "the key is not known")
		}
	}
	d.deadline = d.arrived.Add(route.Timeout)
	if patience := d.call.ClientTimeout; patience > 0 && patience < route.Timeout {
		d.deadline = d.arrived.Add(patience)
	}
	d.prompt = hwprompt.New(d.call.Model, d.call.PromptTokens, d.call.PromptParts)
	d.cost = float64(d.call.PromptTokens) + r.settings.GeneratedTokenWeight*float64(d.call.MaxOutputTokens)
	d.fingerprint = d.print()
	r.lock.Lock()
	defer r.lock.Unlock()
	d.pool = route.PickPool(r.random.Float64())
	if _, quarantined := r.guard.Quarantined(now, d.fingerprint); quarantined {
		return refuse(hwerror.KindRequestQuarantined, "the request has crashed several upstreams")
	}
	r.budget(now, d.pool).Deposit(now)
	return nil
}

// path returns the path as the caller sent it, without its query.
func path(request *http.Request) string {
	target, _, _ := strings.Cut(target(request), "?")
	return target
}

// target returns the request target in origin form, otherwise unchanged.
func target(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// print returns the request's fingerprint: what makes a request the same one when it comes again.
func (d *delivery) print() hwquarantine.Fingerprint {
	body := xxhash.Sum64(d.body)
	for _, link := range d.prompt.Segments() {
		body = body*31 + link.PrefixHash
	}
	return hwquarantine.FingerprintOf(d.account, d.request.Method+" "+target(d.request), body)
}

// refuse answers with a failure of the router's own.
func (d *delivery) refuse(f *hwerror.RequestError) {
	status := statusOf(f)
	d.status = status
	d.log(f)
	h := d.writer.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := `{"error":{"type":"` + string(f.Kind) + `","execution":"` + string(f.Execution) + `","message":"` + f.Message + `"}}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if d.call.ID != "" {
		h.Set(d.router.edge.RequestIDHeader(), d.call.ID)
	}
	d.extendWrite()
	d.writer.WriteHeader(status)
	// A caller that has gone can't be told.
	_, _ = io.WriteString(d.writer, body)
}

// extendWrite gives the caller's connection time for one more write.
func (d *delivery) extendWrite() {
	_ = d.control.SetWriteDeadline(d.router.clock.Now().Add(d.router.settings.WriteTimeout))
}

// log writes the line that tells how the request ended and why.
func (d *delivery) log(f *hwerror.RequestError) {
	r := d.router
	now := r.clock.Now()
	fields := []hwevent.Field{
		hwevent.With("request-id", d.call.ID),
		hwevent.With("status", d.status),
		hwevent.With("route", d.route.Name),
		hwevent.With("account", d.account),
		hwevent.With("ms", now.Sub(d.arrived).Milliseconds()),
	}
	if d.ticket != nil {
		fields = append(fields,
			hwevent.With("upstream", d.ticket.Upstream),
			hwevent.With("sends", d.sends),
			hwevent.With("read-tokens", d.choice.PrefillTokens),
		)
	}
	if d.wait > 0 || d.ratio > 0 {
		fields = append(fields, hwevent.With("wait-ms", d.wait.Milliseconds()), hwevent.With("share-used", d.ratio))
	}
	if !d.firstByte.IsZero() {
		fields = append(fields, hwevent.With("first-ms", d.firstByte.Sub(d.arrived).Milliseconds()), hwevent.With("events", d.events))
	}
	event := hwevent.RequestFinished
	if f != nil {
		event = hwevent.RequestRefused
		if f.Execution != hwerror.ExecutionNotRun {
			event = hwevent.RequestFailed
		}
		fields = append(fields,
			hwevent.With("kind", string(f.Kind)),
			hwevent.With("execution", string(f.Execution)),
			hwevent.With("reason", f.Message),
			hwevent.With("reading-ms", d.choice.PrefillTime.Milliseconds()),
			hwevent.With("returning", d.returning),
			hwevent.With("table-version", r.version()),
			hwevent.With("table-age-ms", r.TableAge().Milliseconds()),
		)
		if f.RetryAfter > 0 {
			fields = append(fields, hwevent.With("retry-after-ms", f.RetryAfter.Milliseconds()))
		}
		if f.Cause != nil {
			fields = append(fields, hwevent.With("cause", f.Cause.Error()))
		}
	}
	r.metrics.ended(event, f, d, now)
	r.logger.Emit(event, fields...)
}

func (r *Router) version() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}
