package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// reserve tells how many free slots are kept from long work, so that short work finds one.
//
// The need for free slots grows with the square root of the load, because that is how far a load swings about its mean. Without short work in the last while nothing is kept: capacity would idle.
type reserve struct {
	inUse int
	load  float64
	at    time.Time
}

const (
	// reserveMemory is the time constant of the mean load of short work.
	reserveMemory = 5 * time.Second
	// reserveFactor is the reserve in square roots of the mean load.
	reserveFactor = 0.75
	// negligibleLoad is the load below which no slot is kept.
	negligibleLoad = 0.05
)

// change notes that short work began or ended.
func (r *reserve) change(now time.Time, by int) {
	r.load = r.mean(now)
	r.at = now
	r.inUse += by
}

func (r *reserve) mean(now time.Time) float64 {
	weight := math.Exp(-now.Sub(r.at).Seconds() / reserveMemory.Seconds())
	return float64(r.inUse) + (r.load-float64(r.inUse))*weight
}

// slots returns how many free slots long work must leave.
func (r *reserve) slots(now time.Time) int {
	load := r.mean(now)
	if load < negligibleLoad {
		return 0
	}
	return int(math.Ceil(reserveFactor * math.Sqrt(load)))
}

// longAllowed reports whether long work may take one of the free slots.
func (d *Dispatcher) longAllowed(now time.Time) bool {
	held, inUse := d.holder.Held()
	return held-inUse > d.reserve.slots(now)
}

// longPart is the part of an account's running requests, as one in so many, that long work may claim ahead of waiting short work.
const longPart = 5

// order says which lane of an account goes first. Short work does, but long work that has waited for the patience claims a part of the account's slots, so that it does not starve. Either way the account's counter pays, so the order changes nothing between accounts.
func (d *Dispatcher) order(now time.Time, name string, longAllowed bool) hwshare.Order {
	a := d.account(name)
	head, waits := d.queue.Head(name, hwshare.Long)
	switch {
	case waits && now.Sub(head.Arrived) > d.settings.Patience && a.long*longPart <= a.running:
		return hwshare.LongFirst
	case !longAllowed:
		return hwshare.ShortOnly
	default:
		return hwshare.ShortFirst
	}
}

func (d *Dispatcher) enterLane(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.Long {
		a.long++
		return
	}
	d.reserve.change(now, 1)
}

func (d *Dispatcher) leaveLane(now time.Time, a *account, lane hwshare.Lane) {
	if lane == hwshare.Long {
		a.long--
		return
	}
	d.reserve.change(now, -1)
}
