// Package hwfence decides whether a lease holder, which may have lost its lease without noticing, may send an order to an upstream.
//
// The fencing token is counted in the store while the lease is held, so a later holder always has a higher token. An upstream that checks fencing tokens rejects late orders itself. For any other upstream, the holder must confirm its lease with the store immediately before sending, and a new holder must wait until every order of the previous holder has certainly ended.
package hwfence

import "time"

// Lease is a holder's view of its lease. It is immutable.
type Lease struct {
	// FencingToken is higher than those of all earlier holders; see NextToken.
	FencingToken int64
	// AcquiredAt is when the holder received the confirmation that it holds the lease.
	AcquiredAt time.Time
	// ExpiresAt is the time until which the store is certain to keep the lease for this holder.
	ExpiresAt time.Time
}

// NextToken returns the token that follows the last one in the store. It is at least the present Unix time in milliseconds, because a store that was restored from a copy may have lost the tokens that upstreams have accepted since.
func NextToken(now time.Time, last int64) int64 {
	return max(last+1, now.UnixMilli())
}

// NewLease returns the lease granted by a call that was sent at sentAt and answered at now. The time to live counts from sentAt, because the store may have started counting as early as that.
func NewLease(sentAt, now time.Time, ttl time.Duration, token int64) Lease {
	return Lease{
		FencingToken: token,
		AcquiredAt:   now,
		ExpiresAt:    sentAt.Add(ttl),
	}
}

// WithRenewal returns the lease after a renewal that was sent at sentAt.
func (l Lease) WithRenewal(sentAt time.Time, ttl time.Duration) Lease {
	l.ExpiresAt = sentAt.Add(ttl)
	return l
}

// Order holds the properties of an order that Decide depends on.
type Order struct {
	// ChecksFencing reports whether the upstream rejects orders with an outdated fencing token.
	ChecksFencing bool
	// Deadline is the maximum duration of an order at an upstream.
	Deadline time.Duration
	// Confirmed reports whether the store has confirmed the lease for this particular order.
	Confirmed bool
}

// Decision is the holder's next step.
type Decision int

const (
	// Send means that the order may be sent now.
	Send Decision = iota
	// Confirm means that the store must confirm the lease first.
	Confirm
	// Wait means that an order of the previous holder may still be running; call Decide again at the returned time.
	Wait
	// Drop means that the lease may have expired; the order must not be sent.
	Drop
)

// Decide returns whether an order may be sent and, for Wait, the time to wait until.
func (l Lease) Decide(now time.Time, order Order) (Decision, time.Time) {
	if !now.Before(l.ExpiresAt) {
		return Drop, time.Time{}
	}
	if order.ChecksFencing {
		return Send, time.Time{}
	}
	if previousOrdersEnd := l.AcquiredAt.Add(order.Deadline); now.Before(previousOrdersEnd) {
		return Wait, previousOrdersEnd
	}
	if !now.Add(order.Deadline).Before(l.ExpiresAt) {
		// The order could still be running when the next holder starts to send orders.
		return Confirm, time.Time{}
	}
	if !order.Confirmed {
		return Confirm, time.Time{}
	}
	return Send, time.Time{}
}

// TokenChecker is the upstream's part of fencing: it rejects tokens below the highest that it has accepted. Upstreams and stand-ins may embed it.
type TokenChecker struct {
	highest int64
}

// Admit reports whether an order with the fencing token may be executed.
func (c *TokenChecker) Admit(token int64) bool {
	if token < c.highest {
		return false
	}
	c.highest = token
	return true
}
