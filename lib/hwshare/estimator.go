package hwshare

import "math"

// smoothingFactor is the weight of the newest cost in an exponential moving average.
const smoothingFactor = 0.1

// costClass groups an account's requests by the order of magnitude of their hints, in powers of two, because one account may send short and long requests.
type costClass struct {
	account   string
	magnitude int
}

// CostEstimator keeps moving averages of request costs per cost class, per account, and for the whole pool.
// A hint, such as the caller's token limit, is an upper bound on the estimate.
type CostEstimator struct {
	// initial is the estimate before any request finished.
	initial      float64
	classMeans   map[costClass]float64
	accountMeans map[string]float64
	// hintRatios are the mean costs per unit of hint, by account, used for magnitudes that an account has not used yet.
	hintRatios map[string]float64
	poolMean   float64
}

// NewCostEstimator returns an estimator whose first estimate, in cost units, is initial.
func NewCostEstimator(initial float64) *CostEstimator {
	return &CostEstimator{
		initial:      initial,
		classMeans:   map[costClass]float64{},
		accountMeans: map[string]float64{},
		hintRatios:   map[string]float64{},
	}
}

func costClassOf(account string, hint float64) costClass {
	magnitude := 0
	if hint > 0 {
		_, magnitude = math.Frexp(hint)
	}
	return costClass{
		account:   account,
		magnitude: magnitude,
	}
}

// Estimate returns the expected cost in cost units, from the most specific average that has a sample. A hint of zero means that there is none.
func (e *CostEstimator) Estimate(account string, hint float64) float64 {
	estimate := e.initial
	if e.poolMean > 0 {
		estimate = e.poolMean
	}
	if mean, known := e.accountMeans[account]; known {
		estimate = mean
	}
	if ratio, known := e.hintRatios[account]; known && hint > 0 {
		estimate = ratio * hint
	}
	if mean, known := e.classMeans[costClassOf(account, hint)]; known {
		estimate = mean
	}
	if hint > 0 {
		return math.Min(estimate, hint)
	}
	return estimate
}

// ObserveFinished adds the cost of a finished request, in cost units, to the averages. Hint is the hint that came with the request.
func (e *CostEstimator) ObserveFinished(account string, hint, cost float64) {
	e.poolMean = updateMean(e.poolMean, cost)
	e.accountMeans[account] = updateMean(e.accountMeans[account], cost)
	class := costClassOf(account, hint)
	e.classMeans[class] = updateMean(e.classMeans[class], cost)
	if hint > 0 {
		e.hintRatios[account] = updateMean(e.hintRatios[account], cost/hint)
	}
}

// ObserveRunning records the cost that a running request has reached. It changes the estimate only if the cost exceeds the average of the request's class, because other requests of that class will probably cost as much.
func (e *CostEstimator) ObserveRunning(account string, hint, cost float64) {
	class := costClassOf(account, hint)
	if e.classMeans[class] < cost {
		e.classMeans[class] = updateMean(e.classMeans[class], cost)
	}
}

// MeanCost returns the pool's moving average of costs in cost units, or zero before the first request finished.
func (e *CostEstimator) MeanCost() float64 { return e.poolMean }

// updateMean returns the exponential moving average after a new sample; a mean of zero stands for no earlier sample.
func updateMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothingFactor*(sample-mean)
}
