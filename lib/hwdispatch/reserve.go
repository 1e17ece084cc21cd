package hwdispatch

import (
	"math"
	"time"
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
