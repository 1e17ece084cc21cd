// Package hwretry decides whether a failed attempt may be repeated, and keeps retries within a budget so that an outage does not turn into a storm.
package hwretry

import "time"

// BudgetSettings are the rate and the reserve of a budget.
type BudgetSettings struct {
	// RetryRatio is how many retries each first attempt earns.
	RetryRatio float64
	// MaxBalance is the largest number of retries that can be saved up, and what a new budget holds.
	MaxBalance float64
	// MinRetriesPerSecond is how many retries a second are earned without traffic.
	MinRetriesPerSecond float64
}

// Budget limits retries to a part of the first attempts.
type Budget struct {
	settings BudgetSettings
	saved    float64
	at       time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, settings BudgetSettings) *Budget {
	return &Budget{
		settings: settings,
		saved:    settings.MaxBalance,
		at:       now,
	}
}

func (b *Budget) accrue(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.saved = min(b.settings.MaxBalance, b.saved+elapsed*b.settings.MinRetriesPerSecond)
		b.at = now
	}
}

// Deposit notes a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.accrue(now)
	b.saved = min(b.settings.MaxBalance, b.saved+b.settings.RetryRatio)
}

// Available reports whether a retry could be spent.
func (b *Budget) Available(now time.Time) bool {
	b.accrue(now)
	return b.saved >= 1
}

// TryWithdraw takes one retry and reports whether the budget held it.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.saved--
	return true
}

// Attempt is what is known about a failed attempt.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// MaybeSent tells that bytes may have reached the upstream.
	MaybeSent bool
	// ResponseStarted tells that bytes of the answer have reached the caller.
	ResponseStarted bool
	// Resumable tells that the upstream can continue an answer from the last event.
	Resumable bool
	// ClientDisconnected tells that nobody waits for the answer.
	ClientDisconnected bool
}

// Action is what to do after a failed attempt.
type Action int

const (
	// Stop ends the request with the failure.
	Stop Action = iota
	// Retry sends the request to another upstream.
	Retry
	// Resume sends it to another upstream, which continues after the last event that the caller has.
	Resume
)

// MaxAttempts is how often a request is tried at most.
const MaxAttempts = 3

// Decide returns what may follow a failed attempt, before budgets are asked.
func Decide(a Attempt) Action {
	switch {
	case a.ClientDisconnected || a.Number >= MaxAttempts:
		return Stop
	case !a.MaybeSent && !a.ResponseStarted:
		return Retry
	case !a.Idempotent:
		return Stop
	case !a.ResponseStarted:
		return Retry
	case a.Resumable:
		return Resume
	default:
		return Stop
	}
}
