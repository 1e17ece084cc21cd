package hwslot

import (
	"maps"
	"slices"
	"time"
)

// LeaseHolderSettings name the router and its boot.
type LeaseHolderSettings struct {
	Instance string
	Boot     uint64
	Pool     string
	// Lease is how long granted slots may be used after the last answered report was sent.
	Lease time.Duration
	// StaticPartition gives the router its whole floor for good. It is a baseline for measurements.
	StaticPartition bool
}

type slots struct {
	allowed int
	inUse   int
}

// LeaseHolder is a router's side of the leases of one pool.
type LeaseHolder struct {
	settings LeaseHolderSettings
	limits   map[string]int
	members  []string
	slots    map[string]*slots
	// confirmed is when the last answered report was sent; the lease counts from there, so that the router lets go before the broker does.
	confirmed time.Time
	leased    bool
	sequence  uint64
	full      bool
	inFlight  Report
	sentAt    time.Time
	open      bool
	known     map[string]UpstreamRow
	accounts  map[string]AccountRow
	slowness  map[string]int
}

// NewLeaseHolder returns a holder that has its floor of slots and no lease.
func NewLeaseHolder(settings LeaseHolderSettings) *LeaseHolder {
	return &LeaseHolder{
		settings: settings,
		limits:   map[string]int{},
		slots:    map[string]*slots{},
		full:     true,
		known:    map[string]UpstreamRow{},
		accounts: map[string]AccountRow{},
		slowness: map[string]int{},
	}
}

// SetLimits sets the slots of each upstream that takes new work. Upstreams that are gone get no new work; what runs there ends.
func (h *LeaseHolder) SetLimits(limits map[string]int) {
	h.limits = maps.Clone(limits)
	for u := range limits {
		if h.slots[u] == nil {
			h.slots[u] = &slots{}
		}
	}
	for u, s := range h.slots {
		if limits[u] == 0 {
			s.allowed = 0
		}
		if limits[u] == 0 && s.inUse == 0 {
			delete(h.slots, u)
		}
	}
	h.full = true
	h.refloor()
}

// SetMembers sets the instances among which the floors are divided.
func (h *LeaseHolder) SetMembers(members []string) {
	h.members = slices.Clone(members)
	h.refloor()
}

// refloor sets what the router may use without a lease.
func (h *LeaseHolder) refloor() {
	if h.leased {
		return
	}
	for u, limit := range h.limits {
		floor := EvenSplit(u, limit, h.settings.Instance, h.members)
		if !h.settings.StaticPartition {
			floor = SlotsWithoutLease(h.slots[u].allowed, floor)
		}
		h.slots[u].allowed = floor
	}
}

// FreeSlots returns how many more requests may start at an upstream.
func (h *LeaseHolder) FreeSlots(upstream string) int {
	s, known := h.slots[upstream]
	if !known {
		return 0
	}
	return max(0, s.allowed-s.inUse)
}

// AvailableUpstreams returns the upstreams with a free slot, sorted.
func (h *LeaseHolder) AvailableUpstreams() []string {
	var names []string
	for u := range h.slots {
		if h.FreeSlots(u) > 0 {
			names = append(names, u)
		}
	}
	slices.Sort(names)
	return names
}

// TotalSlots returns the slots held and in use over all upstreams.
func (h *LeaseHolder) TotalSlots() (allowed, inUse int) {
	for _, s := range h.slots {
		allowed += s.allowed
		inUse += s.inUse
	}
	return allowed, inUse
}

// SlotsAt returns the slots held and in use at an upstream.
func (h *LeaseHolder) SlotsAt(upstream string) (allowed, inUse int) {
	if s, known := h.slots[upstream]; known {
		return s.allowed, s.inUse
	}
	return 0, 0
}

// InUse returns how many requests run at an upstream.
func (h *LeaseHolder) InUse(upstream string) int {
	if s, known := h.slots[upstream]; known {
		return s.inUse
	}
	return 0
}

// Acquire uses a slot. The caller has checked Free.
func (h *LeaseHolder) Acquire(upstream string) { h.slots[upstream].inUse++ }

// Release frees a slot.
func (h *LeaseHolder) Release(upstream string) {
	s, known := h.slots[upstream]
	if !known {
		return
	}
	s.inUse--
	if s.inUse == 0 && h.limits[upstream] == 0 {
		delete(h.slots, upstream)
	}
}

// SetSlowness notes how slow the router finds an upstream, in thousandths of the pool's median; 0 withdraws it.
func (h *LeaseHolder) SetSlowness(upstream string, permille int) { h.slowness[upstream] = permille }

// NextReport returns the next report. Rows that the broker has confirmed already are left out, unless it asked for all.
func (h *LeaseHolder) NextReport(now time.Time, accounts []AccountRow, view []CounterRow, leaving bool) Report {
	h.sequence++
	report := Report{
		Instance: h.settings.Instance,
		Boot:     h.settings.Boot,
		Pool:     h.settings.Pool,
		Sequence: h.sequence,
		Full:     h.full,
		Leaving:  leaving,
	}
	for _, u := range slices.Sorted(maps.Keys(h.slots)) {
		row := UpstreamRow{
			Upstream:     u,
			Held:         max(h.slots[u].allowed, h.slots[u].inUse),
			InUse:        h.slots[u].inUse,
			SlowPermille: h.slowness[u],
		}
		empty := row.Held == 0 && row.InUse == 0 && row.SlowPermille == 0
		if (h.full && !empty) || (!h.full && h.known[u] != row) {
			report.Upstreams = append(report.Upstreams, row)
		}
	}
	for _, row := range accounts {
		if h.full || h.accounts[row.Account] != row {
			report.Accounts = append(report.Accounts, row)
		}
	}
	if h.full {
		report.KnownCounters = view
	}
	h.inFlight = report
	h.sentAt = now
	h.open = true
	return report
}

// ReportFailed notes that a report got no answer. The broker may or may not have seen it, so the next one is full.
func (h *LeaseHolder) ReportFailed() {
	h.open = false
	h.full = true
}

// ApplyGrant takes the answer to the last report. An answer to an earlier one is ignored.
func (h *LeaseHolder) ApplyGrant(grant Grant) bool {
	if !h.open || grant.Sequence != h.inFlight.Sequence || grant.NotBroker {
		return false
	}
	h.open = false
	h.full = grant.ResendFull
	if grant.ResendFull {
		return false
	}
	h.leased = true
	h.confirmed = h.sentAt
	h.confirm(h.inFlight)
	for _, row := range grant.Upstreams {
		s, known := h.slots[row.Upstream]
		if known {
			// The broker may have another version of the document; this router's own bounds what it uses.
			s.allowed = min(max(0, row.Held), h.limits[row.Upstream])
		}
	}
	return true
}

func (h *LeaseHolder) confirm(report Report) {
	if report.Full {
		clear(h.known)
		clear(h.accounts)
	}
	for u := range h.slots {
		if _, known := h.known[u]; !known {
			h.known[u] = UpstreamRow{
				Upstream: u,
			}
		}
	}
	for _, row := range report.Upstreams {
		h.known[row.Upstream] = row
	}
	for _, row := range report.Accounts {
		h.accounts[row.Account] = row
	}
}

// ExpireLease decays to the floor when the lease has run out, and reports whether it just did.
func (h *LeaseHolder) ExpireLease(now time.Time) bool {
	if !h.leased || now.Sub(h.confirmed) <= h.settings.Lease {
		return false
	}
	h.leased = false
	h.full = true
	h.refloor()
	return true
}

// Leased reports whether a broker's lease is in force.
func (h *LeaseHolder) Leased() bool { return h.leased }
