package hwslot

import "time"

// PacerSettings bound the interval between reports and the control traffic.
type PacerSettings struct {
	// BudgetBytesPerSecond limits the instance's control traffic, sent and received.
	BudgetBytesPerSecond float64
	MinInterval          time.Duration
	// MaxInterval must be short enough that a lease lasts for several reports.
	MaxInterval time.Duration
}

// Pacer adapts the interval between reports so that control traffic stays within its budget for any number of pools, accounts and routers.
type Pacer struct {
	settings      PacerSettings
	interval      time.Duration
	measuredAt    time.Time
	measuredBytes int64
}

// NewPacer returns a pacer that starts with the shortest interval.
func NewPacer(settings PacerSettings) *Pacer {
	return &Pacer{
		settings: settings,
		interval: settings.MinInterval,
	}
}

const (
	// pacerMeasureInterval is how long traffic is measured before the report interval changes.
	pacerMeasureInterval = time.Second
	// pacerTargetUtilisation is the part of the budget that the pacer tries to use.
	pacerTargetUtilisation = 0.8
	// pacerMinFactor limits how much the report interval shrinks in one step.
	pacerMinFactor = 0.7
)

// Interval returns the interval until the next report. Bytes is the instance's control traffic since it started.
func (p *Pacer) Interval(now time.Time, bytes int64) time.Duration {
	if p.measuredAt.IsZero() {
		p.measuredAt = now
		p.measuredBytes = bytes
	}
	elapsed := now.Sub(p.measuredAt)
	if elapsed < pacerMeasureInterval {
		return p.interval
	}
	rate := float64(bytes-p.measuredBytes) / elapsed.Seconds()
	factor := max(pacerMinFactor, rate/(pacerTargetUtilisation*p.settings.BudgetBytesPerSecond))
	next := time.Duration(float64(p.interval) * factor)
	p.interval = min(max(next, p.settings.MinInterval), p.settings.MaxInterval)
	p.measuredAt = now
	p.measuredBytes = bytes
	return p.interval
}
