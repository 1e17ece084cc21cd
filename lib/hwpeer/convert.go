package hwpeer

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

func convertAll[A, B any](in []A, convert func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, item := range in {
		out = append(out, convert(item))
	}
	return out
}

func upstreamToWire(r hwslot.UpstreamRow) *hwpeerpb.UpstreamRow {
	return &hwpeerpb.UpstreamRow{
		Upstream:     r.Upstream,
		Held:         uint32(r.Held),
		InUse:        uint32(r.InUse),
		SlowPermille: uint32(r.SlowPermille),
	}
}

func upstreamFromWire(r *hwpeerpb.UpstreamRow) hwslot.UpstreamRow {
	return hwslot.UpstreamRow{
		Upstream:     r.GetUpstream(),
		Held:         int(r.GetHeld()),
		InUse:        int(r.GetInUse()),
		SlowPermille: int(r.GetSlowPermille()),
	}
}

func accountToWire(r hwslot.AccountRow) *hwpeerpb.AccountRow {
	return &hwpeerpb.AccountRow{
		Account:      r.Account,
		Waiting:      uint32(r.Waiting),
		Running:      uint32(r.Running),
		HeldBack:     uint32(r.HeldBack),
		OldestWaitMs: uint64(r.OldestWait.Milliseconds()),
		Service:      r.Service,
		Pending:      r.Pending,
	}
}

func accountFromWire(r *hwpeerpb.AccountRow) hwslot.AccountRow {
	return hwslot.AccountRow{
		Account:    r.GetAccount(),
		Waiting:    int(r.GetWaiting()),
		Running:    int(r.GetRunning()),
		HeldBack:   int(r.GetHeldBack()),
		OldestWait: time.Duration(r.GetOldestWaitMs()) * time.Millisecond,
		Service:    finiteAmount(r.GetService()),
		Pending:    finiteAmount(r.GetPending()),
	}
}

// finiteAmount returns the value if it is a plausible amount, and 0 if it is negative, NaN, infinite or out of range. A single NaN or infinity would make every sum that includes it invalid for good.
func finiteAmount(value float64) float64 {
	if value >= 0 && value <= math.MaxFloat32 {
		return value
	}
	return 0
}

func counterToWire(r hwslot.CounterRow) *hwpeerpb.CounterRow {
	return &hwpeerpb.CounterRow{
		Account: r.Account,
		Counter: r.Counter,
		Aim:     uint32(r.TargetSlots),
	}
}

func counterFromWire(r *hwpeerpb.CounterRow) hwslot.CounterRow {
	return hwslot.CounterRow{
		Account:     r.GetAccount(),
		Counter:     finiteAmount(r.GetCounter()),
		TargetSlots: float64(r.GetAim()),
	}
}

// ReportToWire converts a report to its protobuf message.
func ReportToWire(r hwslot.Report) *hwpeerpb.ReportRequest {
	return &hwpeerpb.ReportRequest{
		Instance:  r.Instance,
		Boot:      r.Boot,
		Pool:      r.Pool,
		Sequence:  r.Sequence,
		Full:      r.Full,
		Upstreams: convertAll(r.Upstreams, upstreamToWire),
		Accounts:  convertAll(r.Accounts, accountToWire),
		View:      convertAll(r.KnownCounters, counterToWire),
		Leaving:   r.Leaving,
	}
}

// ReportFromWire converts a protobuf message to a report.
func ReportFromWire(r *hwpeerpb.ReportRequest) hwslot.Report {
	return hwslot.Report{
		Instance:      r.GetInstance(),
		Boot:          r.GetBoot(),
		Pool:          r.GetPool(),
		Sequence:      r.GetSequence(),
		Full:          r.GetFull(),
		Upstreams:     convertAll(r.GetUpstreams(), upstreamFromWire),
		Accounts:      convertAll(r.GetAccounts(), accountFromWire),
		KnownCounters: convertAll(r.GetView(), counterFromWire),
		Leaving:       r.GetLeaving(),
	}
}

// GrantToWire converts a grant to its protobuf message.
func GrantToWire(g hwslot.Grant) *hwpeerpb.ReportReply {
	return &hwpeerpb.ReportReply{
		NotBroker:  g.NotBroker,
		ResendFull: g.ResendFull,
		Sequence:   g.Sequence,
		LeaseMs:    uint64(g.Lease.Milliseconds()),
		Fleet:      uint32(g.FleetSize),
		Upstreams:  convertAll(g.Upstreams, upstreamToWire),
		Counters:   convertAll(g.Counters, counterToWire),
	}
}

// GrantFromWire converts a protobuf message to a grant.
func GrantFromWire(g *hwpeerpb.ReportReply) hwslot.Grant {
	return hwslot.Grant{
		NotBroker:  g.GetNotBroker(),
		ResendFull: g.GetResendFull(),
		Sequence:   g.GetSequence(),
		Lease:      time.Duration(g.GetLeaseMs()) * time.Millisecond,
		FleetSize:  int(g.GetFleet()),
		Upstreams:  convertAll(g.GetUpstreams(), upstreamFromWire),
		Counters:   convertAll(g.GetCounters(), counterFromWire),
	}
}

func memberToWire(r hwmember.Row) *hwpeerpb.MemberRow {
	return &hwpeerpb.MemberRow{
		Instance:    r.Instance,
		Address:     r.Address,
		Zone:        r.Zone,
		Boot:        r.Boot,
		Incarnation: r.Incarnation,
		State:       uint32(r.State),
	}
}

func memberFromWire(r *hwpeerpb.MemberRow) hwmember.Row {
	return hwmember.Row{
		Instance:    r.GetInstance(),
		Address:     r.GetAddress(),
		Zone:        r.GetZone(),
		Boot:        r.GetBoot(),
		Incarnation: r.GetIncarnation(),
		State:       min(hwmember.State(r.GetState()), hwmember.Left),
	}
}

// MembersToWire converts membership rows to protobuf messages.
func MembersToWire(rows []hwmember.Row) []*hwpeerpb.MemberRow { return convertAll(rows, memberToWire) }

// MembersFromWire converts protobuf messages to membership rows.
func MembersFromWire(rows []*hwpeerpb.MemberRow) []hwmember.Row {
	return convertAll(rows, memberFromWire)
}
