package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// LaneRule is how short work is told from long work.
type LaneRule string

const (
	// SplitLanes puts the border between the two groups that the costs form.
	SplitLanes LaneRule = "split"
	// MeanLanes puts the border at twice the mean cost. It is kept for comparison.
	MeanLanes LaneRule = "mean"
	// SingleLane treats all work alike, first come first served within an account. It is a baseline for measurements.
	SingleLane LaneRule = "one"
)

// meanFactor is the border of MeanLanes in means.
const meanFactor = 2

// border returns the cost above which work is long, and false if all work is alike.
func (d *Dispatcher) border() (float64, bool) {
	switch d.settings.Lanes {
	case SplitLanes:
		return d.split.Threshold()
	case MeanLanes:
		mean := d.estimator.MeanCost()
		return meanFactor * mean, mean > 0
	default:
		return 0, false
	}
}

// shortLoad is the running mean of how much short work of an account runs at once.
type shortLoad struct {
	inUse int
	mean  float64
	at    time.Time
}

const (
	// loadMemory is the time constant of the mean.
	loadMemory = 5 * time.Second
	// swingFactor is how many slots beyond the mean are kept, in square roots of the mean: that is how far a load swings.
	swingFactor = 0.75
	// negligibleLoad is the load below which no slot is kept: capacity would idle.
	negligibleLoad = 0.05
)

// change notes that short work began or ended.
func (l *shortLoad) change(now time.Time, by int) {
	l.mean = l.now(now)
	l.at = now
	l.inUse += by
}

func (l *shortLoad) now(now time.Time) float64 {
	weight := math.Exp(-now.Sub(l.at).Seconds() / loadMemory.Seconds())
	return float64(l.inUse) + (l.mean-float64(l.inUse))*weight
}

// need returns how many slots the account's short work needs.
func (l *shortLoad) need(now time.Time) float64 {
	mean := l.now(now)
	if mean < negligibleLoad {
		return 0
	}
	return math.Ceil(mean + swingFactor*math.Sqrt(mean))
}

// longPace bounds how fast long work of an account may start. Long work keeps its slots for seconds and cannot be sent back: when it arrives at many routers at once, the one that reports first must not fill the whole pool before the broker has heard of the others.
type longPace struct {
	allowance float64
	at        time.Time
}

const (
	// longBurst is how many long requests may start at once, longPerSecond how many more each second.
	longBurst     = 4
	longPerSecond = 40
)

// ready refills the allowance and reports whether one more may start.
func (l *longPace) ready(now time.Time) bool {
	if l.at.IsZero() {
		l.allowance = longBurst
	} else {
		l.allowance = math.Min(longBurst, l.allowance+longPerSecond*now.Sub(l.at).Seconds())
	}
	l.at = now
	return l.allowance >= 1
}

// longPart is the part of an account's slots, as one in so many, that long work may claim ahead of waiting short work.
const longPart = 5

// order says which lane of an account goes first. Short work does. Long work stays within what the account's aim leaves beside its short work, so that short work is not stuck behind the account's own long work; but once it has waited for the patience it claims a part of the account's slots, so that it does not starve. Either way the account's counter pays, so the order changes nothing between accounts.
func (d *Dispatcher) order(now time.Time, name string) hwshare.LaneOrder {
	a := d.account(name)
	head, waits := d.queue.Head(name, hwshare.LongLane)
	switch {
	case waits && !a.pace.ready(now):
		return hwshare.ShortOnly
	case waits && now.Sub(head.Arrived) > d.settings.StarvationTimeout && a.long*longPart <= a.running:
		return hwshare.LongFirst
	case d.longMayStart(now, a):
		return hwshare.ShortFirst
	default:
		return hwshare.ShortOnly
	}
}

// heldBack returns how many requests of an account wait for its part and not for a slot.
func (d *Dispatcher) heldBack(now time.Time, name string) int {
	if d.order(now, name) != hwshare.ShortOnly {
		return 0
	}
	return d.queue.WaitingInLane(name, hwshare.LongLane)
}

func (d *Dispatcher) longMayStart(now time.Time, a *account) bool {
	need := a.short.need(now)
	if need == 0 {
		return true
	}
	if a.aimed && d.holder.Leased() {
		return float64(a.long+1) <= a.aim-need
	}
	held, _ := d.holder.TotalSlots()
	return float64(a.long+1) <= float64(held)-need
}

func (d *Dispatcher) enterLane(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.LongLane {
		a.long++
		return
	}
	a.short.change(now, 1)
}

func (d *Dispatcher) leaveLane(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.LongLane {
		a.long--
		return
	}
	a.short.change(now, -1)
}
