// Package hwfence decides whether an order to an upstream may be sent by a holder that may have lost its lease without noticing.
//
// The fencing number is the store's revision at which the lease's key was created, so a later holder always has a higher one. An upstream that checks it refuses a late order by itself. For one that does not, the holder must prove its lease again right before sending, and a new holder waits until the last order of the one before has surely ended.
package hwfence

import "time"

// Lease is what a holder knows about its lease. It is immutable.
type Lease struct {
	// FencingToken is the fencing number.
	FencingToken int64
	// AcquiredAt is when the holder learned that it holds the lease.
	AcquiredAt time.Time
	// ExpiresAt is the last moment at which the store surely still holds the lease for this holder.
	ExpiresAt time.Time
}

// NewLease returns the lease of a call that was sent at sentAt and answered at now. The time to live counts from the sending, because the store may have begun counting then.
func NewLease(sentAt, now time.Time, ttl time.Duration, fence int64) Lease {
	return Lease{
		FencingToken: fence,
		AcquiredAt:   now,
		ExpiresAt:    sentAt.Add(ttl),
	}
}

// WithRenewal returns the lease after a renewal that was sent at sentAt.
func (l Lease) WithRenewal(sentAt time.Time, ttl time.Duration) Lease {
	l.ExpiresAt = sentAt.Add(ttl)
	return l
}

// Order is what matters about an order for the decision.
type Order struct {
	// ChecksFencing tells that the upstream refuses an order with an old fencing number.
	ChecksFencing bool
	// Deadline is the longest time that an order may take at an upstream.
	Deadline time.Duration
	// Confirmed tells that the store confirmed the lease for this very order.
	Confirmed bool
}

// Decision is what the holder does next.
type Decision int

const (
	// Send means that the order may be sent now.
	Send Decision = iota
	// Confirm means that the store has to confirm the lease first.
	Confirm
	// Wait means that an order of the holder before may still be under way; ask again at the returned time.
	Wait
	// Drop means that the lease is not surely held; the order must not be sent.
	Drop
)

// Decide returns whether an order may be sent, and for Wait until when to wait.
func (l Lease) Decide(now time.Time, order Order) (Decision, time.Time) {
	if !now.Before(l.ExpiresAt) {
		return Drop, time.Time{}
	}
	if order.ChecksFencing {
		return Send, time.Time{}
	}
	if settled := l.AcquiredAt.Add(order.Deadline); now.Before(settled) {
		return Wait, settled
	}
	if !now.Add(order.Deadline).Before(l.ExpiresAt) {
		// The order could still be running when the next holder begins.
		return Confirm, time.Time{}
	}
	if !order.Confirmed {
		return Confirm, time.Time{}
	}
	return Send, time.Time{}
}

// TokenChecker is an upstream's side: it refuses numbers below the highest that it has seen. Upstreams and stand-ins may embed it.
type TokenChecker struct {
	highest int64
}

// Admit reports whether an order with the fencing number may run.
func (g *TokenChecker) Admit(fence int64) bool {
	if fence < g.highest {
		return false
	}
	g.highest = fence
	return true
}
