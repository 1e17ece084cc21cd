package hwforward

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwretry"
)

// retryBudget returns the retry budget of a pool, which it creates on first use. The lock must be held.
func (r *Router) retryBudget(now time.Time, name string) *hwretry.Budget {
	b := r.retryBudgets[name]
	if b == nil {
		b = hwretry.NewBudget(now, r.settings.Retry, r.random.Float64())
		b.SetRate(now, r.retriesPerSecond(now))
		r.retryBudgets[name] = b
	}
	return b
}

// retriesPerSecond returns this router's present part of the fleet's slack for each pool, in retries per second. It is nothing while the router does not know its fleet. The lock must be held.
func (r *Router) retriesPerSecond(now time.Time) float64 {
	if !r.fleet.KnowsFleet(now) {
		return 0
	}
	return r.settings.RetrySlack.RetriesPerSecond(r.fleet.FleetSize(now))
}

// SetMayHavePeers sets whether there may be routers beside those heard. While there may be and none is heard, this one gets nothing of what the fleet may spend together.
func (r *Router) SetMayHavePeers(may bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.fleet.SetMayHavePeers(may)
}

// observeFleet notes that the process runs, and sets the rates of the retry budgets by the routers that are known now. It must be called several times a second. The lock must be held.
func (r *Router) observeFleet(now time.Time) {
	r.fleet.Observe(now)
	rate := r.retriesPerSecond(now)
	for _, b := range r.retryBudgets {
		b.SetRate(now, rate)
	}
}
