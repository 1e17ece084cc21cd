package hwslot

import "time"

// PacerSettings bound the interval between reports and the traffic that they cause.
type PacerSettings struct {
	// BudgetBytesPerSecond is the control traffic of the instance in bytes a second, sent and received.
	BudgetBytesPerSecond float64
	// MinInterval and Slowest are the bounds of the interval. The slowest one must leave several reports in a lease.
	MinInterval time.Duration
	MaxInterval time.Duration
}

// Pacer sets the interval between reports so that control traffic stays within its budget, however many pools, accounts and routers there are.
type Pacer struct {
	settings PacerSettings
	interval time.Duration
	at       time.Time
	bytes    int64
}

// NewPacer returns a pacer that begins with the fastest interval.
func NewPacer(settings PacerSettings) *Pacer {
	return &Pacer{
		settings: settings,
		interval: settings.MinInterval,
	}
}

const (
	// pacerWindow is how long traffic is measured before the interval changes.
	pacerWindow = time.Second
	// pacerAim is the part of the budget that is aimed at.
	pacerAim = 0.8
	// pacerStep bounds how far the interval shrinks at once.
	pacerStep = 0.7
)

// Interval returns the interval from now on. Bytes is the instance's control traffic since its start.
func (p *Pacer) Interval(now time.Time, bytes int64) time.Duration {
	if p.at.IsZero() {
		p.at = now
		p.bytes = bytes
	}
	elapsed := now.Sub(p.at)
	if elapsed < pacerWindow {
		return p.interval
	}
	rate := float64(bytes-p.bytes) / elapsed.Seconds()
	factor := max(pacerStep, rate/(pacerAim*p.settings.BudgetBytesPerSecond))
	next := time.Duration(float64(p.interval) * factor)
	p.interval = min(max(next, p.settings.MinInterval), p.settings.MaxInterval)
	p.at = now
	p.bytes = bytes
	return p.interval
}
