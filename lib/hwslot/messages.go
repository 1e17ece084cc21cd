// Package hwslot divides the slots of a pool between routers.
//
// A slot is the right to have one request running at one upstream. The broker of a pool leases slots to routers. A router reports what it holds and needs, and each reply is a grant.
// Broker and LeaseHolder are state machines without clocks or sockets: the current time is an argument.
package hwslot

import "time"

// UpstreamRow is how many slots a router holds and uses at one upstream.
type UpstreamRow struct {
	Upstream string
	Held     int
	InUse    int
	// SlowPermille is the upstream's slowness as measured by the router, in thousandths of the pool's median: 1000 is the median, 0 is no observation.
	SlowPermille int
}

// AccountRow is an account's demand and service at one router.
type AccountRow struct {
	Account string
	Waiting int
	Running int
	// HeldBack is how many of the waiting requests would not start even with a free slot, because the slot is kept for other requests of the account.
	HeldBack   int
	OldestWait time.Duration
	// Service is the grow-only total since the router's boot, in cost units.
	Service float64
	// Pending is the expected cost of running requests that is not charged yet, in cost units.
	Pending float64
}

// CounterRow is an account's fleet-wide state.
type CounterRow struct {
	Account string
	// Counter is the account's virtual service counter in cost units per share.
	Counter float64
	// TargetSlots is how many slots the account is to have at the router. It is set only in grants.
	TargetSlots float64
}

// Report is a router's message to the broker. Unless Full is set, it contains only rows that changed.
type Report struct {
	Instance  string
	Boot      uint64
	Pool      string
	Sequence  uint64
	Full      bool
	Leaving   bool
	Upstreams []UpstreamRow
	Accounts  []AccountRow
	// KnownCounters are the counters that the router knows, set only in full reports. A new broker starts from them.
	KnownCounters []CounterRow
}

// Grant is the broker's reply to a report.
type Grant struct {
	// NotBroker tells that the receiver of the report is not the pool's broker.
	NotBroker bool
	// ResendFull asks for a full report and grants nothing.
	ResendFull bool
	Sequence   uint64
	Lease      time.Duration
	// FleetSize is the number of members.
	FleetSize int
	// Upstreams contains the upstreams whose slots change. Held is how many slots the router may have in use from now on.
	Upstreams []UpstreamRow
	Counters  []CounterRow
}
