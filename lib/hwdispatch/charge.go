package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// overrunFactor is the ratio of cost to estimate above which the estimate for similar requests is raised while the request still runs.
const overrunFactor = 1.5

// pendingHorizon limits how much of a running request's future cost counts as pending. If the whole cost of a long request counted from its start, its account would get no slots for seconds, not even for short requests.
const pendingHorizon = time.Second

// pendingCacheTTL is how long the pending cost by account is reused before it is computed again.
const pendingCacheTTL = 20 * time.Millisecond

// pending returns the pending cost of running requests in cost units by account: what they have used but not been charged for, and what they are expected to use within pendingHorizon.
// The result is cached for pendingCacheTTL; meanwhile, starting requests add to it.
func (d *Dispatcher) pending(now time.Time) map[string]float64 {
	if d.pendingCost != nil && now.Sub(d.pendingComputedAt) < pendingCacheTTL {
		return d.pendingCost
	}
	sums := map[string]float64{}
	for _, r := range d.running {
		used := math.Max(r.charged, d.elapsedCost(now, r))
		expected := d.costWithinHorizon(r.upstream, math.Max(0, r.estimate-used))
		sums[r.request.Account] += used - r.charged + expected
	}
	d.pendingCost = sums
	d.pendingComputedAt = now
	return sums
}

// costWithinHorizon returns the part of an expected cost that falls within pendingHorizon, in cost units. It is the whole cost while the speed of the upstream is unknown.
func (d *Dispatcher) costWithinHorizon(upstream string, estimate float64) float64 {
	if perUnit := d.detector.SecondsPerUnit(upstream); perUnit > 0 {
		return math.Min(estimate, pendingHorizon.Seconds()/perUnit)
	}
	return estimate
}

// elapsedCost estimates the cost of a running request that reports no progress, from its running time. Without it, a request that runs unusually long would look cheap until it ends.
func (d *Dispatcher) elapsedCost(now time.Time, r *runningRequest) float64 {
	elapsed := now.Sub(r.startedAt)
	if d.pool.Kind == hwdocument.KindService {
		return float64(elapsed.Milliseconds()) * d.pool.MillisecondWeight
	}
	perUnit := d.detector.SecondsPerUnit(r.upstream)
	if perUnit <= 0 || r.progressAt != r.startedAt {
		return 0
	}
	return elapsed.Seconds() / perUnit
}

// ChargeProgress charges a running request up to the given total cost, in cost units.
func (d *Dispatcher) ChargeProgress(now time.Time, id string, cost float64) {
	r, known := d.running[id]
	if !known || cost <= r.charged {
		return
	}
	units := cost - r.charged
	if r.charged >= r.request.PromptCost && r.charged > 0 {
		d.detector.Observe(now, r.upstream, time.Duration(float64(now.Sub(r.progressAt))/units))
	}
	r.progressAt = now
	d.charge(r, cost)
	if cost > overrunFactor*r.estimate {
		d.costEstimator.ObserveRunning(r.request.Account, r.request.CostHint, cost)
		r.estimate = cost
	}
	if r.lane == hwshare.ShortLane && d.laneOf(cost) == hwshare.LongLane {
		a := d.account(r.request.Account)
		d.recordLaneEnd(now, a, r.lane)
		r.lane = hwshare.LongLane
		d.recordLaneStart(now, a, r.lane)
	}
}

// charge raises the charged cost of a request to the given total; it never lowers it.
func (d *Dispatcher) charge(r *runningRequest, cost float64) {
	growth := math.Max(0, cost-r.charged)
	r.charged += growth
	d.account(r.request.Account).service += growth
	d.counters.Charge(r.request.Account, growth)
}
