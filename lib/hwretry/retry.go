// Package hwretry decides whether a failed attempt may be retried, and limits retries by a budget so that an outage does not cause a retry storm.
package hwretry

import "time"

// BudgetSettings configure how a retry budget is replenished and limited.
type BudgetSettings struct {
	// RetryRatio is how many retries each first attempt adds to the balance.
	RetryRatio float64
	// MaxBalance is the largest balance, in retries, and the balance of a new budget.
	MaxBalance float64
	// MinRetriesPerSecond is how many retries are added per second regardless of traffic.
	MinRetriesPerSecond float64
}

// Budget limits retries to a fraction of the first attempts, plus a constant minimum rate. It works like a token bucket.
type Budget struct {
	settings  BudgetSettings
	balance   float64
	updatedAt time.Time
}

// NewBudget returns a budget whose balance is MaxBalance.
func NewBudget(now time.Time, settings BudgetSettings) *Budget {
	return &Budget{
		settings:  settings,
		balance:   settings.MaxBalance,
		updatedAt: now,
	}
}

// accrue adds the retries for the time since the last update.
func (b *Budget) accrue(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.balance = min(b.settings.MaxBalance, b.balance+elapsed*b.settings.MinRetriesPerSecond)
		b.updatedAt = now
	}
}

// Deposit adds RetryRatio retries for a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.accrue(now)
	b.balance = min(b.settings.MaxBalance, b.balance+b.settings.RetryRatio)
}

// Available reports whether the balance allows a retry.
func (b *Budget) Available(now time.Time) bool {
	b.accrue(now)
	return b.balance >= 1
}

// TryWithdraw takes one retry from the balance and reports whether it was available.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.balance--
	return true
}

// hedgeReserveRatio is the part of MaxBalance that is kept for retries after failures.
const hedgeReserveRatio = 0.5

// TryWithdrawHedge takes one retry from the balance for a second attempt of a request that has not failed, and reports whether it was available. At least half of MaxBalance is left.
func (b *Budget) TryWithdrawHedge(now time.Time) bool {
	b.accrue(now)
	if b.balance-1 < hedgeReserveRatio*b.settings.MaxBalance {
		return false
	}
	return b.TryWithdraw(now)
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt, counted from 1.
	Number int
	// Idempotent reports whether the request may be executed more than once.
	Idempotent bool
	// MaybeSent reports whether bytes of the request may have reached the upstream.
	MaybeSent bool
	// ResponseStarted reports whether bytes of the response have been sent to the caller.
	ResponseStarted bool
	// Resumable reports whether upstreams can continue a streamed response after its last event.
	Resumable bool
	// ClientDisconnected reports whether the client has disconnected, so that the response is no longer needed.
	ClientDisconnected bool
}

// Action is the next step after a failed attempt.
type Action int

const (
	// Stop ends the request with the error of the attempt.
	Stop Action = iota
	// Retry sends the request to another upstream.
	Retry
	// Resume sends the request to another upstream, which continues the response after the last event that the caller has received.
	Resume
)

// MaxAttempts is the maximum number of attempts per request, including the first.
const MaxAttempts = 3

// Decide returns the action that is allowed after a failed attempt. It does not consider retry budgets.
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
