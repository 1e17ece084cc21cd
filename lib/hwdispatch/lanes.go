package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// LaneRule is the rule that divides requests into short and long ones by their cost.
type LaneRule string

const (
	// SplitLanes puts the threshold between the two clusters of request costs.
	SplitLanes LaneRule = "split"
	// MeanLanes puts the threshold at twice the mean cost. It is a baseline for measurements.
	MeanLanes LaneRule = "mean"
	// SingleLane serves all requests of an account in order of arrival. It is a baseline for measurements.
	SingleLane LaneRule = "one"
)

// meanFactor is the threshold of MeanLanes as a multiple of the mean cost.
const meanFactor = 2

// longThreshold returns the cost above which a request is long, and false if there is no threshold.
func (d *Dispatcher) longThreshold() (float64, bool) {
	switch d.settings.Lanes {
	case SplitLanes:
		return d.thresholdEstimator.Threshold()
	case MeanLanes:
		mean := d.costEstimator.MeanCost()
		return meanFactor * mean, mean > 0
	default:
		return 0, false
	}
}

// loadAverage is an exponentially decaying time average of the number of running short requests of an account.
type loadAverage struct {
	running   int
	mean      float64
	updatedAt time.Time
}

const (
	// loadTimeConstant is the time constant of the mean.
	loadTimeConstant = 5 * time.Second
	// headroomFactor is how many slots beyond the mean are reserved, in square roots of the mean, because random load fluctuates by about that much.
	headroomFactor = 0.75
	// negligibleLoad is the load below which no slot is reserved, because it would mostly be idle.
	negligibleLoad = 0.05
)

// add changes the number of running requests by delta.
func (l *loadAverage) add(now time.Time, delta int) {
	l.mean = l.valueAt(now)
	l.updatedAt = now
	l.running += delta
}

func (l *loadAverage) valueAt(now time.Time) float64 {
	weight := math.Exp(-now.Sub(l.updatedAt).Seconds() / loadTimeConstant.Seconds())
	return float64(l.running) + (l.mean-float64(l.running))*weight
}

// slotsNeeded returns how many slots to reserve for the account's short requests.
func (l *loadAverage) slotsNeeded(now time.Time) float64 {
	mean := l.valueAt(now)
	if mean < negligibleLoad {
		return 0
	}
	return math.Ceil(mean + headroomFactor*math.Sqrt(mean))
}

// startLimiter is a token bucket that limits the rate at which long requests of an account start. Long requests hold their slots for seconds and cannot be preempted. Without the limit, when they arrive at many routers at once, the router that reports to the broker first would fill the whole pool before the other routers have reported.
type startLimiter struct {
	tokens     float64
	refilledAt time.Time
}

const (
	// longBurst is the size of the token bucket and longStartsPerSecond its refill rate.
	longBurst           = 4
	longStartsPerSecond = 40
)

// refill adds the tokens due since the last call and reports whether another request may start.
func (l *startLimiter) refill(now time.Time) bool {
	if l.refilledAt.IsZero() {
		l.tokens = longBurst
	} else {
		l.tokens = math.Min(longBurst, l.tokens+longStartsPerSecond*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	return l.tokens >= 1
}

// longSlotDivisor limits how many long requests run ahead of waiting short ones: one may go first only while at most one in longSlotDivisor of the account's running requests is long.
const longSlotDivisor = 5

// laneOrder returns which lane of an account goes first.
//
// Normally that is the short lane, and long requests only use the target slots that the account's short requests do not need, which prevents head-of-line blocking of short requests by long ones of the same account. A long request that has waited longer than StarvationTimeout may take a part of the account's slots first, so that it does not starve. In both cases the cost is charged to the account's counter, so the order does not affect fairness between accounts.
func (d *Dispatcher) laneOrder(now time.Time, name string) hwshare.LaneOrder {
	a := d.account(name)
	head, found := d.queue.Head(name, hwshare.LongLane)
	switch {
	case found && !a.longStarts.refill(now):
		return hwshare.ShortOnly
	case found && now.Sub(head.Arrived) > d.settings.StarvationTimeout && a.runningLong*longSlotDivisor <= a.running:
		return hwshare.LongFirst
	case d.longMayStart(now, a):
		return hwshare.ShortFirst
	default:
		return hwshare.ShortOnly
	}
}

// heldBack returns how many waiting requests of an account would not start even if a slot were free, because the slot is reserved for the account's short requests or the start rate is limited.
func (d *Dispatcher) heldBack(now time.Time, name string) int {
	if d.laneOrder(now, name) != hwshare.ShortOnly {
		return 0
	}
	return d.queue.WaitingInLane(name, hwshare.LongLane)
}

// longMayStart reports whether another long request of the account leaves enough slots for its short ones.
func (d *Dispatcher) longMayStart(now time.Time, a *account) bool {
	need := a.shortLoad.slotsNeeded(now)
	if need == 0 {
		return true
	}
	if a.hasTarget && d.holder.Leased() {
		return float64(a.runningLong+1) <= a.targetSlots-need
	}
	held, _ := d.holder.TotalSlots()
	return float64(a.runningLong+1) <= float64(held)-need
}

func (d *Dispatcher) recordLaneStart(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.LongLane {
		a.runningLong++
		return
	}
	a.shortLoad.add(now, 1)
}

func (d *Dispatcher) recordLaneEnd(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.LongLane {
		a.runningLong--
		return
	}
	a.shortLoad.add(now, -1)
}
