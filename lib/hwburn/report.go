package hwburn

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// WindowCounts are the counts of one window.
type WindowCounts struct {
	Window string       `json:"window"`
	Short  RequestCount `json:"short"`
	Long   RequestCount `json:"long"`
}

// ObjectiveCounts is one objective's counts at an instance, or at several after a merge.
type ObjectiveCounts struct {
	Account                string                 `json:"account"`
	Pool                   string                 `json:"pool"`
	LatencyThresholdMillis int64                  `json:"within-ms"`
	Target                 float64                `json:"target"`
	Windows                []WindowCounts         `json:"spans"`
	Latencies              *hdrhistogram.Snapshot `json:"times"`
}

// Export returns the meter's counts.
func (m *Meter) Export(now time.Time) ObjectiveCounts {
	row := ObjectiveCounts{
		Account:                m.objective.Account,
		Pool:                   m.objective.Pool,
		LatencyThresholdMillis: m.objective.LatencyThreshold.Milliseconds(),
		Target:                 m.objective.Target,
		Latencies:              m.times.Export(),
	}
	for _, w := range AlertWindows() {
		row.Windows = append(row.Windows, WindowCounts{
			Window: w.Name,
			Short:  m.CountWithin(now, w.Short),
			Long:   m.CountWithin(now, w.Long),
		})
	}
	return row
}

func (r ObjectiveCounts) key() string {
	return fmt.Sprintf("%s/%s/%d/%g", r.Account, r.Pool, r.LatencyThresholdMillis, r.Target)
}

// Merge adds up the rows of several instances.
func Merge(rows ...ObjectiveCounts) ([]ObjectiveCounts, error) {
	var merged []ObjectiveCounts
	at := map[string]int{}
	for _, row := range rows {
		i, known := at[row.key()]
		if !known {
			at[row.key()] = len(merged)
			merged = append(merged, row)
			continue
		}
		sum, err := merged[i].plus(row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		merged[i] = sum
	}
	return merged, nil
}

func (r ObjectiveCounts) plus(other ObjectiveCounts) (ObjectiveCounts, error) {
	if len(r.Windows) != len(other.Windows) || r.Latencies == nil || other.Latencies == nil {
		return ObjectiveCounts{}, trace.BadParameter("the instances count %s in different ways", r.key())
	}
	spans := make([]WindowCounts, 0, len(r.Windows))
	for i, s := range r.Windows {
		spans = append(spans, WindowCounts{
			Window: s.Window,
			Short:  s.Short.plus(other.Windows[i].Short),
			Long:   s.Long.plus(other.Windows[i].Long),
		})
	}
	times := hdrhistogram.Import(r.Latencies)
	times.Merge(hdrhistogram.Import(other.Latencies))
	r.Windows = spans
	r.Latencies = times.Export()
	return r, nil
}

// BurnStatus is what an objective's counts mean.
type BurnStatus struct {
	Account string `json:"account"`
	Pool    string `json:"pool"`
	// ShortBurnRates and LongRates are how many times faster than allowed the budget burns, by window.
	ShortBurnRates []float64 `json:"short-rates"`
	LongBurnRates  []float64 `json:"long-rates"`
	// BudgetRemaining is the part of the budget left over the longest window; below zero it is overspent.
	BudgetRemaining float64 `json:"remaining"`
	Requests        int64   `json:"requests"`
	P95Millis       int64   `json:"p95-ms"`
	P99Millis       int64   `json:"p99-ms"`
	Alerting        bool    `json:"pages"`
	Reason          string  `json:"why"`
}

func rate(c RequestCount, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Evaluate returns the verdict on merged rows.
func Evaluate(rows []ObjectiveCounts) []BurnStatus {
	verdicts := make([]BurnStatus, 0, len(rows))
	for _, row := range rows {
		verdicts = append(verdicts, judge(row))
	}
	return verdicts
}

func judge(row ObjectiveCounts) BurnStatus {
	v := BurnStatus{
		Account:         row.Account,
		Pool:            row.Pool,
		BudgetRemaining: 1,
	}
	var reasons []string
	for i, w := range AlertWindows() {
		if i >= len(row.Windows) {
			break
		}
		short, long := rate(row.Windows[i].Short, row.Target), rate(row.Windows[i].Long, row.Target)
		v.ShortBurnRates = append(v.ShortBurnRates, short)
		v.LongBurnRates = append(v.LongBurnRates, long)
		if short > w.MaxBurnRate && long > w.MaxBurnRate {
			reasons = append(reasons, fmt.Sprintf("the budget burns %.1f times too fast over %s and %.1f times over %s; %.1f pages", short, w.Short, long, w.Long, w.MaxBurnRate))
		}
		v.Requests = row.Windows[i].Long.Total
		v.BudgetRemaining = 1 - long
	}
	if row.Latencies != nil {
		times := hdrhistogram.Import(row.Latencies)
		v.P95Millis = times.ValueAtQuantile(95)
		v.P99Millis = times.ValueAtQuantile(99)
	}
	v.Alerting = len(reasons) > 0
	v.Reason = strings.Join(reasons, "; ")
	return v
}
