package hwdispatch

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// pending returns the expected cost of what runs and is not charged yet, in cost units by account.
func (d *Dispatcher) pending(now time.Time) map[string]float64 {
	sums := map[string]float64{}
	for _, r := range d.running {
		expected := math.Max(r.estimate, d.elapsedCost(now, r))
		sums[r.request.Account] += math.Max(0, expected-r.charged)
	}
	return sums
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

// Progress charges the cost that a running request has reached, in cost units.
func (d *Dispatcher) Progress(now time.Time, id string, cost float64) {
	r, known := d.running[id]
	if !known || cost <= r.charged {
		return
	}
	units := cost - r.charged
	if r.charged >= r.request.Prompt && r.charged > 0 {
		d.detector.Observe(now, r.upstream, time.Duration(float64(now.Sub(r.progress))/units))
	}
	r.progress = now
	d.charge(r, cost)
	if r.lane == hwshare.Short && d.lane(cost) == hwshare.Long {
		r.lane = hwshare.Long
		d.longInUse++
	}
}

func (d *Dispatcher) charge(r *running, cost float64) {
	growth := math.Max(0, cost-r.charged)
	r.charged += growth
	d.account(r.request.Account).service += growth
	d.counters.Charge(r.request.Account, growth)
}
