package hwslot

import (
	"maps"
	"slices"
	"time"
)

// LeaseHolderSettings identify the router and its boot, and set the duration of its lease.
type LeaseHolderSettings struct {
	Instance string
	Boot     uint64
	Pool     string
	// Lease is how long granted slots may be used, counted from when the last answered report was sent.
	Lease time.Duration
	// StaticPartition lets the router use its whole even split without a lease. It is a baseline for measurements.
	StaticPartition bool
}

// slotCounts is how many slots of an upstream the router may use and how many are in use.
type slotCounts struct {
	allowed int
	inUse   int
}

// LeaseHolder is a router's side of the leases of one pool.
type LeaseHolder struct {
	settings LeaseHolderSettings
	limits   map[string]int
	members  []string
	slots    map[string]*slotCounts
	// confirmedAt is when the last answered report was sent. The lease counts from then, so that it expires at the router before it expires at the broker.
	confirmedAt time.Time
	leased      bool
	sequence    uint64
	// sendFull tells that the next report must be full.
	sendFull      bool
	lastReport    Report
	lastReportAt  time.Time
	awaitingGrant bool
	// confirmedUpstreams and confirmedAccounts are the rows that the broker has confirmed.
	confirmedUpstreams map[string]UpstreamRow
	confirmedAccounts  map[string]AccountRow
	// slowness is the slowness of each upstream in thousandths of the pool's median.
	slowness map[string]int
}

// NewLeaseHolder returns a lease holder without a lease.
func NewLeaseHolder(settings LeaseHolderSettings) *LeaseHolder {
	return &LeaseHolder{
		settings:           settings,
		limits:             map[string]int{},
		slots:              map[string]*slotCounts{},
		sendFull:           true,
		confirmedUpstreams: map[string]UpstreamRow{},
		confirmedAccounts:  map[string]AccountRow{},
		slowness:           map[string]int{},
	}
}

// SetLimits sets the slots of each upstream that takes new work. An upstream that is not listed gets no new requests, and its running ones continue to their end.
func (h *LeaseHolder) SetLimits(limits map[string]int) {
	h.limits = maps.Clone(limits)
	for u := range limits {
		if h.slots[u] == nil {
			h.slots[u] = &slotCounts{}
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
	h.sendFull = true
	h.resetUnleasedSlots()
}

// SetMembers sets the instances among which slots are split evenly without leases.
func (h *LeaseHolder) SetMembers(members []string) {
	h.members = slices.Clone(members)
	h.resetUnleasedSlots()
}

// resetUnleasedSlots sets the slots that the router may use without a lease.
func (h *LeaseHolder) resetUnleasedSlots() {
	if h.leased {
		return
	}
	for u, limit := range h.limits {
		allowed := EvenSplit(u, limit, h.settings.Instance, h.members)
		if !h.settings.StaticPartition {
			allowed = SlotsWithoutLease(h.slots[u].allowed, allowed)
		}
		h.slots[u].allowed = allowed
	}
}

// FreeSlots returns how many more requests the router may start at an upstream.
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

// TotalSlots returns the slots allowed and in use over all upstreams.
func (h *LeaseHolder) TotalSlots() (allowed, inUse int) {
	for _, s := range h.slots {
		allowed += s.allowed
		inUse += s.inUse
	}
	return allowed, inUse
}

// SlotsAt returns the slots allowed and in use at an upstream.
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

// Acquire marks a slot as in use. The caller must have checked FreeSlots.
func (h *LeaseHolder) Acquire(upstream string) { h.slots[upstream].inUse++ }

// Release marks a slot as free again when its request has ended.
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

// SetSlowness sets the upstream's slowness that the router reports, in thousandths of the pool's median; 0 reports no observation.
func (h *LeaseHolder) SetSlowness(upstream string, permille int) { h.slowness[upstream] = permille }

// NextReport returns the next report. Unless it is full, rows that the broker has already confirmed are left out.
func (h *LeaseHolder) NextReport(now time.Time, accounts []AccountRow, counters []CounterRow, leaving bool) Report {
	h.sequence++
	report := Report{
		Instance: h.settings.Instance,
		Boot:     h.settings.Boot,
		Pool:     h.settings.Pool,
		Sequence: h.sequence,
		Full:     h.sendFull,
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
		if (h.sendFull && !empty) || (!h.sendFull && h.confirmedUpstreams[u] != row) {
			report.Upstreams = append(report.Upstreams, row)
		}
	}
	for _, row := range accounts {
		if h.sendFull || h.confirmedAccounts[row.Account] != row {
			report.Accounts = append(report.Accounts, row)
		}
	}
	if h.sendFull {
		report.KnownCounters = counters
	}
	h.lastReport = report
	h.lastReportAt = now
	h.awaitingGrant = true
	return report
}

// ReportFailed records that the last report got no reply. The broker may or may not have processed it, so the next report is full.
func (h *LeaseHolder) ReportFailed() {
	h.awaitingGrant = false
	h.sendFull = true
}

// ApplyGrant applies the reply to the last report and reports whether the lease was renewed. A reply to an earlier report is ignored.
func (h *LeaseHolder) ApplyGrant(grant Grant) bool {
	if !h.awaitingGrant || grant.Sequence != h.lastReport.Sequence || grant.NotBroker {
		return false
	}
	h.awaitingGrant = false
	h.sendFull = grant.ResendFull
	if grant.ResendFull {
		return false
	}
	h.leased = true
	h.confirmedAt = h.lastReportAt
	h.confirmRows(h.lastReport)
	for _, row := range grant.Upstreams {
		s, known := h.slots[row.Upstream]
		if known {
			// The broker may use another version of the document, so the router's own limit also applies.
			s.allowed = min(max(0, row.Held), h.limits[row.Upstream])
		}
	}
	return true
}

// confirmRows stores the rows of an answered report as confirmed by the broker. An upstream that no report mentioned counts as confirmed with no slots.
func (h *LeaseHolder) confirmRows(report Report) {
	if report.Full {
		clear(h.confirmedUpstreams)
		clear(h.confirmedAccounts)
	}
	for u := range h.slots {
		if _, known := h.confirmedUpstreams[u]; !known {
			h.confirmedUpstreams[u] = UpstreamRow{
				Upstream: u,
			}
		}
	}
	for _, row := range report.Upstreams {
		h.confirmedUpstreams[row.Upstream] = row
	}
	for _, row := range report.Accounts {
		h.confirmedAccounts[row.Account] = row
	}
}

// ExpireLease ends the lease if its time is over, reduces the slots to those allowed without a lease, and reports whether the lease ended in this call.
func (h *LeaseHolder) ExpireLease(now time.Time) bool {
	if !h.leased || now.Sub(h.confirmedAt) <= h.settings.Lease {
		return false
	}
	h.leased = false
	h.sendFull = true
	h.resetUnleasedSlots()
	return true
}

// Leased reports whether a broker's lease is in force.
func (h *LeaseHolder) Leased() bool { return h.leased }
