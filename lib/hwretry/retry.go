// Package hwretry decides whether a failed attempt may be repeated, and keeps retries within a budget so that an outage does not turn into a storm.
package hwretry

import "time"

// BudgetSettings are the rate and the reserve of a budget.
type BudgetSettings struct {
	// Ratio is how many retries each first attempt earns.
	Ratio float64
	// Reserve is the largest number of retries that can be saved up, and what a new budget holds.
	Reserve float64
	// Trickle is how many retries a second are earned without traffic.
	Trickle float64
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
		saved:    settings.Reserve,
		at:       now,
	}
}

func (b *Budget) accrue(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.saved = min(b.settings.Reserve, b.saved+elapsed*b.settings.Trickle)
		b.at = now
	}
}

// Earn notes a first attempt.
func (b *Budget) Earn(now time.Time) {
	b.accrue(now)
	b.saved = min(b.settings.Reserve, b.saved+b.settings.Ratio)
}

// Available reports whether a retry could be spent.
func (b *Budget) Available(now time.Time) bool {
	b.accrue(now)
	return b.saved >= 1
}

// Spend takes one retry and reports whether the budget held it.
func (b *Budget) Spend(now time.Time) bool {
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
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// HandedOver tells that bytes may have reached the upstream.
	HandedOver bool
	// Answered tells that bytes of the answer have reached the caller.
	Answered bool
	// Resumable tells that the upstream can continue an answer from the last event.
	Resumable bool
	// CallerGone tells that nobody waits for the answer.
	CallerGone bool
}

// Next is what to do after a failed attempt.
type Next int

const (
	// Stop ends the request with the failure.
	Stop Next = iota
	// Again sends the request to another upstream.
	Again
	// Resume sends it to another upstream, which continues after the last event that the caller has.
	Resume
)

// MaximumAttempts is how often a request is tried at most.
const MaximumAttempts = 3

// Decide returns what may follow a failed attempt, before budgets are asked.
func Decide(a Attempt) Next {
	switch {
	case a.CallerGone || a.Number >= MaximumAttempts:
		return Stop
	case !a.HandedOver && !a.Answered:
		return Again
	case !a.Repeatable:
		return Stop
	case !a.Answered:
		return Again
	case a.Resumable:
		return Resume
	default:
		return Stop
	}
}
