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

// NextReport returns the report for the broker.
func (d *Dispatcher) NextReport(now time.Time, leaving bool) hwslot.Report {
	pending := d.pending(now)
	d.judge(now)
	rows := make([]hwslot.AccountRow, 0, len(d.accounts))
	view := make([]hwslot.CounterRow, 0, len(d.accounts))
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
		view = append(view, hwslot.CounterRow{
			Account: name,
			Counter: d.counters.Value(name),
		})
		d.reported[name] = a.service
	}
	return d.holder.NextReport(now, rows, view, leaving)
}

// downPermille is the slowness reported of an upstream that cannot be reached. Its limit falls to the one slot that probes it.
const downPermille = 1_000_000

func (d *Dispatcher) judge(now time.Time) {
	for _, j := range d.detector.Evaluate(now) {
		permille := 0
		if j.Slow {
			permille = max(j.SlownessPermille, slowPermille)
		}
		d.holder.SetSlowness(j.Upstream, permille)
	}
	for _, u := range d.pool.Upstreams {
		if d.health.Down(u.Address) {
			d.holder.SetSlowness(u.Address, downPermille)
		}
	}
}

// ApplyGrant takes the broker's answer and starts what it allows.
func (d *Dispatcher) ApplyGrant(now time.Time, grant hwslot.Grant) Effects {
	if !d.holder.ApplyGrant(grant) {
		return Effects{}
	}
	for _, row := range grant.Counters {
		since := d.account(row.Account).service - d.reported[row.Account]
		a := d.account(row.Account)
		a.aim = row.TargetSlots
		a.aimed = true
		d.counters.Set(row.Account, row.Counter+since/d.counters.Share(row.Account))
	}
	return d.dispatch(now)
}

// ReportFailed notes that a report got no answer.
func (d *Dispatcher) ReportFailed() { d.holder.ReportFailed() }

// Tick lets the lease and deadlines run out. The second result tells that the lease just ended.
func (d *Dispatcher) Tick(now time.Time) (Effects, bool) {
	expired := d.holder.ExpireLease(now)
	var effects Effects
	for _, entry := range d.queue.Expire(now) {
		effects = effects.with(rejected(entry.ID, hwerror.KindDeadlineCannotBeMet, 0))
		d.settleBacklog(now, entry.Account)
	}
	return effects.with(d.dispatch(now)), expired
}

// Idle reports whether nothing waits or runs.
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
			RunningLong: a.long,
			WaitingLong: d.queue.WaitingInLane(name, hwshare.LongLane),
			TargetSlots: a.aim,
			Service:     a.service,
			Counter:     d.counters.Value(name),
		})
	}
	for _, u := range d.pool.Upstreams {
		row := d.upstream(u)
		if row.Slow {
			status.Slow = append(status.Slow, u.Address)
		}
		status.Upstreams = append(status.Upstreams, row)
	}
	return status
}

func (d *Dispatcher) upstream(u hwdocument.Upstream) UpstreamStatus {
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

// QueueSnapshot says what a request that has just been queued finds.
func (d *Dispatcher) QueueSnapshot(now time.Time, request Request) QueueSnapshot {
	a := d.account(request.Account)
	held, inUse := d.holder.TotalSlots()
	outlook := QueueSnapshot{
		QueuedAhead: max(0, d.queue.Waiting(request.Account)-1),
		Held:        held,
		InUse:       inUse,
		Running:     a.running,
		TargetSlots: a.aim,
		LongLane:    d.lane(d.estimate(request)) == hwshare.LongLane,
		Counter:     d.counters.Value(request.Account),
	}
	if names := d.byCounter(now); len(names) > 0 {
		outlook.NextAccount = names[0]
	}
	return outlook
}
