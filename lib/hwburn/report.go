package hwburn

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// WindowCounts is the request counts of one AlertWindow.
type WindowCounts struct {
	Window string       `json:"window"`
	Short  RequestCount `json:"short"`
	Long   RequestCount `json:"long"`
}

// ObjectiveCounts is one objective's request counts and latencies at one instance, or at several after Merge.
type ObjectiveCounts struct {
	Account                string                 `json:"account"`
	Pool                   string                 `json:"pool"`
	LatencyThresholdMillis int64                  `json:"within-ms"`
	Target                 float64                `json:"target"`
	Windows                []WindowCounts         `json:"spans"`
	Latencies              *hdrhistogram.Snapshot `json:"times"`
}

// Export returns the meter's counts and latencies as of now.
func (m *Meter) Export(now time.Time) ObjectiveCounts {
	row := ObjectiveCounts{
		Account:                m.objective.Account,
		Pool:                   m.objective.Pool,
		LatencyThresholdMillis: m.objective.LatencyThreshold.Milliseconds(),
		Target:                 m.objective.Target,
		Latencies:              m.latencies.Export(),
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

// Merge adds up the counts of several instances by objective.
func Merge(rows ...ObjectiveCounts) ([]ObjectiveCounts, error) {
	var merged []ObjectiveCounts
	indexByKey := map[string]int{}
	for _, row := range rows {
		i, known := indexByKey[row.key()]
		if !known {
			indexByKey[row.key()] = len(merged)
			merged = append(merged, row)
			continue
		}
		sum, err := merged[i].add(row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		merged[i] = sum
	}
	return merged, nil
}

func (r ObjectiveCounts) add(other ObjectiveCounts) (ObjectiveCounts, error) {
	if len(r.Windows) != len(other.Windows) || r.Latencies == nil || other.Latencies == nil {
		return ObjectiveCounts{}, trace.BadParameter("cannot merge the counts of objective %s: the instances report different windows, or no latencies", r.key())
	}
	windows := make([]WindowCounts, 0, len(r.Windows))
	for i, w := range r.Windows {
		windows = append(windows, WindowCounts{
			Window: w.Window,
			Short:  w.Short.add(other.Windows[i].Short),
			Long:   w.Long.add(other.Windows[i].Long),
		})
	}
	latencies := hdrhistogram.Import(r.Latencies)
	latencies.Merge(hdrhistogram.Import(other.Latencies))
	r.Windows = windows
	r.Latencies = latencies.Export()
	return r, nil
}

// BurnStatus is the state of an objective's error budget.
type BurnStatus struct {
	Account string `json:"account"`
	Pool    string `json:"pool"`
	// ShortBurnRates and LongBurnRates are the burn rates over the short and long windows, in the order of AlertWindows. At a rate of 1 the budget is used up exactly at the end of its period.
	ShortBurnRates []float64 `json:"short-rates"`
	LongBurnRates  []float64 `json:"long-rates"`
	// BudgetRemaining is the fraction of the error budget of the longest window that is left. It is negative if the budget is exceeded.
	BudgetRemaining float64 `json:"remaining"`
	Requests        int64   `json:"requests"`
	P95Millis       int64   `json:"p95-ms"`
	P99Millis       int64   `json:"p99-ms"`
	Alerting        bool    `json:"pages"`
	Reason          string  `json:"why"`
}

// burnRate returns the ratio of the fraction of bad requests to the fraction that the target allows.
func burnRate(c RequestCount, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Evaluate returns the burn status of each objective, given its merged counts.
func Evaluate(rows []ObjectiveCounts) []BurnStatus {
	statuses := make([]BurnStatus, 0, len(rows))
	for _, row := range rows {
		statuses = append(statuses, evaluateObjective(row))
	}
	return statuses
}

func evaluateObjective(row ObjectiveCounts) BurnStatus {
	status := BurnStatus{
		Account:         row.Account,
		Pool:            row.Pool,
		BudgetRemaining: 1,
	}
	var reasons []string
	for i, w := range AlertWindows() {
		if i >= len(row.Windows) {
			break
		}
		shortRate, longRate := burnRate(row.Windows[i].Short, row.Target), burnRate(row.Windows[i].Long, row.Target)
		status.ShortBurnRates = append(status.ShortBurnRates, shortRate)
		status.LongBurnRates = append(status.LongBurnRates, longRate)
		if shortRate > w.MaxBurnRate && longRate > w.MaxBurnRate {
			reasons = append(reasons, fmt.Sprintf("the budget burns %.1f times too fast over %s and %.1f times over %s; %.1f pages", shortRate, w.Short, longRate, w.Long, w.MaxBurnRate))
		}
		status.Requests = row.Windows[i].Long.Total
		status.BudgetRemaining = 1 - longRate
	}
	if row.Latencies != nil {
		latencies := hdrhistogram.Import(row.Latencies)
		status.P95Millis = latencies.ValueAtQuantile(95)
		status.P99Millis = latencies.ValueAtQuantile(99)
	}
	status.Alerting = len(reasons) > 0
	status.Reason = strings.Join(reasons, "; ")
	return status
}
