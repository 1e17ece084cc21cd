package hwforward

import (
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

// Metrics count requests by their end and keep latency histograms.
type Metrics struct {
	requests *atomic.Int64

	lock   *sync.Mutex
	ends   map[string]int64
	first  *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
	waits  *hdrhistogram.Histogram
	resent *atomic.Int64
	// estimates compare the estimated waits at engines with those that followed, by the estimate.
	estimates *[len(estimateSteps) + 1]estimate
}

// estimateSteps are the bounds between groups of estimated waits, in milliseconds. Most requests find no wait, so quantiles would tell little.
var estimateSteps = [...]int64{1, 50, 100, 200, 400, 800}

// estimate sums what was estimated and what followed, in milliseconds.
type estimate struct {
	count     int64
	estimated int64
	seen      int64
}

// estimated notes how long a request waited that was estimated to wait for a time.
func (m Metrics) estimated(wait, seen time.Duration) {
	group, exact := slices.BinarySearch(estimateSteps[:], wait.Milliseconds())
	if exact {
		group++
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	e := &m.estimates[group]
	e.count++
	e.estimated += wait.Milliseconds()
	e.seen += max(0, seen).Milliseconds()
}

// The range of the histograms in milliseconds and their precision in digits.
const (
	histogramHigh   = 120_000
	histogramDigits = 2
)

func newMetrics() Metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramHigh, histogramDigits) }
	return Metrics{
		requests: &atomic.Int64{},
		lock:     &sync.Mutex{},
		ends:     map[string]int64{},
		first:    histogram(),
		total:    histogram(),
		waits:    histogram(),
		resent:   &atomic.Int64{},

		estimates: &[len(estimateSteps) + 1]estimate{},
	}
}

// ended counts the end of a request.
func (m Metrics) ended(event hwevent.Event, f *hwerror.RequestError, d *delivery, now time.Time) {
	name := event.Name
	if f != nil {
		name = string(f.Kind)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.ends[name]++
	if d.sends > 1 {
		m.resent.Add(int64(d.sends - 1))
	}
	// A value beyond the range is counted as the range's end.
	_ = m.total.RecordValue(min(histogramHigh, max(1, now.Sub(d.arrived).Milliseconds())))
	_ = m.waits.RecordValue(min(histogramHigh, max(1, d.wait.Milliseconds())))
	if !d.firstByte.IsZero() {
		_ = m.first.RecordValue(min(histogramHigh, max(1, d.firstByte.Sub(d.arrived).Milliseconds())))
	}
}

// quantiles are those that a histogram is served with.
var quantiles = []float64{50, 90, 99, 99.9}

// WriteMetrics writes the counters, histograms and gauges as text, one "name value" a line.
func (r *Router) WriteMetrics(w io.Writer, now time.Time) {
	m := r.metrics
	_, _ = fmt.Fprintf(w, "hickorywick_requests_total %d\n", m.requests.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_requests_in_flight %d\n", r.InFlight())
	_, _ = fmt.Fprintf(w, "hickorywick_requests_sent_again_total %d\n", m.resent.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_upstream_connections_opened_total %d\n", r.links.ConnectionsOpened())
	_, _ = fmt.Fprintf(w, "hickorywick_body_bytes_held %d\n", r.held.sum.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_table_version %d\n", r.version())
	_, _ = fmt.Fprintf(w, "hickorywick_table_age_milliseconds %d\n", r.TableAge().Milliseconds())
	m.lock.Lock()
	for _, name := range slices.Sorted(maps.Keys(m.ends)) {
		_, _ = fmt.Fprintf(w, "hickorywick_requests_ended_total{end=%q} %d\n", name, m.ends[name])
	}
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{name: "first_byte", histogram: m.first},
		{name: "whole", histogram: m.total},
		{name: "estimated_wait", histogram: m.waits},
	} {
		for _, q := range quantiles {
			_, _ = fmt.Fprintf(w, "hickorywick_%s_milliseconds{quantile=\"%g\"} %d\n", h.name, q/100, h.histogram.ValueAtQuantile(q))
		}
		_, _ = fmt.Fprintf(w, "hickorywick_%s_milliseconds_count %d\n", h.name, h.histogram.TotalCount())
	}
	for i, e := range m.estimates {
		from := int64(0)
		if i > 0 {
			from = estimateSteps[i-1]
		}
		_, _ = fmt.Fprintf(w, "hickorywick_wait_estimates_total{from_milliseconds=\"%d\"} %d\n", from, e.count)
		_, _ = fmt.Fprintf(w, "hickorywick_wait_estimated_milliseconds_sum{from_milliseconds=\"%d\"} %d\n", from, e.estimated)
		_, _ = fmt.Fprintf(w, "hickorywick_wait_seen_milliseconds_sum{from_milliseconds=\"%d\"} %d\n", from, e.seen)
	}
	m.lock.Unlock()
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		tokensPerMS, requestMS := r.pools[name].LearnedRates()
		_, _ = fmt.Fprintf(w, "hickorywick_pool_upstreams{pool=%q} %d\n", name, r.pools[name].ActiveUpstreams())
		_, _ = fmt.Fprintf(w, "hickorywick_pool_tokens_per_millisecond{pool=%q} %.1f\n", name, tokensPerMS)
		_, _ = fmt.Fprintf(w, "hickorywick_pool_request_milliseconds{pool=%q} %.1f\n", name, requestMS)
	}
	for account, use := range r.shares.FleetUsage(now) {
		_, _ = fmt.Fprintf(w, "hickorywick_account_given_tokens_per_second{account=%q} %.0f\n", account, use.Admitted)
	}
}
