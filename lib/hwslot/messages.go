// Package hwslot shares the slots of a pool between routers.
//
// A slot is the right to have one request running at one upstream. The slot broker of a pool leases slots to routers; a router reports what it holds and needs, and each reply is a grant.
// Both sides are state machines without clocks or sockets: the present time is an argument.
package hwslot

import "time"

// UpstreamRow is what a router holds at one upstream.
type UpstreamRow struct {
	Upstream string
	Held     int
	InUse    int
	// SlowPermille is how slow the router finds the upstream: 1000 is the pool's median, 0 is no observation.
	SlowPermille int
}

// AccountRow is an account's demand and service at one router.
type AccountRow struct {
	Account string
	Waiting int
	Running int
	// HeldBack is how many of the waiting requests would not start even with a free slot, because it is kept for other work of the account.
	HeldBack   int
	OldestWait time.Duration
	// Service is the grow-only total since the router's boot, in cost units.
	Service float64
	// Pending is the expected cost of what runs and is not charged yet, in cost units.
	Pending float64
}

// CounterRow is an account's fleet-wide counter in cost units per share, and in a grant its aim: the slots meant for it at the router.
type CounterRow struct {
	Account     string
	Counter     float64
	TargetSlots float64
}

// Report is a router's message to the broker. Unless it is full it holds only rows that changed.
type Report struct {
	Instance      string
	Boot          uint64
	Pool          string
	Sequence      uint64
	Full          bool
	Leaving       bool
	Upstreams     []UpstreamRow
	Accounts      []AccountRow
	KnownCounters []CounterRow
}

// Grant is the broker's reply. Held is the number of slots the router may have in use at an upstream from now on.
type Grant struct {
	NotBroker  bool
	ResendFull bool
	Sequence   uint64
	Lease      time.Duration
	FleetSize  int
	Upstreams  []UpstreamRow
	Counters   []CounterRow
}
