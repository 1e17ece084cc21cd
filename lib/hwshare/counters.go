// Package hwshare decides whose turn it is: it keeps a virtual service counter per client account, learns what requests cost, and queues work per account.
//
// A counter is an account's service in cost units divided by its share. The backlogged account with the lowest counter goes first.
package hwshare

import (
	"math"
	"time"
)

// CounterSettings bound how much an account may catch up and how long it counts as backlogged after its queue emptied.
type CounterSettings struct {
	// MaxCatchUp is the largest distance in cost units per share that an account may lie behind the highest backlogged one.
	MaxCatchUp float64
	// BacklogGrace is how long an account without waiting work still counts as backlogged, so that a queue that empties for a moment keeps its place.
	BacklogGrace time.Duration
}

type counter struct {
	share      float64
	value      float64
	backlogged bool
	waitedAt   time.Time
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

// SetShare sets an account's share; what it was charged so far stays.
func (c *Counters) SetShare(account string, share float64) {
	c.row(account).share = share
}

func (c *Counters) row(account string) *counter {
	row, known := c.accounts[account]
	if !known {
		row = &counter{
			share: 1,
		}
		c.accounts[account] = row
	}
	return row
}

// Share returns the account's share.
func (c *Counters) Share(account string) float64 { return c.row(account).share }

// Charge adds service in cost units.
func (c *Counters) Charge(account string, cost float64) {
	row := c.row(account)
	row.value += cost / row.share
}

// Raise moves a counter up to at least the value, and never down.
func (c *Counters) Raise(account string, value float64) {
	row := c.row(account)
	row.value = math.Max(row.value, value)
}

// Set replaces a counter, when a better informed view of it arrives.
func (c *Counters) Set(account string, value float64) { c.row(account).value = value }

// Value returns the counter in cost units per share.
func (c *Counters) Value(account string) float64 { return c.row(account).value }

// ObserveBacklog notes whether the account has waiting work.
// An account that becomes backlogged is lifted to the lowest counter of the backlogged, so idle time builds no credit.
func (c *Counters) ObserveBacklog(now time.Time, account string, waiting bool) {
	row := c.row(account)
	if !waiting {
		if row.backlogged && now.Sub(row.waitedAt) > c.settings.BacklogGrace {
			row.backlogged = false
		}
		return
	}
	if !row.backlogged {
		if lowest, found := c.lowest(); found {
			row.value = math.Max(row.value, lowest)
		}
	}
	row.backlogged = true
	row.waitedAt = now
	c.capCatchUp(row)
}

// capCatchUp keeps an account that fell far behind, for instance behind a partition, from starving the others while it catches up.
func (c *Counters) capCatchUp(row *counter) {
	highest := math.Inf(-1)
	for _, other := range c.accounts {
		if other.backlogged {
			highest = math.Max(highest, other.value)
		}
	}
	row.value = math.Max(row.value, highest-c.settings.MaxCatchUp)
}

func (c *Counters) lowest() (float64, bool) {
	lowest := math.Inf(1)
	for _, row := range c.accounts {
		if row.backlogged {
			lowest = math.Min(lowest, row.value)
		}
	}
	return lowest, !math.IsInf(lowest, 1)
}

// Backlogged reports whether the account counts as backlogged.
func (c *Counters) Backlogged(account string) bool { return c.row(account).backlogged }

// Lag returns how far an account is behind the share-weighted mean of the backlogged, in cost units; negative when it is ahead.
// Extra is service that is running and not charged yet, in cost units by account.
func (c *Counters) Lag(account string, extra map[string]float64) float64 {
	sum := 0.0
	shares := 0.0
	for name, row := range c.accounts {
		if row.backlogged {
			sum += row.value*row.share + extra[name]
			shares += row.share
		}
	}
	row := c.row(account)
	if shares == 0 || !row.backlogged {
		return 0
	}
	return (sum/shares)*row.share - (row.value*row.share + extra[account])
}

// Gap returns the largest distance between two backlogged counters, in cost units per share.
func (c *Counters) Gap() float64 {
	lowest, found := c.lowest()
	if !found {
		return 0
	}
	highest := lowest
	for _, row := range c.accounts {
		if row.backlogged {
			highest = math.Max(highest, row.value)
		}
	}
	return highest - lowest
}
