package hwforward

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
)

// Metrics counts requests by outcome and keeps latency histograms.
type Metrics struct {
	requests *atomic.Int64

	lock          *sync.Mutex
	outcomes      map[string]int64
	firstByte     *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	estimatedWait *hdrhistogram.Histogram
	retries       *atomic.Int64
	// crashes counts the crashes of upstreams at which this router had requests in flight.
	crashes *atomic.Int64
	// claimsHeld and claimsRefused count the requests that were held or refused because equal ones were being tried.
	claimsHeld    *atomic.Int64
	claimsRefused *atomic.Int64
	// coldRefusals counts the requests that were refused because only cold upstreams without a permit were left.
	coldRefusals *atomic.Int64
	// waitEstimates compares the estimated with the observed queue waits at engines, grouped by the estimate.
	waitEstimates *[len(waitEstimateBoundsMS) + 1]waitEstimateSum
}

// waitEstimateBoundsMS are the boundaries between the groups of estimated waits, in milliseconds. Most requests do not wait, so quantiles would show little.
var waitEstimateBoundsMS = [...]int64{1, 50, 100, 200, 400, 800}

// waitEstimateSum sums the estimated and the observed waits of one group.
type waitEstimateSum struct {
	count       int64
	estimatedMS int64
	observedMS  int64
}

// recordWaitEstimate records the estimated and the observed queue wait of a request.
func (m Metrics) recordWaitEstimate(estimated, observed time.Duration) {
	group, exact := slices.BinarySearch(waitEstimateBoundsMS[:], estimated.Milliseconds())
	if exact {
		group++
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	sum := &m.waitEstimates[group]
	sum.count++
	sum.estimatedMS += estimated.Milliseconds()
	sum.observedMS += max(0, observed).Milliseconds()
}

// The upper end of the histograms' range, in milliseconds, and their precision in significant digits.
const (
	histogramMaxMS  = 120_000
	histogramDigits = 2
)

func newMetrics() Metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMS, histogramDigits) }
	return Metrics{
		requests:      &atomic.Int64{},
		lock:          &sync.Mutex{},
		outcomes:      map[string]int64{},
		firstByte:     histogram(),
		total:         histogram(),
		estimatedWait: histogram(),
		retries:       &atomic.Int64{},
		crashes:       &atomic.Int64{},
		claimsHeld:    &atomic.Int64{},
		claimsRefused: &atomic.Int64{},
		coldRefusals:  &atomic.Int64{},

		waitEstimates: &[len(waitEstimateBoundsMS) + 1]waitEstimateSum{},
	}
}

// recordEnd counts a request by its outcome and records its latencies. Parameter failure is nil if an upstream's response was relayed.
func (m Metrics) recordEnd(event hwevent.Event, failure *hwerror.RequestError, e *exchange, now time.Time) {
	name := event.Name
	if failure != nil {
		name = string(failure.Kind)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.outcomes[name]++
	if e.attempts > 1 {
		m.retries.Add(int64(e.attempts - 1))
	}
	// Values outside the range are recorded as the nearest value inside it.
	_ = m.total.RecordValue(min(histogramMaxMS, max(1, now.Sub(e.arrivedAt).Milliseconds())))
	_ = m.estimatedWait.RecordValue(min(histogramMaxMS, max(1, e.queueWait.Milliseconds())))
	if !e.firstByteAt.IsZero() {
		_ = m.firstByte.RecordValue(min(histogramMaxMS, max(1, e.firstByteAt.Sub(e.arrivedAt).Milliseconds())))
	}
}

// quantiles are the quantiles that WriteMetrics reports for each histogram, in percent.
var quantiles = []float64{50, 90, 99, 99.9}

// WriteMetrics writes the counters, histograms and gauges as text, one "name value" pair per line. A writer that blocks does not hold up requests.
func (r *Router) WriteMetrics(w io.Writer, now time.Time) {
	var text bytes.Buffer
	r.collectMetrics(&text, now)
	_, _ = w.Write(text.Bytes())
}

// collectMetrics writes the metrics to memory, because it holds locks that requests take.
func (r *Router) collectMetrics(w *bytes.Buffer, now time.Time) {
	m := r.metrics
	_, _ = fmt.Fprintf(w, "hickorywick_requests_total %d\n", m.requests.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_requests_in_flight %d\n", r.InFlight())
	_, _ = fmt.Fprintf(w, "hickorywick_requests_sent_again_total %d\n", m.retries.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_upstream_crashes_total %d\n", m.crashes.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_claims_held_total %d\n", m.claimsHeld.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_claims_refused_total %d\n", m.claimsRefused.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_upstream_connections_opened_total %d\n", r.transport.ConnectionsOpened())
	_, _ = fmt.Fprintf(w, "hickorywick_body_bytes_held %d\n", r.bodyMemory.reserved.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_table_version %d\n", r.tableVersion())
	_, _ = fmt.Fprintf(w, "hickorywick_table_age_milliseconds %d\n", r.TableAge().Milliseconds())
	r.shedding.writeMetrics(w)
	r.newestKnown.WriteMetrics(w)
	r.storeCalls.WriteMetrics(w)
	m.lock.Lock()
	for _, name := range slices.Sorted(maps.Keys(m.outcomes)) {
		_, _ = fmt.Fprintf(w, "hickorywick_requests_ended_total{end=%q} %d\n", name, m.outcomes[name])
	}
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{name: "first_byte", histogram: m.firstByte},
		{name: "whole", histogram: m.total},
		{name: "estimated_wait", histogram: m.estimatedWait},
	} {
		for _, q := range quantiles {
			_, _ = fmt.Fprintf(w, "hickorywick_%s_milliseconds{quantile=\"%g\"} %d\n", h.name, q/100, h.histogram.ValueAtQuantile(q))
		}
		_, _ = fmt.Fprintf(w, "hickorywick_%s_milliseconds_count %d\n", h.name, h.histogram.TotalCount())
	}
	for i, sum := range m.waitEstimates {
		from := int64(0)
		if i > 0 {
			from = waitEstimateBoundsMS[i-1]
		}
		_, _ = fmt.Fprintf(w, "hickorywick_wait_estimates_total{from_milliseconds=\"%d\"} %d\n", from, sum.count)
		_, _ = fmt.Fprintf(w, "hickorywick_wait_estimated_milliseconds_sum{from_milliseconds=\"%d\"} %d\n", from, sum.estimatedMS)
		_, _ = fmt.Fprintf(w, "hickorywick_wait_seen_milliseconds_sum{from_milliseconds=\"%d\"} %d\n", from, sum.observedMS)
	}
	m.lock.Unlock()
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(w, "hickorywick_quarantined_segments %d\n", r.segments.QuarantinedCount())
	r.writeEvacuationMetrics(w)
	r.writeColdMetrics(w)
	r.writeHedgeMetrics(w)
	r.writeVersionMetrics(w)
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		tokensPerMS, requestMS := r.pools[name].LearnedRates()
		leaving, pausing := r.pools[name].Unavailable(now)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_upstreams_leaving{pool=%q} %d\n", name, leaving)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_upstreams_pausing{pool=%q} %d\n", name, pausing)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_upstreams_cold{pool=%q} %d\n", name, r.pools[name].ColdUpstreams(now))
		_, _ = fmt.Fprintf(w, "hickorywick_pool_upstreams{pool=%q} %d\n", name, r.pools[name].ActiveUpstreams(now))
		_, _ = fmt.Fprintf(w, "hickorywick_pool_tokens_per_millisecond{pool=%q} %.1f\n", name, tokensPerMS)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_request_milliseconds{pool=%q} %.1f\n", name, requestMS)
		speeds := r.pools[name].SpeedFactors()
		_, _ = fmt.Fprintf(w, "hickorywick_pool_speed_factor_least{pool=%q} %.2f\n", name, speeds.Least)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_speed_factor_mean{pool=%q} %.2f\n", name, speeds.Mean)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_speed_factor_greatest{pool=%q} %.2f\n", name, speeds.Greatest)
	}
	for account, usage := range r.shares.FleetUsage(now) {
		_, _ = fmt.Fprintf(w, "hickorywick_account_given_tokens_per_second{account=%q} %.0f\n", account, usage.Admitted)
	}
}
