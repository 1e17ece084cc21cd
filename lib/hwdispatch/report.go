package hwdispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwshare"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// NextReport returns the next report to the broker. If leaving is set, it announces that the router shuts down.
func (d *Dispatcher) NextReport(now time.Time, leaving bool) hwslot.Report {
	pending := d.pending(now)
	d.updateSlowness(now)
	rows := make([]hwslot.AccountRow, 0, len(d.accounts))
	knownCounters := make([]hwslot.CounterRow, 0, len(d.accounts))
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		a := d.accounts[name]
		if a.service == 0 && a.running == 0 && d.queue.Waiting(name) == 0 {
			continue
		}
		row := hwslot.AccountRow{
			Account:  name,
			Waiting:  d.queue.Waiting(name),
			Running:  a.running,
			HeldBack: d.heldBack(now, name),
			Service:  a.service,
			Pending:  math.Round(pending[name]),
		}
		rows = append(rows, row)
		knownCounters = append(knownCounters, hwslot.CounterRow{
			Account: name,
			Counter: d.counters.Value(name),
		})
		d.reportedService[name] = a.service
	}
	return d.holder.NextReport(now, rows, knownCounters, leaving)
}

// downSlownessPermille is the slowness reported for an unreachable upstream. It is so large that the broker reduces the upstream to the one slot for probes.
const downSlownessPermille = 1_000_000

// updateSlowness evaluates the speed and reachability of the upstreams for the next report.
func (d *Dispatcher) updateSlowness(now time.Time) {
	for _, e := range d.detector.Evaluate(now) {
		permille := 0
		if e.Slow {
			permille = max(e.SlownessPermille, slowPermille)
		}
		d.holder.SetSlowness(e.Upstream, permille)
	}
	for _, u := range d.pool.Upstreams {
		if d.health.Down(u.Address) {
			d.holder.SetSlowness(u.Address, downSlownessPermille)
		}
	}
}

// ApplyGrant applies the broker's reply to a report and starts the requests that it allows. The broker's counters miss what was charged since that report, so it is added.
func (d *Dispatcher) ApplyGrant(now time.Time, grant hwslot.Grant) Effects {
	if !d.holder.ApplyGrant(grant) {
		return Effects{}
	}
	for _, row := range grant.Counters {
		unreported := d.account(row.Account).service - d.reportedService[row.Account]
		a := d.account(row.Account)
		a.targetSlots = row.TargetSlots
		a.hasTarget = true
		d.counters.Set(row.Account, row.Counter+unreported/d.counters.Share(row.Account))
	}
	return d.dispatch(now)
}

// ReportFailed records that a report got no reply.
func (d *Dispatcher) ReportFailed() { d.holder.ReportFailed() }

// Tick expires the lease and waiting requests past their deadline, and starts what is possible. The second result reports whether the lease expired in this call.
func (d *Dispatcher) Tick(now time.Time) (Effects, bool) {
	expired := d.holder.ExpireLease(now)
	var effects Effects
	for _, entry := range d.queue.Expire(now) {
		effects = effects.merge(rejectionEffects(entry.ID, hwerror.KindDeadlineCannotBeMet, 0))
		d.updateBacklog(now, entry.Account)
	}
	return effects.merge(d.dispatch(now)), expired
}

// Idle reports whether no request waits or runs.
func (d *Dispatcher) Idle() bool { return len(d.running) == 0 && d.queue.Empty() }

// Status returns the pool's state at this router.
func (d *Dispatcher) Status() Status {
	held, inUse := d.holder.TotalSlots()
	status := Status{
		Pool:   d.pool.Name,
		Held:   held,
		InUse:  inUse,
		Leased: d.holder.Leased(),
	}
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		a := d.accounts[name]
		status.Accounts = append(status.Accounts, AccountStatus{
			Account:     name,
			Waiting:     d.queue.Waiting(name),
			Running:     a.running,
			RunningLong: a.runningLong,
			WaitingLong: d.queue.WaitingInLane(name, hwshare.LongLane),
			TargetSlots: a.targetSlots,
			Service:     a.service,
			Counter:     d.counters.Value(name),
		})
	}
	for _, u := range d.pool.Upstreams {
		row := d.upstreamStatus(u)
		if row.Slow {
			status.Slow = append(status.Slow, u.Address)
		}
		status.Upstreams = append(status.Upstreams, row)
	}
	return status
}

func (d *Dispatcher) upstreamStatus(u hwdocument.Upstream) UpstreamStatus {
	held, inUse := d.holder.SlotsAt(u.Address)
	row := UpstreamStatus{
		Upstream: u.Address,
		Zone:     u.Zone,
		Held:     held,
		InUse:    inUse,
		Slow:     d.detector.Slow(u.Address),
		Down:     d.health.Down(u.Address),
		Draining: u.Draining,
	}
	if perUnit := d.detector.SecondsPerUnit(u.Address); perUnit > 0 {
		row.UnitsPerSecond = 1 / perUnit
	}
	return row
}

// QueueSnapshot describes the state for a request that has just been queued.
func (d *Dispatcher) QueueSnapshot(now time.Time, request Request) QueueSnapshot {
	a := d.account(request.Account)
	held, inUse := d.holder.TotalSlots()
	snapshot := QueueSnapshot{
		QueuedAhead: max(0, d.queue.Waiting(request.Account)-1),
		Held:        held,
		InUse:       inUse,
		Running:     a.running,
		TargetSlots: a.targetSlots,
		LongLane:    d.laneOf(d.estimateCost(request)) == hwshare.LongLane,
		Counter:     d.counters.Value(request.Account),
	}
	if names := d.accountsByCounter(now); len(names) > 0 {
		snapshot.NextAccount = names[0]
	}
	return snapshot
}
