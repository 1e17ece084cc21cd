package hwshare

import "math"

// learningRate is the weight of the newest cost in a running mean.
const learningRate = 0.1

// class groups requests of an account whose hints are of the same magnitude, because one account may send short and long work.
type class struct {
	account   string
	magnitude int
}

// CostEstimator learns what requests cost, per account and magnitude of hint, per account, and over the pool.
// A hint, such as the caller's token limit, only bounds what was learned: it never raises it.
type CostEstimator struct {
	initial  float64
	classes  map[class]float64
	accounts map[string]float64
	// ratios are the mean cost per unit of hint, for magnitudes that an account has not used yet.
	ratios map[string]float64
	pool   float64
}

// NewCostEstimator returns an estimator whose first estimate, in cost units, is initial.
func NewCostEstimator(initial float64) *CostEstimator {
	return &CostEstimator{
		initial:  initial,
		classes:  map[class]float64{},
		accounts: map[string]float64{},
		ratios:   map[string]float64{},
	}
}

func classOf(account string, hint float64) class {
	magnitude := 0
	if hint > 0 {
		_, magnitude = math.Frexp(hint)
	}
	return class{
		account:   account,
		magnitude: magnitude,
	}
}

// Estimate returns the expected cost in cost units. A hint of zero is no hint.
func (e *CostEstimator) Estimate(account string, hint float64) float64 {
	learned := e.initial
	if e.pool > 0 {
		learned = e.pool
	}
	if own, known := e.accounts[account]; known {
		learned = own
	}
	if ratio, known := e.ratios[account]; known && hint > 0 {
		learned = ratio * hint
	}
	if own, known := e.classes[classOf(account, hint)]; known {
		learned = own
	}
	if hint > 0 {
		return math.Min(learned, hint)
	}
	return learned
}

// ObserveFinished takes the cost of a finished request, in cost units, and the hint that came with it.
func (e *CostEstimator) ObserveFinished(account string, hint, cost float64) {
	e.pool = mix(e.pool, cost)
	e.accounts[account] = mix(e.accounts[account], cost)
	key := classOf(account, hint)
	e.classes[key] = mix(e.classes[key], cost)
	if hint > 0 {
		e.ratios[account] = mix(e.ratios[account], cost/hint)
	}
}

// ObserveRunning takes the cost that a running request has reached. It only matters if it exceeds what was expected of its kind: then others like it will probably cost as much.
func (e *CostEstimator) ObserveRunning(account string, hint, cost float64) {
	key := classOf(account, hint)
	if e.classes[key] < cost {
		e.classes[key] = mix(e.classes[key], cost)
	}
}

// MeanCost returns the pool's mean cost in cost units, or zero before the first request ended.
func (e *CostEstimator) MeanCost() float64 { return e.pool }

func mix(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + learningRate*(sample-mean)
}
