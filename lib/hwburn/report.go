package hwburn

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// Spans are the counts of one window.
type Spans struct {
	Window string `json:"window"`
	Short  Count  `json:"short"`
	Long   Count  `json:"long"`
}

// Row is one objective's counts at an instance, or at several after a merge.
type Row struct {
	Account      string                 `json:"account"`
	Pool         string                 `json:"pool"`
	WithinMillis int64                  `json:"within-ms"`
	Target       float64                `json:"target"`
	Spans        []Spans                `json:"spans"`
	Times        *hdrhistogram.Snapshot `json:"times"`
}

// Row returns the meter's counts.
func (m *Meter) Row(now time.Time) Row {
	row := Row{
		Account:      m.objective.Account,
		Pool:         m.objective.Pool,
		WithinMillis: m.objective.Within.Milliseconds(),
		Target:       m.objective.Target,
		Times:        m.times.Export(),
	}
	for _, w := range Windows() {
		row.Spans = append(row.Spans, Spans{
			Window: w.Name,
			Short:  m.Over(now, w.Short),
			Long:   m.Over(now, w.Long),
		})
	}
	return row
}

func (r Row) key() string {
	return fmt.Sprintf("%s/%s/%d/%g", r.Account, r.Pool, r.WithinMillis, r.Target)
}

// Merge adds up the rows of several instances.
func Merge(rows ...Row) ([]Row, error) {
	var merged []Row
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

func (r Row) plus(other Row) (Row, error) {
	if len(r.Spans) != len(other.Spans) || r.Times == nil || other.Times == nil {
		return Row{}, trace.BadParameter("the instances count %s in different ways", r.key())
	}
	spans := make([]Spans, 0, len(r.Spans))
	for i, s := range r.Spans {
		spans = append(spans, Spans{
			Window: s.Window,
			Short:  s.Short.plus(other.Spans[i].Short),
			Long:   s.Long.plus(other.Spans[i].Long),
		})
	}
	times := hdrhistogram.Import(r.Times)
	times.Merge(hdrhistogram.Import(other.Times))
	r.Spans = spans
	r.Times = times.Export()
	return r, nil
}

// Verdict is what an objective's counts mean.
type Verdict struct {
	Account string `json:"account"`
	Pool    string `json:"pool"`
	// ShortRates and LongRates are how many times faster than allowed the budget burns, by window.
	ShortRates []float64 `json:"short-rates"`
	LongRates  []float64 `json:"long-rates"`
	// Remaining is the part of the budget left over the longest window; below zero it is overspent.
	Remaining float64 `json:"remaining"`
	Requests  int64   `json:"requests"`
	P95Millis int64   `json:"p95-ms"`
	P99Millis int64   `json:"p99-ms"`
	Pages     bool    `json:"pages"`
	Why       string  `json:"why"`
}

func rate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Judge returns the verdict on merged rows.
func Judge(rows []Row) []Verdict {
	verdicts := make([]Verdict, 0, len(rows))
	for _, row := range rows {
		verdicts = append(verdicts, judge(row))
	}
	return verdicts
}

func judge(row Row) Verdict {
	v := Verdict{
		Account:   row.Account,
		Pool:      row.Pool,
		Remaining: 1,
	}
	var reasons []string
	for i, w := range Windows() {
		if i >= len(row.Spans) {
			break
		}
		short, long := rate(row.Spans[i].Short, row.Target), rate(row.Spans[i].Long, row.Target)
		v.ShortRates = append(v.ShortRates, short)
		v.LongRates = append(v.LongRates, long)
		if short > w.Rate && long > w.Rate {
			reasons = append(reasons, fmt.Sprintf("the budget burns %.1f times too fast over %s and %.1f times over %s; %.1f pages", short, w.Short, long, w.Long, w.Rate))
		}
		v.Requests = row.Spans[i].Long.Total
		v.Remaining = 1 - long
	}
	if row.Times != nil {
		times := hdrhistogram.Import(row.Times)
		v.P95Millis = times.ValueAtQuantile(95)
		v.P99Millis = times.ValueAtQuantile(99)
	}
	v.Pages = len(reasons) > 0
	v.Why = strings.Join(reasons, "; ")
	return v
}
