package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// raiseFactor is how far beyond its estimate a request runs before others like it are expected to do the same.
const raiseFactor = 1.5

// pendingHorizon is how far ahead a started request is counted. Counting the whole of a long request at its start would put its account far ahead at once and leave it without slots for seconds, its short work included.
const pendingHorizon = time.Second

// pendingMoment is how long the sums of pending work are good enough.
const pendingMoment = 20 * time.Millisecond

// pending returns what running requests have used without being charged yet and what they will use within the horizon, in cost units by account.
// It is computed anew after a moment only; in between, starts add to it.
func (d *Dispatcher) pending(now time.Time) map[string]float64 {
	if d.pendingSums != nil && now.Sub(d.pendingAt) < pendingMoment {
		return d.pendingSums
	}
	sums := map[string]float64{}
	for _, r := range d.running {
		used := math.Max(r.charged, d.elapsedCost(now, r))
		ahead := d.ahead(r.upstream, math.Max(0, r.estimate-used))
		sums[r.request.Account] += used - r.charged + ahead
	}
	d.pendingSums = sums
	d.pendingAt = now
	return sums
}

// ahead returns what a request that starts now will use within the horizon.
func (d *Dispatcher) ahead(upstream string, estimate float64) float64 {
	if perUnit := d.detector.SecondsPerUnit(upstream); perUnit > 0 {
		return math.Min(estimate, pendingHorizon.Seconds()/perUnit)
	}
	return estimate
}

// elapsedCost is what a request without a stream has probably used by now. It keeps a straggler from looking cheap until it ends.
func (d *Dispatcher) elapsedCost(now time.Time, r *running) float64 {
	elapsed := now.Sub(r.started)
	if d.pool.Kind == hwdocument.KindService {
		return float64(elapsed.Milliseconds()) * d.pool.MillisecondWeight
	}
	perUnit := d.detector.SecondsPerUnit(r.upstream)
	if perUnit <= 0 || r.progress != r.started {
		return 0
	}
	return elapsed.Seconds() / perUnit
}

// ChargeProgress charges the cost that a running request has reached, in cost units.
func (d *Dispatcher) ChargeProgress(now time.Time, id string, cost float64) {
	r, known := d.running[id]
	if !known || cost <= r.charged {
		return
	}
	units := cost - r.charged
	if r.charged >= r.request.PromptCost && r.charged > 0 {
		d.detector.Observe(now, r.upstream, time.Duration(float64(now.Sub(r.progress))/units))
	}
	r.progress = now
	d.charge(r, cost)
	if cost > raiseFactor*r.estimate {
		d.estimator.ObserveRunning(r.request.Account, r.request.CostHint, cost)
		r.estimate = cost
	}
	if r.lane == hwshare.ShortLane && d.lane(cost) == hwshare.LongLane {
		a := d.account(r.request.Account)
		d.leaveLane(now, a, r.lane)
		r.lane = hwshare.LongLane
		d.enterLane(now, a, r.lane)
	}
}

func (d *Dispatcher) charge(r *running, cost float64) {
	growth := math.Max(0, cost-r.charged)
	r.charged += growth
	d.account(r.request.Account).service += growth
	d.counters.Charge(r.request.Account, growth)
}
