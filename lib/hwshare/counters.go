// Package hwshare provides fair queueing between client accounts: a virtual service counter per account, estimates of request costs, and a queue per account.
//
// A counter is an account's service in cost units divided by its share. The backlogged account with the lowest counter is served first.
package hwshare

import (
	"math"
	"time"
)

// CounterSettings bound how much service an account may catch up and how long it counts as backlogged after its queue became empty.
type CounterSettings struct {
	// MaxCatchUp is how far an account's counter may be below the highest counter of the backlogged accounts, in cost units per share.
	MaxCatchUp float64
	// BacklogGrace is how long an account without waiting requests still counts as backlogged, so that an account whose queue is empty for a moment keeps its counter.
	BacklogGrace time.Duration
}

// counter is the state of one account. An account counts as backlogged while it has waiting requests and for the grace period after that.
type counter struct {
	share         float64
	value         float64
	backlogged    bool
	lastWaitingAt time.Time
}

// Counters holds the virtual service counters of one pool.
type Counters struct {
	settings CounterSettings
	accounts map[string]*counter
}

// NewCounters returns counters without accounts.
func NewCounters(settings CounterSettings) *Counters {
	return &Counters{
		settings: settings,
		accounts: map[string]*counter{},
	}
}

// SetShare sets an account's share. Its counter stays unchanged.
func (c *Counters) SetShare(account string, share float64) {
	c.accountCounter(account).share = share
}

// accountCounter returns the counter of an account, and creates it with a share of 1 if there is none.
func (c *Counters) accountCounter(account string) *counter {
	a, known := c.accounts[account]
	if !known {
		a = &counter{
			share: 1,
		}
		c.accounts[account] = a
	}
	return a
}

// Share returns the account's share.
func (c *Counters) Share(account string) float64 { return c.accountCounter(account).share }

// Charge adds service in cost units to an account's counter.
func (c *Counters) Charge(account string, cost float64) {
	a := c.accountCounter(account)
	a.value += cost / a.share
}

// Raise sets a counter to the value if that is higher than the present one.
func (c *Counters) Raise(account string, value float64) {
	a := c.accountCounter(account)
	a.value = math.Max(a.value, value)
}

// Set replaces a counter, for example by its fleet-wide value.
func (c *Counters) Set(account string, value float64) { c.accountCounter(account).value = value }

// Value returns an account's counter in cost units per share.
func (c *Counters) Value(account string) float64 { return c.accountCounter(account).value }

// ObserveBacklog records whether the account has waiting requests.
// The counter of an account that becomes backlogged is raised to the lowest counter of the backlogged accounts, so that idle time earns no credit.
func (c *Counters) ObserveBacklog(now time.Time, account string, waiting bool) {
	a := c.accountCounter(account)
	if !waiting {
		if a.backlogged && now.Sub(a.lastWaitingAt) > c.settings.BacklogGrace {
			a.backlogged = false
		}
		return
	}
	if !a.backlogged {
		if lowest, found := c.lowestBacklogged(); found {
			a.value = math.Max(a.value, lowest)
		}
	}
	a.backlogged = true
	a.lastWaitingAt = now
	c.capCatchUp(a)
}

// capCatchUp raises the counter of an account that fell far behind, for instance during a network partition. Otherwise it would starve the other accounts while it catches up.
func (c *Counters) capCatchUp(a *counter) {
	highest := math.Inf(-1)
	for _, other := range c.accounts {
		if other.backlogged {
			highest = math.Max(highest, other.value)
		}
	}
	a.value = math.Max(a.value, highest-c.settings.MaxCatchUp)
}

// lowestBacklogged returns the lowest counter of the backlogged accounts, and false if no account is backlogged.
func (c *Counters) lowestBacklogged() (float64, bool) {
	lowest := math.Inf(1)
	for _, a := range c.accounts {
		if a.backlogged {
			lowest = math.Min(lowest, a.value)
		}
	}
	return lowest, !math.IsInf(lowest, 1)
}

// Backlogged reports whether the account counts as backlogged.
func (c *Counters) Backlogged(account string) bool { return c.accountCounter(account).backlogged }

// Lag returns how far an account is behind the share-weighted mean of the backlogged accounts, in cost units; negative when it is ahead.
// Pending is the cost of running requests that is not charged yet, in cost units by account.
func (c *Counters) Lag(account string, pending map[string]float64) float64 {
	sum := 0.0
	shares := 0.0
	for name, a := range c.accounts {
		if a.backlogged {
			sum += a.value*a.share + pending[name]
			shares += a.share
		}
	}
	a := c.accountCounter(account)
	if shares == 0 || !a.backlogged {
		return 0
	}
	return (sum/shares)*a.share - (a.value*a.share + pending[account])
}

// Gap returns the difference between the highest and the lowest counter of the backlogged accounts, in cost units per share.
func (c *Counters) Gap() float64 {
	lowest, found := c.lowestBacklogged()
	if !found {
		return 0
	}
	highest := lowest
	for _, a := range c.accounts {
		if a.backlogged {
			highest = math.Max(highest, a.value)
		}
	}
	return highest - lowest
}
